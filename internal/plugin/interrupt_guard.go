package plugin

import "sync"

// InterruptGuard restricts Interrupt to the running call: an interrupt that arrives as a call ends must not stop the next call.
type InterruptGuard struct {
	mu          sync.Mutex
	stop        func() // stops the running call; nil between calls
	interrupted bool   // the running call was interrupted
}

// Begin marks the beginning of a call. Interrupt calls stop, which must stop the call and must not block.
func (g *InterruptGuard) Begin(stop func()) {
	g.mu.Lock()
	g.stop, g.interrupted = stop, false
	g.mu.Unlock()
}

// End marks the end of the call and reports whether the call was interrupted.
func (g *InterruptGuard) End() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stop = nil
	return g.interrupted
}

// Interrupt stops the running call, if there is one. Further interrupts of the same call have no effect.
func (g *InterruptGuard) Interrupt() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stop != nil && !g.interrupted {
		g.interrupted = true
		g.stop()
	}
}
