package plugin

import "sync"

// Watch is what an engine keeps to be interrupted: Interrupt reaches the call that runs, and no other.
//
// The danger: an interrupt that comes as a call ends would end the next one, which has done nothing.
type Watch struct {
	mu   sync.Mutex
	stop func()
	hit  bool
}

// Begin says that a call runs, which stop ends. stop must not wait.
func (w *Watch) Begin(stop func()) {
	w.mu.Lock()
	w.stop, w.hit = stop, false
	w.mu.Unlock()
}

// End says that it has ended, and reports whether it was interrupted.
func (w *Watch) End() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stop = nil
	return w.hit
}

// Interrupt ends the call that runs, if one does.
func (w *Watch) Interrupt() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stop != nil && !w.hit {
		w.hit = true
		w.stop()
	}
}
