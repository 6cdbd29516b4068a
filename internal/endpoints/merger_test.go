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

// TestMergeOfTwoSources is a truth table of an endpoint's status for the claims of the first and the second source.
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
					t.Errorf("first %q, second %q, second comes first %v: got %s, want %s", c.first, c.second, secondComesFirst, got, c.want)
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
	r.want("c1", "draining") // the file source has not named c1 again
	r.full("file", "c1", "c2")
	r.want("c1", "serving")
}

func TestFirstSourceDeterminesEndpointAttributes(t *testing.T) {
	r := newRig(t, fixed, eureka)
	r.handle(&SourceUpdate{Source: "eureka", Claims: []Claim{{Address: "10.0.0.2:2",
		Endpoint: decide.Endpoint{ID: "c1", Zone: "b", Cell: 2, Weight: 2, StartedAt: 77}}}})
	if e := r.list["c1"]; e.Zone != "b" || r.addrs["c1"] != "10.0.0.2:2" {
		t.Errorf("got %+v at %s, want zone b at 10.0.0.2:2", e, r.addrs["c1"])
	}
	r.handle(&SourceUpdate{Source: "file", Claims: []Claim{{Address: "10.0.0.1:1",
		Endpoint: decide.Endpoint{ID: "c1", Zone: "a", Cell: 1, Weight: 1}}}})
	want := decide.Endpoint{ID: "c1", Zone: "a", Cell: 1, Weight: 1, StartedAt: 77} // the file has no start time
	if r.list["c1"] != want || r.addrs["c1"] != "10.0.0.1:1" {
		t.Errorf("got %+v at %s, want %+v at 10.0.0.1:1", r.list["c1"], r.addrs["c1"], want)
	}
}

// TestDrainIsPublishedBeforeTheNewEndpointAtItsAddress checks the order in a single Publish, for a list that has both changes.
func TestDrainIsPublishedBeforeTheNewEndpointAtItsAddress(t *testing.T) {
	r := newRig(t, platform)
	r.full("platform", "c1", "c2")
	next := claims("c1-", "c2", "c3")
	next[2].Address, next[0].Address = next[0].Address, ""
	r.handle(&SourceUpdate{Source: "platform", Full: true, Claims: next})
	p := r.actions[0].(Publish)
	if len(p.Endpoints) != 2 || p.Endpoints[0].ID != "c1" || p.Endpoints[1].ID != "c3" || p.Addresses[0] != p.Addresses[1] {
		t.Errorf("got %+v published at %q, want c1 and then c3 at the same address", p.Endpoints, p.Addresses)
	}
}

func TestNewStartTimeIsPublishedAtOnce(t *testing.T) {
	r := newRig(t, eureka)
	r.full("eureka", "c1", "c2")
	next := claims("c1", "c2")
	next[0].Endpoint.StartedAt = 9
	r.handle(&SourceUpdate{Source: "eureka", Full: true, Claims: next})
	if e := r.list["c1"]; e.StartedAt != 9 || e.Status != decide.Serving {
		t.Errorf("got %+v, want it serving with start time 9", e)
	}
	if len(r.actions[0].(Publish).Endpoints) != 1 {
		t.Errorf("got actions %+v, want one endpoint published", r.actions)
	}
}

func TestUnavailableSourceRemovesNothingAndShowsItsAge(t *testing.T) {
	r := newRig(t, platform, eureka)
	r.full("eureka", names(1, 9)...)
	r.after(5 * second).unavailable("eureka")
	r.after(20 * second).unavailable("eureka")
	r.wantAll(names(1, 9), "serving")
	s := r.Sources(r.at)[1]
	if s.Age != 25*second || s.UnavailableFor != 20*second || s.Endpoints != 9 || s.Reason == "" {
		t.Errorf("got source %+v, want age 25 s, unavailable for 20 s with a reason, 9 endpoints", s)
	}
	if claim := r.rowOf("c1").Claims[0]; claim.Age != 25*second || claim.LastSeenAge != -1 {
		t.Errorf("got claim %+v, want age 25 s and no last contact", claim)
	}
	if unanswered := r.Sources(r.at)[0]; unanswered.Age != -1 || unanswered.UnavailableFor != -1 {
		t.Errorf("got source %+v, want no age and not unavailable", unanswered)
	}
	r.full("eureka", names(1, 9)...)
	if s := r.Sources(r.at)[1]; s.Age != 0 || s.UnavailableFor != -1 || s.Reason != "" {
		t.Errorf("got source %+v, want age 0 and not unavailable", s)
	}
}

