// Package gossip is a router's view of the routers of its tier: which there are, which are held to be gone, and whether
// the others see the same.
//
// It is SWIM (Das, Gupta, Motivala 2002) with the parts of Lifeguard (Dadgar, Phillips, Currey 2018): members probe
// one another at a fixed pace, ask others to probe for them where no answer comes, and hold a member faulty only after
// a suspicion that it can refute. What changes is carried along with probes, a bounded number of times. Beyond that:
//   - Members that are held faulty are asked again for as long as they are configured, so that a healed partition meets
//     again by itself.
//   - A claim that a member is faulty is no proof: whoever hears it suspects for itself, and tells the accused.
//   - What piggyback has lost is found by comparing digests in pairs.
//   - A view is settled where all members that are held alive have said the same digest.
//
// It is fed events and returns actions, performs no I/O, reads no clock and starts no goroutine: the time comes in with
// each event, and equal events give equal actions. It never says anything about caches, and no router may act on a
// cache by its word.
package gossip

import (
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
)

// Time is an instant or a span in microseconds.
type Time = int64

// Bounds of what is taken in.
const (
	MaxNameBytes = 32   // bytes of a name
	MaxMembers   = 8192 // members of a view, configured addresses included
	// MaxDatagramBytes is the longest datagram that is sent or taken in, which is the platform's bound.
	MaxDatagramBytes = 256
	// ahead is how far an incarnation may lie ahead of this router's clock. The danger: one near the largest number
	// leaves no room to refute it, and its member can never be told apart from an older life of it again.
	ahead = 24 * 60 * 60 * 1000
)

// State is what a member is held to be.
type State uint8

const (
	Alive   State = iota
	Leaving       // it drains, by its own word
	Suspect       // it did not answer, and may yet
	Faulty        // it is held to be gone; it is asked again
	Left          // it has gone after it said that it would
	states
)

func (s State) String() string {
	return [...]string{"alive", "leaving", "suspect", "faulty", "left"}[min(s, states-1)]
}

// IsAlive reports whether a member in that state is held to run.
func (s State) IsAlive() bool { return s == Alive || s == Leaving || s == Suspect }

// Info is the small state that each member carries for itself.
type Info struct {
	List   uint64 // the version of the list of caches that it acts on
	Digest uint32 // of that list's content
	Config uint32 // digest of its configuration
	Build  uint32 // of its program
}

// Member is one line of a view.
type Member struct {
	Name        string
	Addr        string // where this router sends to; empty where it does not know
	State       State
	Incarnation uint64 // in Unix milliseconds of its start, and one more for each refutation
	Since       Time   // when it came into that state here
	Info        Info
	Configured  bool // its address stands in this router's configuration
}

// Config is what a view is told at its start.
type Config struct {
	Name  string
	Start uint64 // Unix time in milliseconds: the first incarnation
	Boot  uint32 // a random number that tells this life of the router from its others
	Seed  uint64 // for its choices
	Peers []string
	Seeds []string // addresses that are asked as peers are; who comes from anywhere else by them is taken in
	Addr  string   // where others reach this router, told where Seeds are set
	Info  Info

	Interval  Time // between probes
	Timeout   Time // within which an answer should come
	Suspicion int  // intervals, times the logarithm of the members, for which a member is suspected at least
	// Plain leaves out what Lifeguard adds, and what this package does beyond SWIM. It is there to be measured against.
	Plain bool
	// Defect plants a defect, to see that the lab finds it.
	Defect Defect
}

// Defect is a defect that can be planted.
type Defect uint8

const (
	NoDefect          Defect = iota
	FaultyNeverProbed        // members that are held faulty are not asked again
	NotRaised                // a refutation does not raise the incarnation
	UpdatesForever           // a rumour is sent for ever
	NoTimeout                // a suspicion does not end
	GreedyMinority           // shares grow in a minority
	SettledEarly             // a view is settled before all have said its digest
	Replayable               // datagrams are believed again
	Defects
)

// DefaultConfig holds the figures that docs/design/fleet.md measures.
func DefaultConfig() Config {
	return Config{Interval: 150_000, Timeout: 50_000, Suspicion: 3}
}

// check names the first field that is out of range.
func (c *Config) check() error {
	if len(c.Name) == 0 || len(c.Name) > MaxNameBytes {
		return fmt.Errorf("fleet: a name of %d bytes, 1 to %d are allowed", len(c.Name), MaxNameBytes)
	}
	if len(c.Peers)+len(c.Seeds) > MaxMembers {
		return fmt.Errorf("fleet: %d peers and seeds, at most %d", len(c.Peers)+len(c.Seeds), MaxMembers)
	}
	for _, a := range append(append([]string{}, c.Peers...), c.Seeds...) {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return fmt.Errorf("fleet: peer %q: %w", a, err)
		}
	}
	if len(c.Seeds) > 0 {
		if _, err := netip.ParseAddrPort(c.Addr); err != nil {
			return fmt.Errorf("fleet: address %q, to be told to others: %w", c.Addr, err)
		}
	}
	if c.Interval < 10_000 || c.Timeout <= 0 || c.Timeout*2 >= c.Interval || c.Suspicion < 1 {
		return errors.New("fleet: the timeout has to be under half of the interval, which is 10 ms at least")
	}
	return nil
}

// Event is anything a view is told: *Heard, *Tick, *Own, *Leave or *Peers.
type Event interface{ event() }

// DatagramReceived brings a datagram. Data is not kept.
type DatagramReceived struct {
	From string
	Data []byte
}

// Tick is the echo of a Wake.
type Tick struct{}

// UpdateInfo changes what this router says of itself.
type UpdateInfo struct{ Info Info }

// Leave says that this router drains. Gone says that it ends now.
type Leave struct{ Gone bool }

// Peers takes over changed addresses.
type Peers struct{ Peers []string }

func (*DatagramReceived) event() {}
func (*Tick) event()             {}
func (*UpdateInfo) event()       {}
func (*Leave) event()            {}
func (*Peers) event()            {}

// Action is anything a view asks for. The caller carries actions out in order.
type Action interface{ action() }

// Send sends a datagram. Data holds until the next event.
type Send struct {
	To   string
	Data []byte
}

// Wake asks for a Tick at or after At. A later Wake takes the place of the one before.
type Wake struct{ At Time }

// Changed says that the view has changed in what routers are here, or in whether it is settled.
type Changed struct{}

// Log adds a line to the log, for the engineer on call.
type Log struct {
	Level   slog.Level
	Message string
	Attrs   []slog.Attr
}

func (Send) action()    {}
func (Wake) action()    {}
func (Changed) action() {}
func (Log) action()     {}

// Counts are what a view has come across.
type Counts struct {
	Sent, SentBytes, Taken            int
	Longest                           int // datagram that was sent
	Garbage, Foreign, Replayed, Wrong int // datagrams not believed: unreadable, of no member, old, with figures out of range
	Stalls, Refuted, Accused          int // this process stood still; it refuted; members that it came to hold faulty
}
