package endpoints

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"testing"

	"starlingwinch/decide"
)

// randomClaims returns claims on some of n endpoints, of which a fraction downgraded are drains and removals.
func randomClaims(rnd *rand.Rand, n int, downgraded float64) []Claim {
	var all []Claim
	for _, i := range rnd.Perm(n)[:rnd.IntN(n+1)] {
		c := Claim{Address: fmt.Sprintf("10.0.0.%d:%d", rnd.IntN(3), i+1), Reason: "word",
			Endpoint: decide.Endpoint{ID: fmt.Sprintf("c%d", i), Zone: "a", Weight: 1, StartedAt: Time(rnd.IntN(2))}}
		if rnd.Float64() < downgraded {
			c.Endpoint.Status = decide.Status(1 + rnd.IntN(2))
		}
		if c.Endpoint.Status != decide.Serving && rnd.IntN(2) == 0 {
			c.Address = ""
		}
		all = append(all, c)
	}
	return all
}

// TestSingleSourceIsPublishedAsItIs checks that the list of a single source is published unchanged in the same turn, by
// comparison with a direct application of the source's lists.
func TestSingleSourceIsPublishedAsItIs(t *testing.T) {
	for seed := range uint64(300) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		r := newRigWithOptions(t, Options{Sources: []SourceOptions{platform}})
		list, addrs := map[string]decide.Endpoint{}, map[string]string{}
		for step := range 60 {
			r.after(Time(rnd.Int64N(second)))
			update := &SourceUpdate{Source: "platform", Full: rnd.IntN(3) == 0, Claims: randomClaims(rnd, 12, 0.3)}
			if rnd.IntN(10) == 0 {
				r.unavailable("platform")
			}
			named := map[string]bool{}
			if update.Full && rnd.IntN(4) == 0 {
				update.Unreadable = []string{"c3", "c99"}
				named["c3"] = true
			}
			for _, c := range update.Claims {
				id := c.Endpoint.ID
				named[id] = true
				if c.Endpoint.Status == decide.Removed {
					delete(list, id)
					delete(addrs, id)
					continue
				}
				list[id] = c.Endpoint
				if c.Address != "" {
					addrs[id] = c.Address
				}
			}
			if update.Full {
				maps.DeleteFunc(list, func(id string, _ decide.Endpoint) bool { return !named[id] })
				maps.DeleteFunc(addrs, func(id string, _ string) bool { return !named[id] })
			}
			r.handle(update)
			if !maps.Equal(r.list, list) {
				t.Fatalf("seed %d, step %d: got list %v, want %v", seed, step, r.list, list)
			}
			for id := range list {
				if r.addrs[id] != addrs[id] {
					t.Fatalf("seed %d, step %d: got %s at address %q, want %q", seed, step, id, r.addrs[id], addrs[id])
				}
			}
		}
	}
}

// oracle determines the endpoints that must not be serving because the latest claim of a source drains or removes them. It
// shares no code with the Merger.
type oracle struct {
	unusable map[string]map[string]bool // by source, then endpoint ID: whether the source drains or removes the endpoint
	omitted  map[string]map[string]Time // by source, then endpoint ID: when a source that must confirm a mass removal first omitted it
}

func newOracle(sources ...string) *oracle {
	o := &oracle{unusable: map[string]map[string]bool{}, omitted: map[string]map[string]Time{}}
	for _, s := range sources {
		o.unusable[s], o.omitted[s] = map[string]bool{}, map[string]Time{}
	}
	return o
}

// handle applies an update. mustConfirm is whether its source must confirm a mass removal.
func (o *oracle) handle(now Time, update *SourceUpdate, mustConfirm bool) {
	unusable, omitted := o.unusable[update.Source], o.omitted[update.Source]
	named := map[string]bool{}
	for _, c := range update.Claims {
		id := c.Endpoint.ID
		unusable[id] = c.Endpoint.Status != decide.Serving
		named[id] = true
		delete(omitted, id)
	}
	if !update.Full {
		return
	}
	for id := range unusable {
		omittedAt, omittedBefore := omitted[id]
		switch {
		case named[id] || unusable[id]:
		case !mustConfirm, omittedBefore && (update.Confirmation || now-omittedAt >= DefaultMassRemoval().ConfirmWithin):
			unusable[id] = true
			delete(omitted, id)
		case !omittedBefore:
			omitted[id] = now
		}
	}
}

// randomEvent returns a random event of one of three sources.
func randomEvent(rnd *rand.Rand, endpointCount int) Event {
	name := []string{"platform", "eureka", "file"}[rnd.IntN(3)]
	if rnd.IntN(8) == 0 {
		return &SourceUnavailable{Source: name, Reason: "timed out"}
	}
	update := &SourceUpdate{Source: name, Full: rnd.IntN(2) == 0, Claims: randomClaims(rnd, endpointCount, 0.1)}
	update.Confirmation = update.Full && name == "eureka" && rnd.IntN(2) == 0
	return update
}

