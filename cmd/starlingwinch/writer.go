package main

import (
	"io"
	"sync"
	"time"
)

const (
	maxQueuedWrites = 256 // writes that wait for a reader; further ones are dropped

	commandFlushTimeout = 2 * time.Second       // after a command, and after an error
	exitFlushTimeout    = 40 * time.Millisecond // at a regular end of the daemon: SIGKILL may follow 50 ms later
)

// nonBlockingWriter writes to a stream that may have no reader, in order, and never waits: a full pipe would otherwise stop
// the program, even at its last line.
type nonBlockingWriter struct {
	queue     chan []byte
	unwritten sync.WaitGroup // writes in the queue, and the one under way
}

// newNonBlockingWriter returns a writer to a stream. Its goroutine ends with the program.
func newNonBlockingWriter(w io.Writer) *nonBlockingWriter {
	o := &nonBlockingWriter{queue: make(chan []byte, maxQueuedWrites)}
	go func() {
		for b := range o.queue {
			w.Write(b)
			o.unwritten.Done()
		}
	}()
	return o
}

// Write queues a text, which is written in one piece, or drops it where the queue is full. It never fails.
func (o *nonBlockingWriter) Write(b []byte) (int, error) {
	o.unwritten.Add(1)
	select {
	case o.queue <- append([]byte(nil), b...):
	default:
		o.unwritten.Done()
	}
	return len(b), nil
}

// flush waits until the queue is written, up to a timeout.
func (o *nonBlockingWriter) flush(timeout time.Duration) {
	done := make(chan struct{})
	go func() {
		o.unwritten.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(timeout):
	}
}
