package endpoints

import (
	"fmt"
	"strings"
	"testing"

	"starlingwinch/decide"
)

var (
	platform = SourceOptions{Name: "platform"}
	eureka   = SourceOptions{Name: "eureka", Damped: true, ConfirmMassRemoval: true}
	fixed    = SourceOptions{Name: "file"}
)

// TestMergeOfTwoSources is the truth table of an endpoint by the claims of the first and of the second source.
func TestMergeOfTwoSources(t *testing.T) {
	for _, c := range []struct{ first, second, want string }{
		{"c1", "c1", "serving"}, {"c1", "c1-", "draining"}, {"c1", "c1x", "draining"}, {"c1", "", "serving"},
		{"c1-", "c1", "draining"}, {"c1-", "c1-", "draining"}, {"c1-", "c1x", "draining"}, {"c1-", "", "draining"},
		{"c1x", "c1", "removed"}, {"c1x", "c1-", "removed"}, {"c1x", "c1x", "removed"}, {"c1x", "", "removed"},
		{"", "c1", "serving"}, {"", "c1-", "draining"}, {"", "c1x", "removed"},
	} {
		t.Run(fmt.Sprintf("%s+%s", c.first, c.second), func(t *testing.T) {
			for _, secondComesFirst := range []bool{false, true} {
				r := newRig(t, platform, eureka)
				claim := func(source, endpoint string) {
					if endpoint != "" {
						r.changes(source, endpoint)
					}
				}
				if secondComesFirst {
					claim("eureka", c.second)
					claim("platform", c.first)
				} else {
					claim("platform", c.first)
					claim("eureka", c.second)
				}
				if got := r.state("c1"); got != c.want {
					t.Errorf("first %q, second %q, second comes first %v: %s, want %s", c.first, c.second, secondComesFirst, got, c.want)
				}
			}
		})
	}
}

func TestOmittedEndpointIsRemovedUntilItIsNamedAgain(t *testing.T) {
	r := newRig(t, platform, fixed)
	r.full("platform", "c1", "c2")
	r.full("file", "c1", "c2")
	r.full("file", "c2")
	r.want("c1", "draining")
	r.full("platform", "c1", "c2")
	r.want("c1", "draining")
	r.full("platform", "c2")
	r.want("c1", "removed")
	r.full("platform", "c1", "c2")
	r.want("c1", "draining") // the file has not named it since
	r.full("file", "c1", "c2")
	r.want("c1", "serving")
}

func TestFirstSourceDescribesTheEndpoint(t *testing.T) {
	r := newRig(t, fixed, eureka)
	r.handle(&SourceUpdate{Source: "eureka", Claims: []Claim{{Address: "10.0.0.2:2",
		Endpoint: decide.Endpoint{ID: "c1", Zone: "b", Cell: 2, Weight: 2, StartedAt: 77}}}})
	if e := r.list["c1"]; e.Zone != "b" || r.addrs["c1"] != "10.0.0.2:2" {
		t.Errorf("%+v at %s", e, r.addrs["c1"])
	}
	r.handle(&SourceUpdate{Source: "file", Claims: []Claim{{Address: "10.0.0.1:1",
		Endpoint: decide.Endpoint{ID: "c1", Zone: "a", Cell: 1, Weight: 1}}}})
	want := decide.Endpoint{ID: "c1", Zone: "a", Cell: 1, Weight: 1, StartedAt: 77} // the file knows no start time
	if r.list["c1"] != want || r.addrs["c1"] != "10.0.0.1:1" {
		t.Errorf("%+v at %s, want %+v", r.list["c1"], r.addrs["c1"], want)
	}
}

// TestDrainIsPublishedBeforeTheNewEndpointAtItsAddress, in one Publish where one list has both.
func TestDrainIsPublishedBeforeTheNewEndpointAtItsAddress(t *testing.T) {
	r := newRig(t, platform)
	r.full("platform", "c1", "c2")
	next := claims("c1-", "c2", "c3")
	next[2].Address, next[0].Address = next[0].Address, ""
	r.handle(&SourceUpdate{Source: "platform", Full: true, Claims: next})
	p := r.actions[0].(Publish)
	if len(p.Endpoints) != 2 || p.Endpoints[0].ID != "c1" || p.Endpoints[1].ID != "c3" || p.Addresses[0] != p.Addresses[1] {
		t.Errorf("published %+v at %q", p.Endpoints, p.Addresses)
	}
}

func TestNewStartTimeIsPublishedAtOnce(t *testing.T) {
	r := newRig(t, eureka)
	r.full("eureka", "c1", "c2")
	again := claims("c1", "c2")
	again[0].Endpoint.StartedAt = 9
	r.handle(&SourceUpdate{Source: "eureka", Full: true, Claims: again})
	if e := r.list["c1"]; e.StartedAt != 9 || e.Status != decide.Serving {
		t.Errorf("%+v", e)
	}
	if len(r.actions[0].(Publish).Endpoints) != 1 {
		t.Errorf("published %+v", r.actions)
	}
}