func TestStaleListIsPublishedFirstAndRemovesNothing(t *testing.T) {
	r := newRig(t, platform, eureka)
	r.handle(&SourceUpdate{Source: "platform", Full: true, Stale: true, Claims: claims("c1", "c2")})
	if p := r.actions[0].(Publish); p.Kind != decide.StaleUpdate || len(p.Endpoints) != 2 {
		t.Errorf("got %+v, want a StaleUpdate of 2 endpoints", p)
	}
	if !strings.Contains(r.rowOf("c1").Reason, "old list") {
		t.Errorf("got row %+v, want a reason that contains \"old list\"", r.rowOf("c1"))
	}
	r.handle(&SourceUpdate{Source: "eureka", Full: true, Stale: true, Claims: claims("c3")})
	if p := r.actions[0].(Publish); p.Kind != decide.DeltaUpdate {
		t.Errorf("got %+v, want a DeltaUpdate: a second StaleUpdate would remove the endpoints of the first", p)
	}
	r.full("platform", "c1")
	r.want("c2", "removed")
	r.handle(&SourceUpdate{Source: "platform", Full: true, Stale: true, Claims: claims("c2", "c4")})
	r.want("c1", "serving")
	r.want("c2", "removed")
	r.want("c4", "removed")
}

func TestOnlyFirstStaleListOfASourceApplies(t *testing.T) {
	r := newRig(t, platform)
	r.handle(&SourceUpdate{Source: "platform", Full: true, Stale: true, Claims: claims("c1-")})
	r.handle(&SourceUpdate{Source: "platform", Full: true, Stale: true, Claims: claims("c1")})
	r.want("c1", "draining")
}

func TestUnknownSourceChangesNothing(t *testing.T) {
	r := newRig(t, platform)
	if actions := r.full("unknown", "c1"); len(actions) != 1 || len(r.list) != 0 {
		t.Errorf("got actions %+v and list %v, want one action and an empty list", actions, r.list)
	}
}

func TestFirstListIsPublishedEvenIfEmpty(t *testing.T) {
	r := newRig(t, platform)
	r.full("platform")
	if p, ok := r.actions[0].(Publish); !ok || p.Kind != decide.DeltaUpdate {
		t.Errorf("got actions %+v, want a Publish of a DeltaUpdate first", r.actions)
	}
	if r.full("platform"); len(r.actions) != 0 {
		t.Errorf("got actions %+v for the second empty list, want none", r.actions)
	}
}

func TestOfTwoEntriesTheOneCloserToRemovalApplies(t *testing.T) {
	r := newRig(t, platform)
	r.full("platform", "c1", "c1-", "c2-", "c2", "c3")
	r.want("c1", "draining")
	r.want("c2", "draining")
	r.want("c3", "serving")
}

func TestUnreadableEntryDoesNotChangeEndpoint(t *testing.T) {
	r := newRig(t, platform)
	r.full("platform", "c1", "c2", "c3")
	r.handle(&SourceUpdate{Source: "platform", Full: true, Claims: claims("c3"), Unreadable: []string{"c1", "c9"}})
	r.want("c1", "serving")
	r.want("c2", "removed")
	r.want("c9", "removed")
}

func TestNewNamesTheInvalidOption(t *testing.T) {
	valid := func() Options {
		return Options{Sources: []SourceOptions{platform, eureka}, Damping: DefaultDamping(), MassRemoval: DefaultMassRemoval()}
	}
	for name, invalidate := range map[string]func(*Options){
		"Sources is empty":   func(o *Options) { o.Sources = nil },
		"Sources[1].Name":    func(o *Options) { o.Sources[1].Name = "platform" },
		"MaxEndpoints is -1": func(o *Options) { o.MaxEndpoints = -1 },
		"Damping.Penalty":    func(o *Options) { o.Damping.Penalty = 0 },
		"Damping.Suppress":   func(o *Options) { o.Damping.Suppress = o.Damping.Reuse - 1 },
		"Damping.HalfLife":   func(o *Options) { o.Damping.HalfLife = 0 },
		"Damping.Longest":    func(o *Options) { o.Damping.MaxSuppress = o.Damping.HalfLife },
		"Loss.Share":         func(o *Options) { o.MassRemoval.Fraction = 1.5 },
		"Loss.Within":        func(o *Options) { o.MassRemoval.ConfirmWithin = 0 },
		"Loss.Least":         func(o *Options) { o.MassRemoval.MinEndpoints = 0 },
		"more than 16":       func(o *Options) { o.Sources = make([]SourceOptions, 17) },
		"Sources[0].Name":    func(o *Options) { o.Sources[0].Name = "" },
		"MaxRemoved is -1":   func(o *Options) { o.MaxRemoved = -1 },
		"Damping.Reuse is ":  func(o *Options) { o.Damping.Reuse = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			o := valid()
			invalidate(&o)
			if _, err := New(o); err == nil || !strings.Contains(err.Error(), name) {
				t.Errorf("got error %v, want one that contains %q", err, name)
			}
		})
	}
	if _, err := New(Options{Sources: []SourceOptions{platform}}); err != nil {
		t.Errorf("got error %v for a source without damping or confirmation, want none: it needs no other options", err)
	}
}
