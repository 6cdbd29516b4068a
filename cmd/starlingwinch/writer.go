package main

import (
	"io"
	"sync"
	"time"
)

const (
	outletBacklog = 256                   // writes that wait for whoever reads; more are dropped
	briefly       = 40 * time.Millisecond // at a regular end: SIGKILL may follow 50 ms later
)

// outlet passes text on to a stream that perhaps nobody reads, in order, and never waits. The danger: a full pipe
// stops the program, at the last line before its end too.
type outlet struct {
	lines chan []byte
	todo  sync.WaitGroup
}

func newOutlet(w io.Writer) *outlet {
	o := &outlet{lines: make(chan []byte, outletBacklog)}
	go func() {
		for b := range o.lines {
			w.Write(b)
			o.todo.Done()
		}
	}()
	return o
}

// Write takes a text, to be written in one piece.
func (o *outlet) Write(b []byte) (int, error) {
	o.todo.Add(1)
	select {
	case o.lines <- append([]byte(nil), b...):
	default:
		o.todo.Done()
	}
	return len(b), nil
}

// flush waits until all is written, but no longer than so long.
func (o *outlet) flush(limit time.Duration) {
	done := make(chan struct{})
	go func() {
		o.todo.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(limit):
	}
}