func TestUnavailableSourceRemovesNothingAndShowsItsAge(t *testing.T) {
	r := newRig(t, platform, eureka)
	r.full("eureka", names(1, 9)...)
	r.after(5 * second).unavailable("eureka")
	r.after(20 * second).unavailable("eureka")
	r.wantAll(names(1, 9), "serving")
	s := r.Sources(r.at)[1]
	if s.Age != 25*second || s.UnavailableFor != 20*second || s.Caches != 9 || s.Reason == "" {
		t.Errorf("%+v", s)
	}
	if w := r.rowOf("c1").Claims[0]; w.Age != 25*second || w.LastSeenAge != -1 {
		t.Errorf("%+v", w)
	}
	if never := r.Sources(r.at)[0]; never.Age != -1 || never.UnavailableFor != -1 {
		t.Errorf("%+v", never)
	}
	r.full("eureka", names(1, 9)...)
	if s := r.Sources(r.at)[1]; s.Age != 0 || s.UnavailableFor != -1 || s.Reason != "" {
		t.Errorf("%+v", s)
	}
}

func TestStaleListIsPublishedFirstAndRemovesNothing(t *testing.T) {
	r := newRig(t, platform, eureka)
	r.handle(&SourceUpdate{Source: "platform", Full: true, Stale: true, Claims: claims("c1", "c2")})
	if p := r.actions[0].(Publish); p.Kind != decide.StaleUpdate || len(p.Endpoints) != 2 {
		t.Errorf("%+v", p)
	}
	if !strings.Contains(r.rowOf("c1").Reason, "old list") {
		t.Errorf("%+v", r.rowOf("c1"))
	}
	r.handle(&SourceUpdate{Source: "eureka", Full: true, Stale: true, Claims: claims("c3")})
	if p := r.actions[0].(Publish); p.Kind != decide.DeltaUpdate {
		t.Errorf("%+v", p) // a second StaleUpdate would remove the endpoints of the first one
	}
	r.full("platform", "c1")
	r.want("c2", "removed")
	r.handle(&SourceUpdate{Source: "platform", Full: true, Stale: true, Claims: claims("c2", "c4")})
	r.want("c1", "serving")
	r.want("c2", "removed")
	r.want("c4", "removed")
}

func TestFirstStaleListOfASourceCounts(t *testing.T) {
	r := newRig(t, platform)
	r.handle(&SourceUpdate{Source: "platform", Full: true, Stale: true, Claims: claims("c1-")})
	r.handle(&SourceUpdate{Source: "platform", Full: true, Stale: true, Claims: claims("c1")})
	r.want("c1", "draining")
}

func TestUnknownSourceChangesNothing(t *testing.T) {
	r := newRig(t, platform)
	if acts := r.full("nobody", "c1"); len(acts) != 1 || len(r.list) != 0 {
		t.Errorf("%+v", acts)
	}
}

func TestFirstListIsPublishedEvenIfEmpty(t *testing.T) {
	r := newRig(t, platform)
	r.full("platform")
	if p, is := r.actions[0].(Publish); !is || p.Kind != decide.DeltaUpdate {
		t.Errorf("%+v", r.actions)
	}
	if r.full("platform"); len(r.actions) != 0 {
		t.Errorf("the second one: %+v", r.actions)
	}
}

func TestOfTwoEntriesTheOneCloserToRemovalCounts(t *testing.T) {
	r := newRig(t, platform)
	r.full("platform", "c1", "c1-", "c2-", "c2", "c3")
	r.want("c1", "draining")
	r.want("c2", "draining")
	r.want("c3", "serving")
}

func TestUnreadableEntryLeavesEndpointAsItIs(t *testing.T) {
	r := newRig(t, platform)
	r.full("platform", "c1", "c2", "c3")
	r.handle(&SourceUpdate{Source: "platform", Full: true, Claims: claims("c3"), Unreadable: []string{"c1", "c9"}})
	r.want("c1", "serving")
	r.want("c2", "removed")
	r.want("c9", "removed")
}

func TestNewNamesTheInvalidOption(t *testing.T) {
	good := func() Options {
		return Options{Sources: []SourceOptions{platform, eureka}, Damping: DefaultDamping(), MassRemoval: DefaultMassRemoval()}
	}
	for name, spoil := range map[string]func(*Options){
		"Sources is empty":  func(o *Options) { o.Sources = nil },
		"Sources[1].Name":   func(o *Options) { o.Sources[1].Name = "platform" },
		"Caches":            func(o *Options) { o.MaxEndpoints = -1 },
		"Damping.Penalty":   func(o *Options) { o.Damping.Penalty = 0 },
		"Damping.Suppress":  func(o *Options) { o.Damping.Suppress = o.Damping.Reuse - 1 },
		"Damping.HalfLife":  func(o *Options) { o.Damping.HalfLife = 0 },
		"Damping.Longest":   func(o *Options) { o.Damping.MaxSuppress = o.Damping.HalfLife },
		"Loss.Share":        func(o *Options) { o.MassRemoval.Fraction = 1.5 },
		"Loss.Within":       func(o *Options) { o.MassRemoval.ConfirmWithin = 0 },
		"Loss.Least":        func(o *Options) { o.MassRemoval.MinEndpoints = 0 },
		"more than 16":      func(o *Options) { o.Sources = make([]SourceOptions, 17) },
		"Sources[0].Name":   func(o *Options) { o.Sources[0].Name = "" },
		"Gone is -1":        func(o *Options) { o.MaxRemoved = -1 },
		"Damping.Reuse is ": func(o *Options) { o.Damping.Reuse = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			o := good()
			spoil(&o)
			if _, err := New(o); err == nil || !strings.Contains(err.Error(), name) {
				t.Errorf("want an error that names %s, got %v", name, err)
			}
		})
	}
	if _, err := New(Options{Sources: []SourceOptions{platform}}); err != nil {
		t.Errorf("a source without damping or confirmation needs no other options: %v", err)
	}
}
