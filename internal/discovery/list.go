// Package discovery reads and follows the platform's list of caches (PROTOCOL, "Discovery"): what an
// answer says, entry by entry, and the watch that keeps the list up to date. It decides nothing about
// what the list means.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"

	"starlingwinch/decide"
)

// List is an answer of discovery, checked.
type List struct {
	Index      int64 // its version
	Full       bool  // it names every cache there is
	Endpoints  []decide.Endpoint
	Addresses  []string // of the entries, in their order; "" stays as it is
	Unreadable []string // caches that take work, by an entry that can't be used: they stay as they are
	Faults     []string // what can't be read, for the log
}

// Kind is what the module is to make of an answer.
func (h *List) Kind() decide.UpdateKind {
	if h.Full {
		return decide.FullUpdate
	}
	return decide.DeltaUpdate
}

// NoIndex is the version of a list that was never seen.
const NoIndex = -1

const (
	maxNameLength = 256    // bytes of a cache's name, or a zone's
	maxCaches     = 10_000 // of one list
)

var conditions = map[string]decide.Status{"in_service": decide.Serving, "terminating": decide.Draining,
	"terminated": decide.Removed}

// endpoint is a line of a list as it comes.
type endpoint struct {
	Name    json.RawMessage `json:"name"`
	Address json.RawMessage `json:"address"`
	Zone    json.RawMessage `json:"zone"`
	Group   json.RawMessage `json:"group"`
	Status  json.RawMessage `json:"status"`
	Weight  json.RawMessage `json:"weight"`
	SinceMS json.RawMessage `json:"since_ms"`
}

// Parse reads a list in discovery's form. An error says that nothing of it can be used. Else what is legal is taken,
// each entry by itself, and the rest is named. The danger: one entry that can't be read throws
// the whole list away, and the drains in it are not learned.
func Parse(raw []byte) (List, error) {
	var in struct {
		Index     *int64             `json:"index"`
		Snapshot  bool               `json:"snapshot"`
		Endpoints *[]json.RawMessage `json:"endpoints"`
	}
	if err := json.Unmarshal(raw, &in); err != nil {
		return List{}, fmt.Errorf("list of hosts: %w", err)
	}
	if in.Index == nil || *in.Index < 0 || in.Endpoints == nil {
		return List{}, errors.New("list of hosts: index and endpoints are needed")
	}
	h := List{Index: *in.Index, Full: in.Snapshot}
	place := make(map[string]int, min(len(*in.Endpoints), maxCaches))
	skipped := 0
	for i, raw := range *in.Endpoints {
		e, addr, ok := h.endpoint(i, raw)
		if !ok {
			continue
		}
		if at, twice := place[e.ID]; twice {
			h.fault(i, "name", "stands twice")
			if e.Status > h.Endpoints[at].Status {
				h.Endpoints[at].Status = e.Status // the worse news counts
			}
			continue
		}
		if e.Status == decide.Serving && len(h.Endpoints) >= maxCaches {
			skipped++
			continue
		}
		place[e.ID] = len(h.Endpoints)
		h.Endpoints, h.Addresses = append(h.Endpoints, e), append(h.Addresses, addr)
	}
	if len(*in.Endpoints) > 0 && len(h.Endpoints)+len(h.Unreadable) == 0 {
		return List{}, fmt.Errorf("list of hosts: none of its entries can be used: %s", h.Faults[0])
	}
	if skipped > 0 {
		h.Faults = append(h.Faults, fmt.Sprintf("endpoints: %d caches past the first %d are not used", skipped, maxCaches))
	}
	return h, nil
}

func (h *List) fault(i int, field, what string) {
	h.Faults = append(h.Faults, fmt.Sprintf("endpoints[%d].%s: %s", i, field, what))
}

// endpoint reads one entry. It reports whether the entry is to be taken over.
func (h *List) endpoint(i int, raw json.RawMessage) (e decide.Endpoint, addr string, ok bool) {
	var in endpoint
	if err := json.Unmarshal(raw, &in); err != nil {
		h.fault(i, "", "not an object")
		return e, "", false
	}
	read := func(field string, raw json.RawMessage, into any) {
		if len(raw) > 0 && json.Unmarshal(raw, into) != nil {
			h.fault(i, field, fmt.Sprintf("%.40s can't be read", raw))
		}
	}
	status, since, weight := "", int64(0), 1.0
	read("name", in.Name, &e.ID)
	read("address", in.Address, &addr)
	read("zone", in.Zone, &e.Zone)
	read("group", in.Group, &e.Cell)
	read("status", in.Status, &status)
	read("since_ms", in.SinceMS, &since)
	read("weight", in.Weight, &weight)
	if e.ID == "" || len(e.ID) > maxNameLength || len(e.Zone) > maxNameLength {
		h.fault(i, "name", "empty or too long, or its zone's is")
		return e, "", false
	}
	cond, known := conditions[status]
	if !known {
		// Only one word says that it takes work. The danger: any other one may be a drain.
		h.fault(i, "status", fmt.Sprintf("%.40q of %.40q is unknown: taken for terminating", status, e.ID))
		cond = decide.Draining
	}
	if since < 0 {
		h.fault(i, "since_ms", "below 0: taken for long ago")
		since = 0
	}
	if !(weight >= 0) || math.IsInf(weight, 0) {
		h.fault(i, "weight", "out of range: taken for 1")
		weight = 1
	}
	e.Weight, e.StartedAt, e.Status = weight, min(since, math.MaxInt64/2000)*1000, cond
	if _, err := netip.ParseAddrPort(addr); err != nil && cond != decide.Removed {
		h.fault(i, "address", fmt.Sprintf("%.60q of %.40q is no address and port", addr, e.ID))
		if addr = ""; cond == decide.Serving {
			h.Unreadable = append(h.Unreadable, e.ID)
			return e, "", false
		}
	}
	return e, addr, true
}
