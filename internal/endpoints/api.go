// Package endpoints merges what several sources say of the caches (the platform's discovery, a registry, a fixed file) into
// the one endpoint list that the decision module takes.
//
// A Merger is fed events and returns actions. It performs no I/O, reads no clock and starts no goroutines: the time comes in
// with each event, and equal events give equal actions.
//
// Its rules, in the order of their precedence:
//   - A drain or a removal that a source reports is published at once, and is never suppressed.
//   - An endpoint that flaps is suppressed for a time that grows with each flap and decays while it is stable (route flap
//     damping, RFC 2439), so that it does not move keys to and fro.
//   - A source that is unavailable removes nothing; its claims stay, and their age can be seen.
//   - A source whose full list omits most of its endpoints at once must confirm that, by another of its servers where it
//     has several. The omissions are published when it confirms them, or when it neither confirms nor denies them in time.
//     Only omissions wait so, never a claim of a drain or removal; a source that becomes unavailable confirms nothing.
//     A source whose first full list names no serving endpoint must confirm that too, though nothing waits for it.
//   - Where sources disagree, the first in the operators' order says where an endpoint is and what it is like; a drain or
//     removal reported by any other source drains it.
package endpoints

import (
	"log/slog"

	"starlingwinch/decide"
)

// Time is an instant or a span in microseconds.
type Time = decide.Time

// Claim is what one source says of one endpoint.
type Claim struct {
	Endpoint decide.Endpoint // Status is decide.Removed where the source says explicitly that it is gone
	Address  string          // an IP address and a port; empty in a drain or removal leaves the address as it is
	Reason   string          // the source's own word for the status, for the log: "OUT_OF_SERVICE"
	LastSeen Time            // when the source itself last had contact with it, on the events' clock; 0 where it does not say
}

// Event is an input of the Merger: *SourceUpdate, *SourceUnavailable or *Tick.
type Event interface{ event() }

// SourceUpdate is a list of a source.
type SourceUpdate struct {
	Source     string   // its name in Options.Sources
	Full       bool     // it names every endpoint that the source knows, so that an omitted one is removed; else those that changed
	Stale      bool     // it is the list as last known, and may be old
	Repeat     bool     // it is the full list that was fetched to answer a Confirm
	Claims     []Claim  // one for each entry
	Unreadable []string // endpoints whose entry can't be used: they stay as they are
}

// SourceUnavailable says that a source can't be reached, or sends nothing that can be used. Reason is for the log.
type SourceUnavailable struct{ Source, Reason string }

// Tick is the answer to a Wake.
type Tick struct{}

func (*SourceUpdate) event()      {}
func (*SourceUnavailable) event() {}
func (*Tick) event()              {}

// Action is an output of the Merger: Publish, Confirm, Wake or Log. The caller carries actions out in order.
type Action interface{ action() }

// Publish has the entries of the merged list that have changed: removals first, then drains, then the others. The first one
// comes with the first list of any source, also where that is empty.
type Publish struct {
	Kind      decide.UpdateKind // decide.StaleUpdate for the first one where it is made of a stale list, else decide.DeltaUpdate
	Endpoints []decide.Endpoint // StartedAt is as a source gave it
	Addresses []string          // of Endpoints, in the same order
}

// Confirm requests a source's full list once more, by another of its servers where it has several. The caller answers with
// a SourceUpdate with Repeat set, or a SourceUnavailable.
type Confirm struct{ Source string }

// Wake requests a Tick at or after At. It replaces the Wake before.
type Wake struct{ At Time }

// Log is a line for the log, for the engineer on call.
type Log struct {
	Level   slog.Level
	Message string
	Attrs   []slog.Attr
}

func (Publish) action() {}
func (Confirm) action() {}
func (Wake) action()    {}
func (Log) action()     {}
