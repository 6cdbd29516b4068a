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
	list, err := Parse([]byte(`{"index":43,"snapshot":false,"endpoints":[
		{"name":"s1","address":"127.0.0.1:6379","zone":"z","group":3,"status":"terminating","weight":2.5,"since_ms":17},
		{"name":"s2","address":"","zone":"z","group":3,"status":"terminated"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	want := []decide.Endpoint{{ID: "s1", Zone: "z", Cell: 3, Weight: 2.5, StartedAt: 17000, Status: decide.Draining},
		{ID: "s2", Zone: "z", Cell: 3, Weight: 1, Status: decide.Removed}}
	if list.Index != 43 || list.Full || len(list.Endpoints) != 2 || list.Endpoints[0] != want[0] ||
		list.Endpoints[1] != want[1] {
		t.Errorf("got %+v, want changes of version 43 with endpoints %+v", list, want)
	}
}

// TestParseReadsDrainDespiteInvalidEntry guards against rejecting a list with drains because of one invalid entry.
func TestParseReadsDrainDespiteInvalidEntry(t *testing.T) {
	drains := host("c1", "127.0.0.1:1", "terminating")
	for _, c := range []struct{ bad, fault string }{
		{host("c2", "cache.example.org:1", "in_service"), "endpoints[0].address"},
		{host("c2", "", "in_service"), "endpoints[0].address"},
		{host("c2", "127.0.0.1:2", "odd"), "endpoints[0].status"},
		{host("", "127.0.0.1:2", "in_service"), "endpoints[0].name"},
		{host("c1", "127.0.0.1:1", "in_service"), "endpoints[1].name"}, // duplicate name: the drain counts
		{strings.Replace(host("c2", "127.0.0.1:2", "in_service"), `"weight":1`, `"weight":-1`, 1), "endpoints[0].weight"},
		{strings.Replace(host("c2", "127.0.0.1:2", "in_service"), `"group":1`, `"group":"x"`, 1), "endpoints[0].group"},
		{strings.Replace(host("c2", "127.0.0.1:2", "in_service"), `"since_ms":0`, `"since_ms":-1`, 1), "endpoints[0].since_ms"},
		{`17`, "endpoints[0]"},
	} {
		t.Run(c.fault, func(t *testing.T) {
			list, err := Parse([]byte(hosts(9, true, c.bad, drains)))
			if err != nil {
				t.Errorf("%s: %v", c.bad, err)
				return
			}
			drained := false
			for _, e := range list.Endpoints {
				drained = drained || e.ID == "c1" && e.Status == decide.Draining
			}
			if !drained || len(list.Faults) != 1 || !strings.HasPrefix(list.Faults[0], c.fault) {
				t.Errorf("%s: got drained %v and faults %q, want a drain and the one fault %s", c.bad, drained, list.Faults, c.fault)
			}
		})
	}
	list, err := Parse([]byte(hosts(9, true, host("c1", "nowhere", "terminating"))))
	if err != nil || len(list.Endpoints) != 1 || list.Endpoints[0].Status != decide.Draining {
		t.Errorf("drain with an invalid address: got %+v and error %v, want one draining endpoint", list, err)
	}
}

// TestParseLimitsServingEndpoints checks that Parse uses the serving endpoints up to the limit, and a drain above the limit.
func TestParseLimitsServingEndpoints(t *testing.T) {
	var lines []string
	for i := range maxEndpoints + 5 {
		lines = append(lines, host(fmt.Sprint("n", i), "127.0.0.1:1", "in_service"))
	}
	lines = append(lines, host("c1", "127.0.0.1:1", "terminating"))
	list, err := Parse([]byte(hosts(2, true, lines...)))
	if err != nil {
		t.Fatal(err)
	}
	if n := len(list.Endpoints); n != maxEndpoints+1 || list.Endpoints[n-1].ID != "c1" || len(list.Faults) != 1 {
		t.Errorf("got %d entries and faults %q, want %d entries, the last one c1, and one fault", n, list.Faults, maxEndpoints+1)
	}
}

// FuzzParse checks that Parse either accepts or rejects any input, and that the accepted entries are valid.
func FuzzParse(f *testing.F) {
	f.Add([]byte(hosts(1, true, host("c1", "127.0.0.1:1", "in_service"))))
	f.Add([]byte(`{"index":1,"endpoints":[{"name":3},[],null,{"name":"a","status":"terminated"}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		list, err := Parse(raw)
		if err != nil {
			return
		}
		if len(list.Endpoints) != len(list.Addresses) {
			t.Fatalf("got %d entries and %d addresses, want equal numbers", len(list.Endpoints), len(list.Addresses))
		}
		for i, e := range list.Endpoints {
			if e.ID == "" || e.StartedAt < 0 || !(e.Weight >= 0) || e.Status == decide.Serving && list.Addresses[i] == "" {
				t.Fatalf("accepted invalid entry %+v with address %q", e, list.Addresses[i])
			}
		}
	})
}
