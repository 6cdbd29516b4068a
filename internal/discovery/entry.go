package discovery

import (
	"encoding/json"
	"fmt"
	"math"
	"net/netip"

	"starlingwinch/decide"
)

const (
	microsecondsPerMillisecond = 1000
	maxStartMilliseconds       = math.MaxInt64 / 2000 // prevents the overflow of a start time in µs, which is at most half of math.MaxInt64
)

// statuses maps discovery's values for an endpoint's status to decide's.
var statuses = map[string]decide.Status{
	"in_service":  decide.Serving,
	"terminating": decide.Draining,
	"terminated":  decide.Removed,
}

// entryJSON is the wire form of a list entry. Each field is decoded separately, so that the valid fields of an entry with an
// invalid field are still used.
type entryJSON struct {
	Name    json.RawMessage `json:"name"`
	Address json.RawMessage `json:"address"`
	Zone    json.RawMessage `json:"zone"`
	Group   json.RawMessage `json:"group"`
	Status  json.RawMessage `json:"status"`
	Weight  json.RawMessage `json:"weight"`
	SinceMS json.RawMessage `json:"since_ms"`
}

// entry is a list entry with decoded but unchecked fields.
type entry struct {
	endpoint decide.Endpoint // Weight, StartedAt and Status are unset
	address  string
	status   string
	sinceMS  int64
	weight   float64
}

// parseEntry decodes and checks one entry, and adds its faults to the list. It reports whether the entry is usable.
func (l *List) parseEntry(i int, raw json.RawMessage) (endpoint decide.Endpoint, address string, ok bool) {
	in, ok := l.decodeEntry(i, raw)
	if !ok {
		return decide.Endpoint{}, "", false
	}
	endpoint = in.endpoint
	if endpoint.ID == "" || len(endpoint.ID) > maxNameLength || len(endpoint.Zone) > maxNameLength {
		l.addFault(i, "name", "empty or too long, or its zone's is")
		return decide.Endpoint{}, "", false
	}
	endpoint.Status = l.checkStatus(i, &in)
	endpoint.StartedAt = l.checkStart(i, &in)
	endpoint.Weight = l.checkWeight(i, &in)
	if _, err := netip.ParseAddrPort(in.address); err == nil || endpoint.Status == decide.Removed {
		return endpoint, in.address, true
	}
	l.addFault(i, "address", fmt.Sprintf("%.60q of %.40q is no address and port", in.address, endpoint.ID))
	if endpoint.Status == decide.Serving {
		l.Unreadable = append(l.Unreadable, endpoint.ID)
		return decide.Endpoint{}, "", false
	}
	return endpoint, "", true // a drain needs no address
}

// decodeEntry decodes the fields of an entry. A field that can't be decoded keeps its default. decodeEntry reports whether the
// entry is an object.
func (l *List) decodeEntry(i int, raw json.RawMessage) (in entry, ok bool) {
	var wire entryJSON
	if err := json.Unmarshal(raw, &wire); err != nil {
		l.addFault(i, "", "not an object")
		return entry{}, false
	}
	decode := func(field string, raw json.RawMessage, into any) {
		if len(raw) > 0 && json.Unmarshal(raw, into) != nil {
			l.addFault(i, field, fmt.Sprintf("%.40s can't be decoded", raw))
		}
	}
	in.weight = 1
	decode("name", wire.Name, &in.endpoint.ID)
	decode("address", wire.Address, &in.address)
	decode("zone", wire.Zone, &in.endpoint.Zone)
	decode("group", wire.Group, &in.endpoint.Cell)
	decode("status", wire.Status, &in.status)
	decode("since_ms", wire.SinceMS, &in.sinceMS)
	decode("weight", wire.Weight, &in.weight)
	return in, true
}

// checkStatus returns the status of an entry. An unknown value counts as a drain, because only one value means serving.
func (l *List) checkStatus(i int, in *entry) decide.Status {
	status, known := statuses[in.status]
	if !known {
		l.addFault(i, "status", fmt.Sprintf("%.40q of %.40q is unknown: taken for terminating", in.status, in.endpoint.ID))
		return decide.Draining
	}
	return status
}

// checkStart returns the start time of an entry in microseconds. The start time 0 means long ago.
func (l *List) checkStart(i int, in *entry) decide.Time {
	if in.sinceMS < 0 {
		l.addFault(i, "since_ms", "below 0: taken for long ago")
		return 0
	}
	return min(in.sinceMS, maxStartMilliseconds) * microsecondsPerMillisecond
}

// checkWeight returns the weight of an entry, or 1 if the weight is out of range.
func (l *List) checkWeight(i int, in *entry) float64 {
	if !(in.weight >= 0) || math.IsInf(in.weight, 0) {
		l.addFault(i, "weight", "out of range; 1 is assumed")
		return 1
	}
	return in.weight
}
