package endpoints

import (
	"container/list"
	"fmt"

	"starlingwinch/decide"
)

// maxReasonLength limits a source's reason for a status, in characters.
const maxReasonLength = 80

// sourceClaim is the latest claim of one source on one endpoint.
type sourceClaim struct {
	Claim              // the effective claim: its Status is Removed also after a full list has omitted the endpoint
	known       bool   // the source has named the endpoint since the Merger last forgot it
	stale       bool   // the claim is from a stale list
	omitted     bool   // Status is Removed because a full list omitted the endpoint, not because an entry reported a removal
	unconfirmed bool   // a full list omitted too many endpoints, this one included: the previous claim remains valid until confirmation
	omittedAt   Time   // time of that omission, if unconfirmed
	updatedAt   Time   // time of the source's latest claim
	update      uint64 // number of the latest SourceUpdate that named the endpoint
}

// endpoint is the state of one endpoint.
type endpoint struct {
	id     string
	claims []sourceClaim // by source, in the operators' order

	merged    decide.Status   // result of merging the claims, before flap damping
	status    decide.Status   // as published; Removed before the first time
	published decide.Endpoint // as published
	address   string          // as published

	dirty                  bool // the claims must be merged again in this turn
	dampedSourceDowngraded bool // in this turn, the claim of a damped source changed from serving to another status

	removedElement *list.Element // element of the endpoint in Merger.removed; nil if it is not in that list
	removedAt      Time          // when the endpoint was added to Merger.removed
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

// merge returns the result of merging the claims on an endpoint. The first source that knows the endpoint determines its
// attributes and status, including its removal. A drain or removal that any other source reports drains the endpoint; a source
// that does not know the endpoint has no effect. removedByAll reports whether every source that knows the endpoint has removed
// it.
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
		// A fixed file has no start times. Without the start time from another source, a newly started cache would count as
		// warm.
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

// statusTexts are the descriptions of a status in the operators' tables and in the reasons in the log.
var statusTexts = [...]string{
	decide.Serving:  "takes work",
	decide.Draining: "drains",
	decide.Removed:  "has gone",
}

// cause is the reason for an endpoint's status: a source's claim, or flap damping.
type cause struct {
	source        string // empty if flap damping is the cause, or if no source knows the endpoint
	reason        string // given by the source
	suppressed    bool   // flap damping is the cause
	suppressedFor Time   // time until the suppression ends
	flaps         int    // since the endpoint was last stable
}

// String returns the cause as text for the operators' tables.
func (c cause) String() string {
	switch {
	case c.suppressed:
		return fmt.Sprintf("held down for %.1f s more after %d flaps", float64(c.suppressedFor)/1e6, c.flaps)
	case c.source == "":
		return ""
	}
	return c.source + ": " + c.reason
}

// causeAt returns the cause of an endpoint's status: flap damping, else the first claim of a drain, removal or unconfirmed
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

// reasonText returns the source's own reason for the status, or a default text if the source gave none.
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
