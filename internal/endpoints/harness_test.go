package endpoints

import (
	"fmt"
	"strings"
	"testing"

	"starlingwinch/decide"
)

const second Time = 1e6

// rig is a Merger under test, with the list that it has published.
type rig struct {
	*testing.T
	*Merger
	at      Time                       // of the next event
	list    map[string]decide.Endpoint // as published
	addrs   map[string]string          // as published
	ups     map[string]int             // how often an endpoint became serving, by id
	actions []Action                   // of the last event
}

func newRig(t *testing.T, sources ...SourceOptions) *rig {
	t.Helper()
	return newRigOf(t, Options{Sources: sources, Damping: DefaultDamping(), MassRemoval: DefaultMassRemoval()})
}

func newRigOf(t *testing.T, opt Options) *rig {
	t.Helper()
	m, err := New(opt)
	if err != nil {
		t.Fatal(err)
	}
	return &rig{T: t, Merger: m, at: second, list: map[string]decide.Endpoint{}, addrs: map[string]string{},
		ups: map[string]int{}}
}

// handle passes an event to the Merger and applies what is published.
func (r *rig) handle(ev Event) []Action {
	r.Helper()
	r.actions = r.Handle(r.at, ev)
	for _, a := range r.actions {
		p, is := a.(Publish)
		if !is {
			continue
		}
		worst := decide.Removed
		for i, e := range p.Endpoints {
			if e.Status > worst {
				r.Errorf("at %d: an endpoint is published before one that is closer to removal: %+v", r.at, p.Endpoints)
			}
			worst = e.Status
			if old, was := r.list[e.ID]; e.Status == decide.Serving && (!was || old.Status != decide.Serving) {
				r.ups[e.ID]++
			}
			if e.Status == decide.Removed {
				delete(r.list, e.ID)
				delete(r.addrs, e.ID)
				continue
			}
			r.list[e.ID], r.addrs[e.ID] = e, p.Addresses[i]
		}
	}
	return r.actions
}

// after lets time pass, with the ticks that fall due in it.
func (r *rig) after(span Time) *rig {
	r.Helper()
	end := r.at + span
	for r.wakeAt != 0 && r.wakeAt <= end {
		r.at = max(r.at, r.wakeAt)
		r.handle(&Tick{})
	}
	r.at = end
	return r
}

// full, repeat and changes bring a list of a source: "c1" is serving, "c1-" draining, "c1x" removed.
func (r *rig) full(source string, caches ...string) []Action {
	r.Helper()
	return r.handle(&SourceUpdate{Source: source, Full: true, Claims: claims(caches...)})
}

func (r *rig) repeat(source string, caches ...string) []Action {
	r.Helper()
	return r.handle(&SourceUpdate{Source: source, Full: true, Repeat: true, Claims: claims(caches...)})
}

func (r *rig) changes(source string, caches ...string) []Action {
	r.Helper()
	return r.handle(&SourceUpdate{Source: source, Claims: claims(caches...)})
}

// unavailable makes a source unavailable.
func (r *rig) unavailable(source string) []Action {
	r.Helper()
	return r.handle(&SourceUnavailable{Source: source, Reason: "connection refused"})
}

func claims(caches ...string) []Claim {
	var all []Claim
	for _, c := range caches {
		id := strings.TrimRight(c, "-x")
		claim := Claim{Endpoint: decide.Endpoint{ID: id, Zone: "a", Weight: 1}, Address: "10.0.0.1:" + id[1:]}
		switch {
		case strings.HasSuffix(c, "-"):
			claim.Endpoint.Status, claim.Reason = decide.Draining, "OUT_OF_SERVICE"
		case strings.HasSuffix(c, "x"):
			claim = Claim{Endpoint: decide.Endpoint{ID: id, Status: decide.Removed}}
		}
		all = append(all, claim)
	}
	return all
}

// names returns the ids from "c<from>" to "c<to>".
func names(from, to int) []string {
	var all []string
	for i := from; i <= to; i++ {
		all = append(all, fmt.Sprintf("c%d", i))
	}
	return all
}

// state is the status of an endpoint as published: "serving", "draining" or "removed".
func (r *rig) state(id string) string {
	e, is := r.list[id]
	switch {
	case !is:
		return "removed"
	case e.Status == decide.Draining:
		return "draining"
	}
	return "serving"
}

func (r *rig) want(id, state string) {
	r.Helper()
	if got := r.state(id); got != state {
		r.Errorf("at %.3f s: %s is %s, want %s", float64(r.at)/1e6, id, got, state)
	}
}

func (r *rig) wantAll(ids []string, state string) {
	r.Helper()
	for _, id := range ids {
		r.want(id, state)
	}
}

// confirms is how many Confirms the last event led to.
func (r *rig) confirms() int {
	n := 0
	for _, a := range r.actions {
		if _, is := a.(Confirm); is {
			n++
		}
	}
	return n
}

// wakes are the Wakes that the last event led to.
func (r *rig) wakes() []Time {
	var all []Time
	for _, a := range r.actions {
		if w, is := a.(Wake); is {
			all = append(all, w.At)
		}
	}
	return all
}

func (r *rig) rowOf(id string) Row {
	r.Helper()
	for _, row := range r.Table(r.at) {
		if row.ID == id {
			return row
		}
	}
	r.Fatalf("no row of %s", id)
	return Row{}
}