// TestNoEndpointServesThatASourceDrainsOrRemoves checks that the drain or removal applies from the turn of the source's update,
// and that all endpoints are serving once all sources agree and the suppressions have ended.
func TestNoEndpointServesThatASourceDrainsOrRemoves(t *testing.T) {
	const endpointCount = 10
	checked := 0
	for seed := range uint64(500) {
		rnd := rand.New(rand.NewPCG(seed, 2))
		r := newRig(t, platform, eureka, fixed)
		o := newOracle("platform", "eureka", "file")
		for step := range 120 {
			r.after(Time(rnd.Int64N(2 * second)))
			event := randomEvent(rnd, endpointCount)
			if update, ok := event.(*SourceUpdate); ok {
				o.handle(r.at, update, update.Source == "eureka")
			}
			r.handle(event)
			for id, e := range r.list {
				for source, unusable := range o.unusable {
					if e.Status == decide.Serving && unusable[id] {
						t.Fatalf("seed %d, step %d: got %s serving, want it drained or removed as by source %s", seed, step, id, source)
					}
				}
				if e.Status == decide.Serving {
					checked++
				}
			}
		}
		all := names(0, endpointCount-1)
		for _, source := range []string{"platform", "eureka", "file"} {
			r.full(source, all...)
		}
		r.after(DefaultDamping().MaxSuppress).wantAll(all, "serving")
		for _, s := range r.Sources(r.at) {
			if s.Endpoints != endpointCount || s.Serving != endpointCount || s.Unconfirmed != 0 {
				t.Fatalf("seed %d: got source %+v, want %d endpoints, all of them serving and confirmed", seed, s, endpointCount)
			}
		}
		if r.serving != endpointCount || r.removed.Len() != 0 || len(r.suppressed) != 0 {
			t.Fatalf("seed %d: got %d serving, %d removed, %d suppressed; want %d, 0, 0", seed, r.serving, r.removed.Len(),
				len(r.suppressed), endpointCount)
		}
	}
	if checked < 10_000 {
		t.Errorf("got %d checks of a serving endpoint, want at least 10000", checked)
	}
}

// comparableActions returns actions with their log lines as text, since reflect.DeepEqual compares only the first byte of a
// string in a slog.Value.
func comparableActions(actions []Action) []any {
	all := make([]any, len(actions))
	for i, a := range actions {
		all[i] = a
		if line, ok := a.(Log); ok {
			all[i] = fmt.Sprint(line.Level, line.Message, line.Attrs)
		}
	}
	return all
}

// TestEqualEventsGiveEqualActions checks this with more removed endpoints than the Merger retains, so that it forgets some.
func TestEqualEventsGiveEqualActions(t *testing.T) {
	for seed := range uint64(50) {
		run := func() (all [][]any, rows []Row) {
			rnd := rand.New(rand.NewPCG(seed, 3))
			r := newRigWithOptions(t, Options{Sources: []SourceOptions{platform, eureka, fixed}, Damping: DefaultDamping(),
				MassRemoval: DefaultMassRemoval(), MaxRemoved: 5, MaxEndpoints: 30})
			for range 100 {
				r.after(Time(rnd.Int64N(second)))
				all = append(all, comparableActions(r.handle(randomEvent(rnd, 40))))
			}
			return all, r.Table(r.at)
		}
		firstActions, firstRows := run()
		secondActions, secondRows := run()
		if !reflect.DeepEqual(firstActions, secondActions) || !reflect.DeepEqual(firstRows, secondRows) {
			t.Fatalf("seed %d: got different actions or rows in two runs, want equal ones", seed)
		}
	}
}

// TestMemoryIsBounded guards against unlimited growth where endpoints come and go under ever new IDs.
func TestMemoryIsBounded(t *testing.T) {
	r := newRigWithOptions(t, Options{Sources: []SourceOptions{platform, eureka}, Damping: DefaultDamping(), MassRemoval: DefaultMassRemoval(),
		MaxEndpoints: 100, MaxRemoved: 1000})
	for i := 0; i < 100_000; i += 50 {
		r.at += second / 100
		var removed []string
		for _, id := range names(i, i+49) {
			removed = append(removed, id+"x")
		}
		for range 3 { // so that they are suppressed
			r.changes("eureka", names(i, i+49)...)
			r.changes("eureka", removed...)
		}
		r.changes("platform", fmt.Sprintf("c%dx", i+1_000_000)) // removed before any source named it
		if len(r.endpoints) > 1100 || r.removed.Len() > 1000 || len(r.suppressed) > len(r.endpoints) {
			t.Fatalf("got %d endpoints, %d removed, %d suppressed; want at most 1100 endpoints, 1000 removed, no more suppressed than known",
				len(r.endpoints), r.removed.Len(), len(r.suppressed))
		}
	}
	r.changes("eureka", names(2_000_000, 2_000_300)...)
	if len(r.list) != 100 {
		t.Errorf("got %d endpoints published, want the limit of 100", len(r.list))
	}
	r.at += 2 * minRemovedRetention
	r.handle(&Tick{})
	if r.removed.Len() != 0 || len(r.endpoints) != 100 {
		t.Errorf("got %d removed endpoints and %d in all after twice minRemovedRetention, want 0 and 100", r.removed.Len(), len(r.endpoints))
	}
}
