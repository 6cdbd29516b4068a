package discovery

import (
	"fmt"
	"strings"
	"testing"

	"starlingwinch/decide"
	"starlingwinch/internal/testbench/routertest"
)

var (
	host  = routertest.Host
	hosts = routertest.Hosts
)

func TestParse(t *testing.T) {
	h, err := Parse([]byte(`{"index":43,"snapshot":false,"endpoints":[
		{"name":"s1","address":"127.0.0.1:6379","zone":"z","group":3,"status":"terminating","weight":2.5,"since_ms":17},
		{"name":"s2","address":"","zone":"z","group":3,"status":"terminated"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	want := []decide.Endpoint{{ID: "s1", Zone: "z", Cell: 3, Weight: 2.5, StartedAt: 17000, Status: decide.Draining},
		{ID: "s2", Zone: "z", Cell: 3, Weight: 1, Status: decide.Removed}}
	if h.Index != 43 || h.Kind() != decide.DeltaUpdate || len(h.Endpoints) != 2 || h.Endpoints[0] != want[0] ||
		h.Endpoints[1] != want[1] {
		t.Errorf("got %+v", h)
	}
}

// TestOneBadEntryLosesNoDrain. The danger: a list with one entry that can't be read is thrown away
// whole, and the drains in it with it.
func TestOneBadEntryLosesNoDrain(t *testing.T) {
	drains := host("c1", "127.0.0.1:1", "terminating")
	for _, c := range []struct{ bad, fault string }{
		{host("c2", "cache.example.org:1", "in_service"), "endpoints[0].address"},
		{host("c2", "", "in_service"), "endpoints[0].address"},
		{host("c2", "127.0.0.1:2", "odd"), "endpoints[0].status"},
		{host("", "127.0.0.1:2", "in_service"), "endpoints[0].name"},
		{host("c1", "127.0.0.1:1", "in_service"), "endpoints[1].name"}, // twice: the worse news counts
		{strings.Replace(host("c2", "127.0.0.1:2", "in_service"), `"weight":1`, `"weight":-1`, 1), "endpoints[0].weight"},
		{strings.Replace(host("c2", "127.0.0.1:2", "in_service"), `"group":1`, `"group":"x"`, 1), "endpoints[0].group"},
		{strings.Replace(host("c2", "127.0.0.1:2", "in_service"), `"since_ms":0`, `"since_ms":-1`, 1), "endpoints[0].since_ms"},
		{`17`, "endpoints[0]"},
	} {
		h, err := Parse([]byte(hosts(9, true, c.bad, drains)))
		if err != nil {
			t.Errorf("%s: %v", c.bad, err)
			continue
		}
		drained := false
		for _, e := range h.Endpoints {
			drained = drained || e.ID == "c1" && e.Status == decide.Draining
		}
		if !drained || len(h.Faults) != 1 || !strings.HasPrefix(h.Faults[0], c.fault) {
			t.Errorf("%s: drained %v, faults %q", c.bad, drained, h.Faults)
		}
	}
	h, err := Parse([]byte(hosts(9, true, host("c1", "nowhere", "terminating"))))
	if err != nil || len(h.Endpoints) != 1 || h.Endpoints[0].Status != decide.Draining {
		t.Errorf("a drain with a bad address: %+v, %v", h, err)
	}
}

// TestListPastItsBound: the first caches are used, drains past the bound are heard.
func TestListPastItsBound(t *testing.T) {
	var lines []string
	for i := range maxCaches + 5 {
		lines = append(lines, host(fmt.Sprint("n", i), "127.0.0.1:1", "in_service"))
	}
	lines = append(lines, host("c1", "127.0.0.1:1", "terminating"))
	h, err := Parse([]byte(hosts(2, true, lines...)))
	if err != nil {
		t.Fatal(err)
	}
	if n := len(h.Endpoints); n != maxCaches+1 || h.Endpoints[n-1].ID != "c1" || len(h.Faults) != 1 {
		t.Errorf("%d entries, faults %q", n, h.Faults)
	}
}

// FuzzParse: whatever comes, it is read or refused, and what is taken is legal.
func FuzzParse(f *testing.F) {
	f.Add([]byte(hosts(1, true, host("c1", "127.0.0.1:1", "in_service"))))
	f.Add([]byte(`{"index":1,"endpoints":[{"name":3},[],null,{"name":"a","status":"terminated"}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		h, err := Parse(raw)
		if err != nil {
			return
		}
		if len(h.Endpoints) != len(h.Addresses) {
			t.Fatal("entries and addresses differ in number")
		}
		for i, e := range h.Endpoints {
			if e.ID == "" || e.StartedAt < 0 || !(e.Weight >= 0) || e.Status == decide.Serving && h.Addresses[i] == "" {
				t.Fatalf("taken: %+v at %q", e, h.Addresses[i])
			}
		}
	})
}
