package endpoints

import (
	"fmt"
	"strings"
	"testing"

	"starlingwinch/decide"
)

const second Time = 1e6

// rig is a Members, and what came of it.
type rig struct {
	*testing.T
	*Merger
	at      Time
	list    map[string]decide.Endpoint // as handed on
	addrs   map[string]string
	ups     map[string]int // how often a cache was handed on as taking work, when it did not
	actions []Action       // of the last event
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

// tell hands an event over and takes in what is published.
func (r *rig) tell(ev Event) []Action {
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
				r.Errorf("at %d: good news comes before bad: %+v", r.at, p.Endpoints)
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
	for r.wake != 0 && r.wake <= end {
		r.at = max(r.at, r.wake)
		r.tell(&Tick{})
	}
	r.at = end
	return r
}

// full and changes tell a list: "c1" takes work, "c1-" drains, "c1x" is gone.
func (r *rig) full(source string, caches ...string) []Action {
	r.Helper()
	return r.tell(&SourceUpdate{Source: source, Full: true, Claims: claims(caches...)})
}

func (r *rig) repeat(source string, caches ...string) []Action {
	r.Helper()
	return r.tell(&SourceUpdate{Source: source, Full: true, Repeat: true, Claims: claims(caches...)})
}

func (r *rig) changes(source string, caches ...string) []Action {
	r.Helper()
	return r.tell(&SourceUpdate{Source: source, Claims: claims(caches...)})
}

func (r *rig) lost(source string) []Action {
	r.Helper()
	return r.tell(&SourceUnavailable{Source: source, Reason: "connection refused"})
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

// names is c1 to cN.
func names(from, to int) []string {
	var all []string
	for i := from; i <= to; i++ {
		all = append(all, fmt.Sprintf("c%d", i))
	}
	return all
}

// state is a cache as handed on: "up", "drains", "gone".
func (r *rig) state(id string) string {
	e, is := r.list[id]
	switch {
	case !is:
		return "gone"
	case e.Status == decide.Draining:
		return "drains"
	}
	return "up"
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

func (r *rig) confirms() int {
	n := 0
	for _, a := range r.actions {
		if _, is := a.(Confirm); is {
			n++
		}
	}
	return n
}

// wakes are the instants that the last event has asked for.
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
