// Package discovery reads and follows the endpoint list of the platform's discovery service: Parse checks an answer entry by
// entry, and Watch keeps the list up to date by long polls. It decides nothing about what the list means.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"

	"starlingwinch/decide"
)

// List is an answer of discovery, checked.
type List struct {
	Index      int64             // its version
	Full       bool              // it names every endpoint there is; else those that changed
	Endpoints  []decide.Endpoint // the usable entries
	Addresses  []string          // of Endpoints, in the same order; "" leaves the address as it is
	Unreadable []string          // serving endpoints whose entry has no usable address: they stay as they are
	Faults     []string          // what can't be read, for the log
}

// NoIndex is the version before any list: a watch that follows it fetches the full list.
const NoIndex = -1

const (
	maxNameLength = 256    // of an endpoint's name or zone; bytes
	maxEndpoints  = 10_000 // of one list; drains and removals beyond that are still taken
)

// listJSON is an answer as it stands on the wire.
type listJSON struct {
	Index     *int64             `json:"index"`
	Snapshot  bool               `json:"snapshot"`
	Endpoints *[]json.RawMessage `json:"endpoints"`
}

// Parse reads a list in discovery's form. It returns an error where nothing of the list can be used. Else each entry is
// checked by itself and the invalid ones are named in Faults: a list with one invalid entry may hold drains in the others.
func Parse(raw []byte) (List, error) {
	var wire listJSON
	if err := json.Unmarshal(raw, &wire); err != nil {
		return List{}, fmt.Errorf("list of hosts: %w", err)
	}
	if wire.Index == nil || *wire.Index < 0 || wire.Endpoints == nil {
		return List{}, errors.New("list of hosts: index and endpoints are needed")
	}
	list := List{Index: *wire.Index, Full: wire.Snapshot}
	list.addEntries(*wire.Endpoints)
	if len(*wire.Endpoints) > 0 && len(list.Endpoints)+len(list.Unreadable) == 0 {
		return List{}, fmt.Errorf("list of hosts: none of its entries can be used: %s", list.Faults[0])
	}
	return list, nil
}

// addEntries checks the entries of a list one by one, and adds the usable ones.
func (l *List) addEntries(entries []json.RawMessage) {
	places := make(map[string]int, min(len(entries), maxEndpoints)) // by id, in l.Endpoints
	ignored := 0
	for i, raw := range entries {
		endpoint, address, ok := l.parseEntry(i, raw)
		if !ok {
			continue
		}
		if place, duplicate := places[endpoint.ID]; duplicate {
			l.addFault(i, "name", "stands twice")
			l.Endpoints[place].Status = max(l.Endpoints[place].Status, endpoint.Status) // the one closer to removal
			continue
		}
		if endpoint.Status == decide.Serving && len(l.Endpoints) >= maxEndpoints {
			ignored++
			continue
		}
		places[endpoint.ID] = len(l.Endpoints)
		l.Endpoints = append(l.Endpoints, endpoint)
		l.Addresses = append(l.Addresses, address)
	}
	if ignored > 0 {
		l.Faults = append(l.Faults, fmt.Sprintf("endpoints: %d caches past the first %d are not used", ignored, maxEndpoints))
	}
}

func (l *List) addFault(i int, field, problem string) {
	l.Faults = append(l.Faults, fmt.Sprintf("endpoints[%d].%s: %s", i, field, problem))
}
