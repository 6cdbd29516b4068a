package rules

import "fmt"

// router is a router's name, over all its processes.
type router struct {
	process             *routerProcess
	listed              map[string]*listing // by cache: what the present process was last notified of
	overDescriptorLimit bool                // at the last Usage
}

// routerProcess is one process of a router. Requests point to theirs, so its end reaches all of them at once.
type routerProcess struct {
	down, killed bool
}

// router returns the router of that name, which is made at its first event.
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

// Usage implements Observer. A spell over the limit is one violation.
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
