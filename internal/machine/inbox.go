package machine

import (
	"os"
	"sync"
	"syscall"
	"time"
)

// maxReusedBatch is the largest capacity, in functions, at which the memory of a batch is reused.
const maxReusedBatch = 1024

// wakePause is the delay before a failed write to the eventfd is retried.
const wakePause = time.Millisecond

// inbox queues functions posted by any goroutine and wakes the loop to run them.
type inbox struct {
	mu      sync.Mutex
	posted  []func()
	reused  []func() // memory of the previous batch
	waiting bool     // the loop waits or is about to, and no write has woken it yet
	ended   bool
	kernel  *Kernel
	fd      int // an eventfd; negative once closed
}

func (in *inbox) open(m *Real) error {
	in.kernel = &m.kernel
	var err error
	if in.fd, err = in.kernel.EventFD(); err != nil {
		return os.NewSyscallError("eventfd2", err)
	}
	// With edge triggering each write is an event, so that the counter never has to be read.
	if _, err := m.attach(in.fd, eventIn|eventEdge, wakeWatcher{}); err != nil {
		syscall.Close(in.fd)
		return err
	}
	return nil
}

// wakeWatcher is the watcher of the eventfd, which only has to wake the loop.
type wakeWatcher struct{}

func (wakeWatcher) event(uint32)     {}
func (wakeWatcher) closeDescriptor() {}

func (in *inbox) put(f func()) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.ended {
		return
	}
	in.posted = append(in.posted, f)
	in.wake()
}

func (in *inbox) stop() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.ended = true
	in.wake()
}

// wake wakes the loop. One write serves all functions posted until the loop runs.
func (in *inbox) wake() {
	if !in.waiting || in.fd < 0 {
		return
	}
	one := [8]byte{0: 1}
	err := retryInterrupted(func() error {
		_, err := in.kernel.Write(in.fd, one[:])
		return err
	})
	if err == nil {
		in.waiting = false
		return
	}
	// The loop still waits, and no other event may ever wake it for the posted functions.
	time.AfterFunc(wakePause, func() {
		in.mu.Lock()
		defer in.mu.Unlock()
		in.wake()
	})
}

// mayWait reports whether no function is posted. After it returns true, put wakes the loop.
func (in *inbox) mayWait() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.waiting = len(in.posted) == 0 && !in.ended
	return in.waiting
}

// take returns all posted functions and whether the loop must continue. The slice is valid until the next take.
func (in *inbox) take() ([]func(), bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.waiting = false
	batch := in.posted
	in.posted, in.reused = in.reused[:0], batch
	if cap(batch) > maxReusedBatch {
		in.reused = nil
	}
	return batch, !in.ended
}

func (in *inbox) close() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.ended = true
	in.posted, in.reused = nil, nil
	syscall.Close(in.fd)
	in.fd = -1
}
