// Package endpoints merges the lists of several sources (the platform's discovery, a registry, a fixed file) into the one
// endpoint list that package decide uses.
//
// A Merger receives events and returns actions. It performs no I/O, reads no clock and starts no goroutines: each event is
// passed with its time, and equal sequences of events give equal actions.
//
// The rules of the merge, in order of precedence:
//   - A drain or removal that a source reports explicitly is published at once and is never suppressed.
//   - A flapping endpoint is suppressed for a time that grows with each flap and decays while the endpoint is stable (route
//     flap damping, RFC 2439), so that its keys do not move back and forth.
//   - An unavailable source removes no endpoint. Its claims remain valid, and the operators' tables show their age.
//   - A source whose full list omits most of its endpoints at once must confirm the omissions, through another of its servers
//     where it has several. The omissions are published when the source confirms them, or when it neither confirms nor denies
//     them within the time limit. Only omissions wait for a confirmation; an explicit drain or removal never does. A source
//     that becomes unavailable confirms nothing. A source whose first full list names no serving endpoint must also confirm
//     that list, but no change waits for this confirmation.
//   - Where sources disagree, the first source in the operators' order determines an endpoint's address and attributes; a
//     drain or removal that any other source reports drains the endpoint.
package endpoints

import (
	"log/slog"

	"starlingwinch/decide"
)

// Time is an instant or a span in microseconds.
type Time = decide.Time

// Claim is the entry of one source on one endpoint.
type Claim struct {
	Endpoint decide.Endpoint // Status is decide.Removed where the source explicitly reports the removal
	Address  string          // an IP address and a port; a drain or removal with an empty Address does not change the address
	Reason   string          // the source's own name of the status, for the log: "OUT_OF_SERVICE"
	LastSeen Time            // the source's last contact with the endpoint, on the events' clock; 0 if the source does not report it
}

// Event is an input of the Merger: *SourceUpdate, *SourceUnavailable or *Tick.
type Event interface{ event() }

// SourceUpdate is a full or partial list that a source has sent.
type SourceUpdate struct {
	Source       string   // name of the source in Options.Sources
	Full         bool     // the list names every endpoint that the source knows, and an omitted one is removed; otherwise it has only changes
	Stale        bool     // the list is the last known one, and may be outdated
	Confirmation bool     // the full list was fetched in response to a Confirm
	Claims       []Claim  // one for each entry
	Unreadable   []string // IDs of endpoints whose entry is invalid: the source's previous claims on them remain valid
}

// SourceUnavailable reports that a source can't be reached or sends no usable response. Reason is for the log.
type SourceUnavailable struct{ Source, Reason string }

// Tick is the event that a Wake has requested.
type Tick struct{}

func (*SourceUpdate) event()      {}
func (*SourceUnavailable) event() {}
func (*Tick) event()              {}

// Action is an output of the Merger: Publish, Confirm, Wake or Log. The caller carries actions out in order.
type Action interface{ action() }

// Publish has the changed entries of the merged list: removals first, then drains, then serving endpoints. The Merger returns
// the first Publish for the first list of any source, even if that list is empty.
type Publish struct {
	Kind      decide.UpdateKind // decide.StaleUpdate if this is the first Publish and its list is stale, else decide.DeltaUpdate
	Endpoints []decide.Endpoint // StartedAt is as a source reported it
	Addresses []string          // of Endpoints, in the same order
}

// Confirm requests that a source's full list be fetched a second time, from another of its servers where it has several. The
// caller responds with a SourceUpdate with Confirmation set, or with a SourceUnavailable.
type Confirm struct{ Source string }

// Wake requests a Tick at or after At. It replaces the previous Wake.
type Wake struct{ At Time }

// Log is a log line for the engineer on call.
type Log struct {
	Level   slog.Level
	Message string
	Attrs   []slog.Attr
}

func (Publish) action() {}
func (Confirm) action() {}
func (Wake) action()    {}
func (Log) action()     {}
