package rules

import "fmt"

// router is the record of a router name across successive processes.
type router struct {
	process             *routerProcess
	listed              map[string]*listing // by cache: the latest notice to the current process
	overDescriptorLimit bool                // at the latest call of Usage
}

// routerProcess is one process of a router. Each request points to its process, so the end of the process applies to all of
// its requests at once.
type routerProcess struct {
	down, killed bool
}

// router returns the router with the given name, and creates its record at the first event.
func (w *Watcher) router(name string) *router {
	r := w.routers[name]
	if r == nil {
		r = &router{process: &routerProcess{}, listed: map[string]*listing{}}
		w.routers[name] = r
	}
	return r
}

// RouterUp implements Observer.
func (w *Watcher) RouterUp(now Time, name string) {
	w.advance(now)
	r := w.router(name)
	if r.process.down {
		r.process = &routerProcess{}
	}
	clear(r.listed)
	r.overDescriptorLimit = false
}

// RouterDown implements Observer.
func (w *Watcher) RouterDown(now Time, name string, clean bool) {
	w.advance(now)
	r := w.router(name)
	r.process.down, r.process.killed = true, !clean
	clear(r.listed)
}

// Usage implements Observer. An uninterrupted period over the limit is one violation.
func (w *Watcher) Usage(now Time, name string, descriptors, limit int) {
	w.advance(now)
	r := w.router(name)
	over := descriptors > limit
	if over && !r.overDescriptorLimit {
		w.reportViolation(nil, Violation{Rule: TooManyOpen, At: now, Router: name,
			Text: fmt.Sprintf("%d open, %d allowed", descriptors, limit)})
	}
	r.overDescriptorLimit = over
}

// Leftover implements Observer.
func (w *Watcher) Leftover(now Time, name, what string, n int) {
	w.advance(now)
	if n > 0 {
		w.reportViolation(nil, Violation{Rule: LeftBehind, At: now, Router: name, Text: fmt.Sprintf("%d %s", n, what)})
	}
}
