package machine

import (
	"os"
	"sync"
	"syscall"
	"time"
)

// spareMost is the longest batch whose room is kept.
const spareMost = 1024

// wakePause is until a write that was to wake the loop, and failed, is made again.
const wakePause = time.Millisecond

// inbox holds the functions that were posted, from any goroutine, and wakes the loop for them.
type inbox struct {
	mu      sync.Mutex
	posted  []func()
	spare   []func() // the last batch's room, used again
	resting bool     // the loop waits, and nothing has woken it yet
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
	// By edges: each write is a new one, so that the number in it need never be read.
	if _, err := m.attach(in.fd, eventIn|eventEdge, bell{}); err != nil {
		syscall.Close(in.fd)
		return err
	}
	return nil
}

// bell is the watcher of the eventfd: that the loop has woken is all it is for.
type bell struct{}

func (bell) event(uint32) {}
func (bell) shut()        {}

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
	if !in.resting || in.fd < 0 {
		return
	}
	one := [8]byte{0: 1}
	err := again(func() error {
		_, err := in.kernel.Write(in.fd, one[:])
		return err
	})
	if err == nil {
		in.resting = false
		return
	}
	// The loop still rests: what was posted would wait for an event that need not come.
	time.AfterFunc(wakePause, func() {
		in.mu.Lock()
		defer in.mu.Unlock()
		in.wake()
	})
}

// rest reports whether nothing is there; from then on what comes wakes the loop.
func (in *inbox) rest() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.resting = len(in.posted) == 0 && !in.ended
	return in.resting
}

// take is all that was posted, which is the caller's until the next take. false says that the loop is to end.
func (in *inbox) take() ([]func(), bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.resting = false
	batch := in.posted
	in.posted, in.spare = in.spare[:0], batch
	if cap(batch) > spareMost {
		in.spare = nil
	}
	return batch, !in.ended
}

func (in *inbox) close() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.ended = true
	in.posted, in.spare = nil, nil
	syscall.Close(in.fd)
	in.fd = -1
}
