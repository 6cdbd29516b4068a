package machine

import (
	"errors"
	"syscall"
	"time"
)

// A shortage is the failure of a call because the kernel has no descriptor, memory, port or route at the moment, which says
// nothing about the call's object. The loop retries the call after shortageRetryDelay.
const (
	shortageRetryDelay = 10_000          // delay before the loop retries a call that failed for a shortage, in microseconds
	maxStartRetry      = 3 * time.Second // how long RetryShortage and Spawn retry
)

// isShortage reports whether a call failed for a transient shortage on this machine. EMFILE is not transient: it lasts until
// the process closes a descriptor.
func isShortage(err error) bool {
	for _, errno := range [...]syscall.Errno{syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC, syscall.EINTR} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// isDialShortage is isShortage for socket and connect, which also fail while all local ports are taken (EAGAIN, EADDRNOTAVAIL)
// or there is no route (ENETUNREACH). None of these errors is a response of the peer.
func isDialShortage(err error) bool {
	return isShortage(err) || errors.Is(err, syscall.EADDRNOTAVAIL) || errors.Is(err, syscall.EAGAIN) ||
		errors.Is(err, syscall.ENETUNREACH)
}

// IsTransientListenError reports whether an error of Listen or ListenPacket may be transient, so that the caller may retry.
func IsTransientListenError(err error) bool {
	return errors.Is(err, ErrAddressInUse) || errors.Is(err, ErrAddressNotAvailable) || errors.Is(err, ErrShortage)
}

// listenError joins a sentinel error of this package and the kernel's error. Its text equals the text of the kernel's error.
type listenError struct {
	kind  error
	cause error
}

// Error implements error.
func (e *listenError) Error() string { return e.cause.Error() }

// Unwrap returns the sentinel and the kernel's error.
func (e *listenError) Unwrap() []error { return []error{e.kind, e.cause} }

// contractListenError maps an error of opening a listening socket to a sentinel error of this package, if there is one.
func contractListenError(err error) error {
	switch {
	case errors.Is(err, syscall.EADDRINUSE):
		return &listenError{ErrAddressInUse, err}
	case errors.Is(err, syscall.EADDRNOTAVAIL):
		return &listenError{ErrAddressNotAvailable, err}
	case isShortage(err):
		return &listenError{ErrShortage, err}
	}
	return err
}

// IsLocalDialError reports whether a dial failed for a cause on this machine, which says nothing about the peer.
func IsLocalDialError(err error) bool {
	return errors.Is(err, ErrDescriptors) || errors.Is(err, ErrShortage)
}

// RetryShortage repeats a call while it fails for a shortage or with EAGAIN, for up to maxStartRetry. Between two calls, it sleeps
// a tenth of shortageRetryDelay (1 ms). It blocks, so it is for the start of the process and for functions outside the loop, where
// a failed call would end the process or make a reload fail.
func RetryShortage(call func() error) error {
	for end := time.Now().Add(maxStartRetry); ; {
		err := call()
		if err == nil || !isShortage(err) && !errors.Is(err, syscall.EAGAIN) || time.Now().After(end) {
			return err
		}
		time.Sleep(shortageRetryDelay * time.Microsecond / 10)
	}
}

// retryShortage is RetryShortage before the loop runs. In the loop, which must not block, it makes a single call.
func (m *Real) retryShortage(call func() error) error {
	if m.running {
		return call()
	}
	return RetryShortage(call)
}

// attach registers a descriptor of w with the poller, now or as soon as the kernel has memory. No event is lost in between,
// because epoll reports the current readiness of a descriptor that is added.
func (m *Real) attach(fd int, mask uint32, w watcher) (slotRef, error) {
	at := m.poll.allocate(w)
	err := m.poll.watch(fd, mask, at)
	if err != nil && !isShortage(err) {
		m.poll.release(at)
		return slotRef{}, err
	}
	if err != nil {
		m.attachLater(fd, mask, at)
	}
	return at, nil
}

func (m *Real) attachLater(fd int, mask uint32, at slotRef) {
	m.at(m.Now()+shortageRetryDelay, func() {
		// The descriptor number may have been reused for another slot.
		if !m.poll.isCurrent(at) {
			return
		}
		if err := m.poll.watch(fd, mask, at); err != nil {
			m.attachLater(fd, mask, at)
		}
	})
}
