package main

import (
	"io"
	"sync"
	"time"
)

const (
	maxQueuedWrites = 256 // writes that wait for a reader; when the queue is full, further writes are dropped

	commandFlushTimeout = 2 * time.Second       // at the end of a command, and after an error
	exitFlushTimeout    = 40 * time.Millisecond // at a regular end of the daemon: SIGKILL may follow 50 ms later
)

// nonBlockingWriter writes to a stream in order and never blocks. Otherwise a full pipe that nothing reads would block the
// program, even at its last line.
type nonBlockingWriter struct {
	queue     chan []byte
	unwritten sync.WaitGroup // writes in the queue, and the current write
}

// newNonBlockingWriter returns a writer to a stream and starts its goroutine, which runs until the program ends.
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

// Write queues a copy of b, which is then written by one call, or drops it if the queue is full. It never returns an error.
func (o *nonBlockingWriter) Write(b []byte) (int, error) {
	o.unwritten.Add(1)
	select {
	case o.queue <- append([]byte(nil), b...):
	default:
		o.unwritten.Done()
	}
	return len(b), nil
}

// flush waits until all queued writes are done or the timeout expires.
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
