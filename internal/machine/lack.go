package machine

import (
	"errors"
	"syscall"
	"time"
)

// A lack is a failure of a call that says nothing of its object: the kernel has no descriptor, memory, port or route for
// the moment. What was to be done is done again after lackPause.
const (
	lackPause = 10_000 // until a call that failed for a lack is made again
	startTime = 3 * time.Second
)

// isLack reports whether a call failed for something that this machine is short of and that may pass by itself. EMFILE
// is not among them: the process's own bound stays where it is until the process closes something.
func isLack(err error) bool {
	for _, lack := range [...]syscall.Errno{syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC, syscall.EINTR} {
		if errors.Is(err, lack) {
			return true
		}
	}
	return false
}

// isDialLack is isLack for socket and connect, which also fail where all local ports are taken (EAGAIN, EADDRNOTAVAIL) or
// there is no route (ENETUNREACH): none of them is an answer of the other side.
func isDialLack(err error) bool {
	return isLack(err) || errors.Is(err, syscall.EADDRNOTAVAIL) || errors.Is(err, syscall.EAGAIN) ||
		errors.Is(err, syscall.ENETUNREACH)
}

// Passes reports whether an error of Listen or ListenPacket is for something that may pass by itself.
func Passes(err error) bool {
	return errors.Is(err, ErrAddressInUse) || errors.Is(err, ErrAddressMissing) || errors.Is(err, ErrLack)
}

// listenError is an error of a call of the kernel under the name that the contract has for it.
type listenError struct {
	kind  error
	cause error
}

func (e *listenError) Error() string { return e.cause.Error() }

// Unwrap gives both.
func (e *listenError) Unwrap() []error { return []error{e.kind, e.cause} }

// listenFailure puts an error of a call on the way to a listening socket into the words of the contract.
func listenFailure(err error) error {
	switch {
	case errors.Is(err, syscall.EADDRINUSE):
		return &listenError{ErrAddressInUse, err}
	case errors.Is(err, syscall.EADDRNOTAVAIL):
		return &listenError{ErrAddressMissing, err}
	case isLack(err):
		return &listenError{ErrLack, err}
	}
	return err
}

// IsLocal reports whether a dial failed for a cause on this machine: it says nothing of the address.
func IsLocal(err error) bool {
	return errors.Is(err, ErrDescriptors) || errors.Is(err, ErrLack)
}

// Outlast makes a call again while it fails for a lack, for up to startTime, and waits in between. It is for the start of a
// process and for work beside the loop: one call that fails for a moment would end the process, or lose a signal.
func Outlast(call func() error) error {
	for end := time.Now().Add(startTime); ; {
		err := call()
		if err == nil || !isLack(err) && !errors.Is(err, syscall.EAGAIN) || time.Now().After(end) {
			return err
		}
		time.Sleep(lackPause * time.Microsecond / 10)
	}
}

// outlast is Outlast before the loop runs. In the loop, which must not wait, the first failure counts.
func (m *Real) outlast(call func() error) error {
	if m.running {
		return call()
	}
	return Outlast(call)
}

// attach has the poller watch a descriptor for w, now or as soon as the kernel has room for it. Whatever comes in between
// is told then: the kernel reports what a descriptor is ready for as it begins to watch it.
func (m *Real) attach(fd int, mask uint32, w watcher) (place, error) {
	at := m.poll.seat(w)
	err := m.poll.watch(fd, mask, at)
	if err != nil && !isLack(err) {
		m.poll.leave(at)
		return place{}, err
	}
	if err != nil {
		m.attachLater(fd, mask, at)
	}
	return at, nil
}

func (m *Real) attachLater(fd int, mask uint32, at place) {
	m.at(m.Now()+lackPause, func() {
		// The descriptor's number may be another one's by now, which has a place of its own.
		if !m.poll.holds(at) {
			return
		}
		if err := m.poll.watch(fd, mask, at); err != nil {
			m.attachLater(fd, mask, at)
		}
	})
}
