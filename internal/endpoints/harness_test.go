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
	at                 Time                       // time of the next event
	list               map[string]decide.Endpoint // as published, by ID
	addrs              map[string]string          // as published, by endpoint ID
	servingTransitions map[string]int             // number of times that an endpoint became serving, by ID
	actions            []Action                   // of the last event
}

func newRig(t *testing.T, sources ...SourceOptions) *rig {
	t.Helper()
	return newRigWithOptions(t, Options{Sources: sources, Damping: DefaultDamping(), MassRemoval: DefaultMassRemoval()})
}

func newRigWithOptions(t *testing.T, options Options) *rig {
	t.Helper()
	m, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	return &rig{T: t, Merger: m, at: second, list: map[string]decide.Endpoint{}, addrs: map[string]string{},
		servingTransitions: map[string]int{}}
}

// handle passes an event to the Merger and applies the published changes to the list.
func (r *rig) handle(event Event) []Action {
	r.Helper()
	r.actions = r.Handle(r.at, event)
	for _, a := range r.actions {
		p, ok := a.(Publish)
		if !ok {
			continue
		}
		previous := decide.Removed
		for i, e := range p.Endpoints {
			if e.Status > previous {
				r.Errorf("at %d: got %+v published, want removals first, then drains, then serving endpoints", r.at, p.Endpoints)
			}
			previous = e.Status
			if old, known := r.list[e.ID]; e.Status == decide.Serving && (!known || old.Status != decide.Serving) {
				r.servingTransitions[e.ID]++
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

// after advances the time by elapsed and passes the ticks that are due to the Merger.
func (r *rig) after(elapsed Time) *rig {
	r.Helper()
	end := r.at + elapsed
	for r.wakeAt != 0 && r.wakeAt <= end {
		r.at = max(r.at, r.wakeAt)
		r.handle(&Tick{})
	}
	r.at = end
	return r
}

// full passes a full list of a source to the Merger: "c1" is a serving endpoint, "c1-" a draining one, "c1x" a removed one.
func (r *rig) full(source string, entries ...string) []Action {
	r.Helper()
	return r.handle(&SourceUpdate{Source: source, Full: true, Claims: claims(entries...)})
}

// repeat passes a full list that answers a Confirm to the Merger, with entries as in full.
func (r *rig) repeat(source string, entries ...string) []Action {
	r.Helper()
	return r.handle(&SourceUpdate{Source: source, Full: true, Confirmation: true, Claims: claims(entries...)})
}

// changes passes a partial list to the Merger, with entries as in full.
func (r *rig) changes(source string, entries ...string) []Action {
	r.Helper()
	return r.handle(&SourceUpdate{Source: source, Claims: claims(entries...)})
}

// unavailable reports a source as unavailable to the Merger.
func (r *rig) unavailable(source string) []Action {
	r.Helper()
	return r.handle(&SourceUnavailable{Source: source, Reason: "connection refused"})
}

// claims returns the claims for entries in the form that full accepts.
func claims(entries ...string) []Claim {
	var all []Claim
	for _, entry := range entries {
		id := strings.TrimRight(entry, "-x")
		claim := Claim{Endpoint: decide.Endpoint{ID: id, Zone: "a", Weight: 1}, Address: "10.0.0.1:" + id[1:]}
		switch {
		case strings.HasSuffix(entry, "-"):
			claim.Endpoint.Status, claim.Reason = decide.Draining, "OUT_OF_SERVICE"
		case strings.HasSuffix(entry, "x"):
			claim = Claim{Endpoint: decide.Endpoint{ID: id, Status: decide.Removed}}
		}
		all = append(all, claim)
	}
	return all
}

// names returns the IDs from "c<from>" to "c<to>".
func names(from, to int) []string {
	var all []string
	for i := from; i <= to; i++ {
		all = append(all, fmt.Sprintf("c%d", i))
	}
	return all
}

// state returns the published status of an endpoint: "serving", "draining" or "removed".
func (r *rig) state(id string) string {
	e, ok := r.list[id]
	switch {
	case !ok:
		return "removed"
	case e.Status == decide.Draining:
		return "draining"
	}
	return "serving"
}

func (r *rig) want(id, state string) {
	r.Helper()
	if got := r.state(id); got != state {
		r.Errorf("at %.3f s: got %s %s, want %s", float64(r.at)/1e6, id, got, state)
	}
}

func (r *rig) wantAll(ids []string, state string) {
	r.Helper()
	for _, id := range ids {
		r.want(id, state)
	}
}

// confirms returns the number of Confirms that the last event caused.
func (r *rig) confirms() int {
	n := 0
	for _, a := range r.actions {
		if _, ok := a.(Confirm); ok {
			n++
		}
	}
	return n
}

// wakes returns the times of the Wakes that the last event caused.
func (r *rig) wakes() []Time {
	var all []Time
	for _, a := range r.actions {
		if w, ok := a.(Wake); ok {
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
	r.Fatalf("got no row for %s in the table", id)
	return Row{}
}
