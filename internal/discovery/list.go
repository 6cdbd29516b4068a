// Package discovery fetches and parses the endpoint list of the platform's discovery service. Parse checks an answer entry by
// entry, and Watch receives updates of the list by long polls. Other packages decide how to act on the list.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"

	"starlingwinch/decide"
)

// List is a checked answer of discovery.
type List struct {
	Index      int64             // version of the list
	Full       bool              // the list contains all endpoints; otherwise only the changed ones
	Endpoints  []decide.Endpoint // usable entries
	Addresses  []string          // addresses of Endpoints, in the same order; "" leaves an address unchanged
	Unreadable []string          // ids of serving endpoints whose entry has no usable address: they stay unchanged
	Faults     []string          // descriptions of invalid entries and fields, for the log
}

// NoIndex is the version before the first list. A watch that follows NoIndex fetches the full list.
const NoIndex = -1

const (
	maxNameLength = 256    // limit for an endpoint's name and zone, in bytes
	maxEndpoints  = 10_000 // limit for the serving endpoints of one list; drains and removals above the limit are still used
)

// listJSON is the wire form of an answer.
type listJSON struct {
	Index     *int64             `json:"index"`
	Snapshot  bool               `json:"snapshot"`
	Endpoints *[]json.RawMessage `json:"endpoints"`
}

// Parse parses a list in discovery's format. It returns an error if no part of the list is usable. Otherwise, Parse checks each
// entry separately and describes the invalid ones in Faults, because a list with an invalid entry may contain drains in other entries.
func Parse(raw []byte) (List, error) {
	var wire listJSON
	if err := json.Unmarshal(raw, &wire); err != nil {
		return List{}, fmt.Errorf("list of hosts: %w", err)
	}
	if wire.Index == nil || *wire.Index < 0 || wire.Endpoints == nil {
		return List{}, errors.New("list of hosts: index and endpoints are required")
	}
	list := List{Index: *wire.Index, Full: wire.Snapshot}
	list.addEntries(*wire.Endpoints)
	if len(*wire.Endpoints) > 0 && len(list.Endpoints)+len(list.Unreadable) == 0 {
		return List{}, fmt.Errorf("list of hosts: none of its entries can be used: %s", list.Faults[0])
	}
	return list, nil
}

// addEntries checks the entries of a list and adds the usable ones to l.
func (l *List) addEntries(entries []json.RawMessage) {
	positions := make(map[string]int, min(len(entries), maxEndpoints)) // index into l.Endpoints by endpoint id
	ignored := 0
	for i, raw := range entries {
		endpoint, address, ok := l.parseEntry(i, raw)
		if !ok {
			continue
		}
		if position, duplicate := positions[endpoint.ID]; duplicate {
			l.addFault(i, "name", "duplicate name")
			l.Endpoints[position].Status = max(l.Endpoints[position].Status, endpoint.Status) // the status closer to removal
			continue
		}
		if endpoint.Status == decide.Serving && len(l.Endpoints) >= maxEndpoints {
			ignored++
			continue
		}
		positions[endpoint.ID] = len(l.Endpoints)
		l.Endpoints = append(l.Endpoints, endpoint)
		l.Addresses = append(l.Addresses, address)
	}
	if ignored > 0 {
		l.Faults = append(l.Faults, fmt.Sprintf("endpoints: %d caches beyond the limit of %d are ignored", ignored, maxEndpoints))
	}
}

func (l *List) addFault(i int, field, problem string) {
	l.Faults = append(l.Faults, fmt.Sprintf("endpoints[%d].%s: %s", i, field, problem))
}
