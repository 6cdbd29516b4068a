package plugin

import "sync"

// InterruptGuard is what an engine keeps to be interrupted: Interrupt reaches the call that runs, and no other.
//
// The danger: an interrupt that comes as a call ends would end the next one, which has done nothing.
type InterruptGuard struct {
	mu          sync.Mutex
	stop        func()
	interrupted bool
}

// Begin says that a call runs, which stop ends. stop must not wait.
func (w *InterruptGuard) Begin(stop func()) {
	w.mu.Lock()
	w.stop, w.interrupted = stop, false
	w.mu.Unlock()
}

// End says that it has ended, and reports whether it was interrupted.
func (w *InterruptGuard) End() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stop = nil
	return w.interrupted
}

// Interrupt ends the call that runs, if one does.
func (w *InterruptGuard) Interrupt() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stop != nil && !w.interrupted {
		w.interrupted = true
		w.stop()
	}
}
