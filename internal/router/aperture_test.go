package router

import (
	"fmt"
	"testing"

	"starlingwinch/decide"
	"starlingwinch/internal/endpoints"
	"starlingwinch/internal/structuredlog"
)

// fleetOf returns a list of n serving caches.
func fleetOf(n int) endpoints.Publish {
	p := endpoints.Publish{Kind: decide.StaleUpdate}
	for i := range n {
		p.Endpoints = append(p.Endpoints, decide.Endpoint{ID: fmt.Sprintf("s-%04d", i), Weight: 1})
		p.Addresses = append(p.Addresses, fmt.Sprintf("10.0.0.1:%d", 1000+i))
	}
	return p
}

// used applies lists to a subset and records which caches the router uses.
type used struct {
	n     *endpointSubset
	known map[string]bool
}

func (u *used) play(t *testing.T, p endpoints.Publish) {
	t.Helper()
	out := u.n.restrict(p, structuredlog.Discard())
	good := false
	for i, e := range out.Endpoints {
		if e.Status != decide.Removed && out.Addresses[i] == "" {
			t.Errorf("%s has no address", e.ID)
		}
		if good && e.Status != decide.Serving {
			t.Error("bad news stands behind good")
		}
		good = good || e.Status == decide.Serving
		if e.Status == decide.Removed {
			delete(u.known, e.ID)
		} else {
			u.known[e.ID] = true
		}
	}
}

// TestSubsetFollowsFleetSize uses no more caches than there are descriptors, and all of them again once the fleet is
// smaller.
func TestSubsetFollowsFleetSize(t *testing.T) {
	cfg := &Config{RouterNumber: 1, RouterCount: 3}
	u := &used{newEndpointSubset(cfg, 390), map[string]bool{}}
	u.play(t, fleetOf(300))
	if len(u.known) != 300 {
		t.Errorf("%d of 300 are used", len(u.known))
	}
	whole := fleetOf(500)
	u.play(t, endpoints.Publish{Kind: decide.DeltaUpdate, Endpoints: whole.Endpoints[300:], Addresses: whole.Addresses[300:]})
	if n := len(u.known); n > 390 || n < 280 {
		t.Errorf("%d of 500 are used, there are descriptors for 390", n)
	}
	for id := range u.known {
		if !u.n.aperture.Covers(id) {
			t.Errorf("%s is used, the aperture does not cover it", id)
		}
	}
	// Drains inside the aperture are passed on, those outside it are not.
	for _, e := range whole.Endpoints[:20] {
		was := u.known[e.ID]
		e.Status = decide.Draining
		out := u.n.restrict(endpoints.Publish{Endpoints: []decide.Endpoint{e}, Addresses: []string{""}}, structuredlog.Discard())
		if heard := len(out.Endpoints) == 1; heard != was {
			t.Errorf("%s, used %v: its drain was heard %v", e.ID, was, heard)
		}
	}
	gone := endpoints.Publish{}
	for _, e := range whole.Endpoints[200:] {
		gone.Endpoints, gone.Addresses = append(gone.Endpoints, decide.Endpoint{ID: e.ID, Status: decide.Removed}), append(gone.Addresses, "")
	}
	u.play(t, gone)
	if len(u.known) != 200 {
		t.Errorf("%d of 200 are used", len(u.known))
	}
}

func TestSubsetNeedsRouterNumber(t *testing.T) {
	if n := newEndpointSubset(&Config{RouterNumber: -1}, 10); n != nil {
		t.Error("it has an aperture")
	}
}

func TestConfigReadsRouterNumberFromPeers(t *testing.T) {
	cfg := testConfig(t, "127.0.0.1:1", func(in map[string]any) {
		in["peers"], in["peer_listen"] = []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}, "10.0.0.2:1"
	})
	if cfg.RouterNumber != 1 || cfg.RouterCount != 3 {
		t.Errorf("router %d of %d", cfg.RouterNumber, cfg.RouterCount)
	}
}
