package machine

import (
	"fmt"
	"io"
	"log"
	"os"
	"sync/atomic"
	"time"
)

const (
	maxQueuedLines = 256                    // lines queued for the log's reader; further lines are dropped
	flushTimeout   = 100 * time.Millisecond // limit for writing the last lines when the machine stops
)

// logger writes lines in a separate goroutine, so that a stalled reader of the log does not stall the loop. Each line has the
// time and the process id, because two processes write to one log while a router is restarted.
type logger struct {
	lines    chan string
	dropped  atomic.Int64
	quit     chan struct{}
	finished chan struct{}
	out      *log.Logger
}

func newLogger(w io.Writer) *logger {
	l := &logger{
		lines:    make(chan string, maxQueuedLines),
		quit:     make(chan struct{}),
		finished: make(chan struct{}),
		out:      log.New(w, fmt.Sprintf("[%d] ", os.Getpid()), log.LstdFlags|log.Lmsgprefix),
	}
	go l.run()
	return l
}

func (l *logger) enqueue(line string) {
	select {
	case l.lines <- line:
	default:
		l.dropped.Add(1)
	}
}

func (l *logger) run() {
	defer close(l.finished)
	for since := 0; ; since++ {
		// The dropped lines are newer than the queued lines, so that their number is logged after the queued lines.
		if len(l.lines) == 0 || since > maxQueuedLines {
			l.logDropped()
			since = 0
		}
		select {
		case line := <-l.lines:
			l.out.Print(line)
			continue
		default:
		}
		select {
		case line := <-l.lines:
			l.out.Print(line)
		case <-l.quit:
			if len(l.lines) == 0 {
				l.logDropped()
				return
			}
		}
	}
}

func (l *logger) logDropped() {
	if n := l.dropped.Swap(0); n > 0 {
		l.out.Printf("%d lines dropped", n)
	}
}

// close waits until the queued lines are written, for up to flushTimeout.
func (l *logger) close() {
	close(l.quit)
	select {
	case <-l.finished:
	case <-time.After(flushTimeout):
	}
}
