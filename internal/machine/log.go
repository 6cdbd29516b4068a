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
	logLines = 256                    // that wait for the log's reader
	logWait  = 100 * time.Millisecond // for the last lines, at the end
)

// logger writes lines in a goroutine of its own, each with the time and the process: while a router is restarted, two
// processes write into one log.
//
// The danger: the log's reader stands still and its pipe is full. A loop that wrote by itself would stand still
// with it, and with the loop all requests.
type logger struct {
	lines   chan string
	dropped atomic.Int64
	quit    chan struct{}
	over    chan struct{}
	out     *log.Logger
}

func newLogger(w io.Writer) *logger {
	l := &logger{
		lines: make(chan string, logLines),
		quit:  make(chan struct{}),
		over:  make(chan struct{}),
		out:   log.New(w, fmt.Sprintf("[%d] ", os.Getpid()), log.LstdFlags|log.Lmsgprefix),
	}
	go l.run()
	return l
}

func (l *logger) add(line string) {
	select {
	case l.lines <- line:
	default:
		l.dropped.Add(1)
	}
}

func (l *logger) run() {
	defer close(l.over)
	for since := 0; ; since++ {
		// What was dropped came after the lines that waited: so it is told behind them.
		if len(l.lines) == 0 || since > logLines {
			l.tellDropped()
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
				l.tellDropped()
				return
			}
		}
	}
}

func (l *logger) tellDropped() {
	if n := l.dropped.Swap(0); n > 0 {
		l.out.Printf("%d lines dropped", n)
	}
}

// end has the last lines written. A reader that stands still is not waited for longer than logWait.
func (l *logger) end() {
	close(l.quit)
	select {
	case <-l.over:
	case <-time.After(logWait):
	}
}
