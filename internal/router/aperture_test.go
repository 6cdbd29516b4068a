package router

import (
	"fmt"
	"testing"

	"starlingwinch/decide"
	"starlingwinch/internal/endpoints"
	"starlingwinch/internal/structuredlog"
)

// fleetOf returns an endpoint list of n serving caches.
func fleetOf(n int) endpoints.Publish {
	p := endpoints.Publish{Kind: decide.StaleUpdate}
	for i := range n {
		p.Endpoints = append(p.Endpoints, decide.Endpoint{ID: fmt.Sprintf("s-%04d", i), Weight: 1})
		p.Addresses = append(p.Addresses, fmt.Sprintf("10.0.0.1:%d", 1000+i))
	}
	return p
}

// subsetRecorder applies endpoint lists to a subset and records which caches the router uses.
type subsetRecorder struct {
	subset *endpointSubset
	used   map[string]bool
}

func (u *subsetRecorder) apply(t *testing.T, p endpoints.Publish) {
	t.Helper()
	out := u.subset.restrict(p, structuredlog.Discard())
	sawServing := false
	for i, e := range out.Endpoints {
		if e.Status != decide.Removed && out.Addresses[i] == "" {
			t.Errorf("%s is in the list without an address", e.ID)
		}
		if sawServing && e.Status != decide.Serving {
			t.Error("a drain or removal follows a serving endpoint, want drains and removals first")
		}
		sawServing = sawServing || e.Status == decide.Serving
		if e.Status == decide.Removed {
			delete(u.used, e.ID)
		} else {
			u.used[e.ID] = true
		}
	}
}

// TestSubsetFollowsFleetSize grows a fleet beyond the router's descriptors and shrinks it again. The router uses no more
// caches than it has descriptors for, and uses all caches again once the fleet is small enough.
func TestSubsetFollowsFleetSize(t *testing.T) {
	cfg := &Config{RouterNumber: 1, RouterCount: 3}
	u := &subsetRecorder{newEndpointSubset(cfg, 390), map[string]bool{}}
	u.apply(t, fleetOf(300))
	if len(u.used) != 300 {
		t.Errorf("%d of 300 caches are used, want all", len(u.used))
	}
	whole := fleetOf(500)
	u.apply(t, endpoints.Publish{Kind: decide.DeltaUpdate, Endpoints: whole.Endpoints[300:], Addresses: whole.Addresses[300:]})
	if n := len(u.used); n > 390 || n < 280 {
		t.Errorf("%d of 500 caches are used, want 280 to 390, the number of descriptors", n)
	}
	for id := range u.used {
		if !u.subset.aperture.Covers(id) {
			t.Errorf("%s is used, but the aperture does not cover it", id)
		}
	}
	// The subset passes on drains of caches inside the aperture, and no others.
	for _, e := range whole.Endpoints[:20] {
		wasUsed := u.used[e.ID]
		e.Status = decide.Draining
		out := u.subset.restrict(endpoints.Publish{Endpoints: []decide.Endpoint{e}, Addresses: []string{""}}, structuredlog.Discard())
		if passedOn := len(out.Endpoints) == 1; passedOn != wasUsed {
			t.Errorf("drain of %s: passed on %v, want %v", e.ID, passedOn, wasUsed)
		}
	}
	removals := endpoints.Publish{}
	for _, e := range whole.Endpoints[200:] {
		removals.Endpoints = append(removals.Endpoints, decide.Endpoint{ID: e.ID, Status: decide.Removed})
		removals.Addresses = append(removals.Addresses, "")
	}
	u.apply(t, removals)
	if len(u.used) != 200 {
		t.Errorf("%d of 200 caches are used, want all", len(u.used))
	}
}

func TestSubsetNeedsRouterNumber(t *testing.T) {
	if s := newEndpointSubset(&Config{RouterNumber: -1}, 10); s != nil {
		t.Error("got a subset for an unknown router number, want nil")
	}
}

// TestConfigReadsRouterNumberFromPeers checks that the router's number is the index, from 0, of its own address among the peers.
func TestConfigReadsRouterNumberFromPeers(t *testing.T) {
	cfg := testConfig(t, "127.0.0.1:1", func(in map[string]any) {
		in["peers"], in["peer_listen"] = []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}, "10.0.0.2:1"
	})
	if cfg.RouterNumber != 1 || cfg.RouterCount != 3 {
		t.Errorf("got router %d of %d, want 1 of 3", cfg.RouterNumber, cfg.RouterCount)
	}
}
