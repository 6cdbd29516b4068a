package plugin

import "sync"

// InterruptGuard lets Interrupt reach the call that runs and no other: an interrupt that comes as a call ends must not end the
// next one.
type InterruptGuard struct {
	mu          sync.Mutex
	stop        func() // ends the running call; nil between calls
	interrupted bool   // the running call was interrupted
}

// Begin is called as a call begins. stop ends the call; it must not block.
func (g *InterruptGuard) Begin(stop func()) {
	g.mu.Lock()
	g.stop, g.interrupted = stop, false
	g.mu.Unlock()
}

// End is called as the call ends, and reports whether it was interrupted.
func (g *InterruptGuard) End() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stop = nil
	return g.interrupted
}

// Interrupt ends the running call, if there is one.
func (g *InterruptGuard) Interrupt() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stop != nil && !g.interrupted {
		g.interrupted = true
		g.stop()
	}
}
