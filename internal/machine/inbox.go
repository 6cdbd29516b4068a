package machine

import (
	"os"
	"sync"
	"syscall"
	"time"
)

// maxReusedBatch is the capacity up to which a batch's memory is reused.
const maxReusedBatch = 1024

// wakePause is the delay before a failed write to the eventfd is retried.
const wakePause = time.Millisecond

// inbox holds the functions that were posted, from any goroutine, and wakes the loop for them.
type inbox struct {
	mu      sync.Mutex
	posted  []func()
	reused  []func() // memory of the batch before
	waiting bool     // the loop is about to wait, and nothing has woken it
	ended   bool
	kernel  *Kernel
	fd      int // an eventfd, below 0 once it is closed
}

func (in *inbox) open(m *Real) error {
	in.kernel = &m.kernel
	var err error
	if in.fd, err = in.kernel.EventFD(); err != nil {
		return os.NewSyscallError("eventfd2", err)
	}
	// Edge-triggered: each write is an event, so that the counter need never be read.
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

// wake wakes the loop, once for all that comes until it is up.
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
	// The loop still waits, and no other event need come for what was posted.
	time.AfterFunc(wakePause, func() {
		in.mu.Lock()
		defer in.mu.Unlock()
		in.wake()
	})
}

// mayWait reports whether nothing was posted; from then on a put wakes the loop.
func (in *inbox) mayWait() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.waiting = len(in.posted) == 0 && !in.ended
	return in.waiting
}

// take returns all that was posted, valid until the next take, and whether the loop goes on.
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
