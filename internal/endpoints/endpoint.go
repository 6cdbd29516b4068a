package endpoints

import (
	"container/list"
	"fmt"

	"starlingwinch/decide"
)

// maxReasonLength bounds a source's word for a status; characters.
const maxReasonLength = 80

// sourceClaim is the latest claim of one source on one endpoint.
type sourceClaim struct {
	Claim              // as it counts: Status is Removed also where a full list has omitted the endpoint
	known       bool   // the source has named the endpoint since that was last forgotten
	stale       bool   // it comes from a stale list
	omitted     bool   // it is Removed because a full list omitted it, not by an entry
	unconfirmed bool   // a full list has omitted it, as one of too many: the claim before counts until that is confirmed
	omittedAt   Time   // since when it is unconfirmed
	updatedAt   Time   // when the source last made it
	update      uint64 // number of the SourceUpdate that last named the endpoint
}

// endpoint is all that is known of one endpoint.
type endpoint struct {
	id     string
	claims []sourceClaim // by source, in the operators' order

	merged    decide.Status   // what the claims amount to
	status    decide.Status   // as published; Removed before the first time
	published decide.Endpoint // as published
	address   string          // as published

	dirty                  bool // it is to be merged anew in this turn
	dampedSourceDowngraded bool // in this turn, a damped source took back that it is serving

	removedElement *list.Element // its place in Merger.removed; nil where it is not there
	removedAt      Time          // since when it is there
	flaps          flapHistory
}

func newEndpoint(id string, sources int) *endpoint {
	return &endpoint{
		id:     id,
		claims: make([]sourceClaim, sources),
		merged: decide.Removed,
		status: decide.Removed,
		flaps:  flapHistory{queueIndex: notQueued},
	}
}

// merge returns what the claims on an endpoint amount to. The first source that knows it describes it, and removes it where
// that one does. A drain or removal of any other source drains it; a source that does not know it has no say. removedByAll
// reports whether every source that knows it has removed it.
func (e *endpoint) merge() (merged decide.Endpoint, address string, removedByAll bool) {
	first := true
	removedByAll = true
	for i := range e.claims {
		c := &e.claims[i]
		if !c.known {
			continue
		}
		removedByAll = removedByAll && c.Endpoint.Status == decide.Removed
		if first {
			merged, address, first = c.Endpoint, c.Address, false
			continue
		}
		if merged.Status == decide.Serving && c.Endpoint.Status != decide.Serving {
			merged.Status = decide.Draining
		}
		// A fixed file knows no start times: without those of another source, a cache that just started would count as warm.
		if merged.StartedAt == 0 {
			merged.StartedAt = c.Endpoint.StartedAt
		}
		if address == "" {
			address = c.Address
		}
	}
	merged.ID = e.id
	return merged, address, removedByAll
}

// statusTexts are the words for a status in the tables for operators.
var statusTexts = [...]string{
	decide.Serving:  "takes work",
	decide.Draining: "drains",
	decide.Removed:  "has gone",
}

// cause says why an endpoint has its status: a source's claim, or flap damping.
type cause struct {
	source        string // empty where flap damping is the cause, or no source knows the endpoint
	reason        string // of the source
	suppressed    bool   // flap damping is the cause
	suppressedFor Time   // from now on
	flaps         int    // since the endpoint was last stable
}

// String is the cause in words for operators.
func (c cause) String() string {
	switch {
	case c.suppressed:
		return fmt.Sprintf("held down for %.1f s more after %d flaps", float64(c.suppressedFor)/1e6, c.flaps)
	case c.source == "":
		return ""
	}
	return c.source + ": " + c.reason
}

// causeAt returns why an endpoint has its status: flap damping, else the first claim of a drain, removal or unconfirmed
// omission, else the first claim.
func (m *Merger) causeAt(e *endpoint, now Time) cause {
	if e.merged == decide.Serving && e.status != decide.Serving {
		return cause{suppressed: true, suppressedFor: max(0, e.flaps.suppressedUntil-now), flaps: e.flaps.count}
	}
	var first cause
	for i := range e.claims {
		c := &e.claims[i]
		if !c.known {
			continue
		}
		byClaim := cause{source: m.sources[i].Name, reason: c.reasonText()}
		if c.Endpoint.Status != decide.Serving || c.unconfirmed {
			return byClaim
		}
		if first.source == "" {
			first = byClaim
		}
	}
	return first
}

// reasonText is the source's own word for the status, or what stands for it where the source gave none.
func (c *sourceClaim) reasonText() string {
	switch {
	case c.omitted:
		return "left out of its list"
	case c.unconfirmed:
		return "left out of a list that lost many at once, not confirmed"
	}
	text := statusTexts[c.Endpoint.Status]
	if c.Reason != "" {
		text = fmt.Sprintf("%.*s", maxReasonLength, c.Reason)
	}
	if c.stale {
		text += " (old list)"
	}
	return text
}
