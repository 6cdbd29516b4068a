// Package endpoints merges what several sources say of the caches (the platform's discovery, registries,
// a fixed file) into the one list that the decision module takes.
//
// It is fed events and returns actions, performs no I/O, reads no clock and starts no goroutine: the
// time comes in with each event, and equal events give equal actions.
//
// Its rules, in the order in which they win:
//   - Bad news (a drain, a departure, out of service) is acted on at once and never damped.
//   - Good news after flapping is held down for a span that grows with each flap and decays while it is
//     quiet (after RFC 2439), so that a cache that flaps does not move keys to and fro.
//   - A source that can't be reached takes nothing away; how old its word is can be seen.
//   - A source whose whole list leaves out most of its caches at once is asked again, elsewhere where it has
//     another server, and obeyed when that confirms it, or when nothing comes of it within the grace. Only
//     absence is held back so, never bad news in so many words; a Lost confirms nothing.
//   - Where sources disagree, the one that stands first in the operators' order says where a cache is and
//     what it is like; any one's bad news keeps new work away from it.
package endpoints

import (
	"log/slog"

	"starlingwinch/decide"
)

// Time is an instant or a span in microseconds.
type Time = decide.Time

// Claim is what one source says of one cache.
type Claim struct {
	Endpoint decide.Endpoint // Condition Removed says in so many words that it is gone
	Address  string          // an IP address and a port; may be empty for bad news, and the last one stays
	Reason   string          // the source's own word for it, for the log: "OUT_OF_SERVICE", "lease expired"
	LastSeen Time            // when the source itself last heard of it, on the events' clock; 0 where it does not say
}

// Event is anything the module is told: *Heard, *Lost or *Tick.
type Event interface{ event() }

// SourceUpdate brings a source's list. Full: it names every cache that the source knows, and one that it leaves
// out has departed. Else it holds the changed ones. Stale: it is the last known one, and may be old.
// Repeat: the source was asked again after a Confirm, and this is its whole list. Unread names caches
// that stand in the list by an entry that can't be used: they stay as they are.
type SourceUpdate struct {
	Source     string
	Full       bool
	Stale      bool
	Repeat     bool
	Claims     []Claim
	Unreadable []string
}

// SourceUnavailable says that a source can't be reached, or answers nothing that can be used. Why is for the log.
type SourceUnavailable struct{ Source, Reason string }

// Tick is the echo of a Wake.
type Tick struct{}

func (*SourceUpdate) event()      {}
func (*SourceUnavailable) event() {}
func (*Tick) event()              {}

// Action is anything the module asks for. The caller carries actions out in order.
type Action interface{ action() }

// Publish hands on entries of the merged list that have changed, with their addresses in the same order; bad news
// first. Entry.Start is as a source gave it. Kind is decide.StaleUpdate for the first one where it is from an old
// list, and decide.DeltaUpdate else. The first one comes with the first list, also where nothing stands in it.
type Publish struct {
	Kind      decide.UpdateKind
	Endpoints []decide.Endpoint
	Addresses []string
}

// Confirm asks a source for its whole list once more, at another of its servers where it has one. What
// comes of it is a Heard with Repeat, or a Lost.
type Confirm struct{ Source string }

// Wake asks for a Tick at or after At. A later Wake takes the place of the one before.
type Wake struct{ At Time }

// Log adds a line to the log, for the engineer on call.
type Log struct {
	Level   slog.Level
	Message string
	Attrs   []slog.Attr
}

func (Publish) action() {}
func (Confirm) action() {}
func (Wake) action()    {}
func (Log) action()     {}
