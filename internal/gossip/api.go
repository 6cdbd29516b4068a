// Package gossip is a router's view of the other routers: which there are, which of them are believed to have failed, and
// whether all routers have the same view.
//
// It is SWIM (Das, Gupta, Motivala 2002) with the extensions of Lifeguard (Dadgar, Phillips, Currey 2018): members probe one
// another at a fixed interval, probe indirectly through others where no acknowledgement comes, and declare a member faulty
// only after a suspicion that it can refute. Updates are piggybacked on probes, each a bounded number of times. Beyond that:
//   - Faulty members are polled for as long as they are configured, so that a partition heals by itself.
//   - A claim that a member is faulty is not believed: a router that receives one suspects the member itself, and notifies it.
//   - Updates that were lost are found by comparing digests in pairs (anti-entropy).
//   - A view is settled once all members that are alive have announced the same digest.
//
// A View is fed events and returns actions. It performs no I/O, reads no clock and starts no goroutine: the time comes in
// with each event, and equal events give equal actions. It never says anything about caches, and no router may act on a
// cache because of it.
package gossip

import (
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
)

// Time is an instant or a span in microseconds.
type Time = int64

// Bounds of what is accepted.
const (
	MaxNameBytes     = 32   // bytes of a name
	MaxMembers       = 8192 // members of a view, configured addresses included
	MaxDatagramBytes = 256  // bytes of a datagram that is sent or received: the platform's bound
)

// maxIncarnationLead is how far, in milliseconds, an incarnation may be ahead of this router's clock. One near the largest
// number could never be refuted, and a restarted member never be distinguished from its earlier process.
const maxIncarnationLead = 24 * 60 * 60 * 1000

// State is what a member is believed to be.
type State uint8

// States of a member.
const (
	Alive   State = iota // it answers
	Leaving              // it drains, as it has announced
	Suspect              // it did not answer, and may refute that it has failed
	Faulty               // it is believed to have failed; it is polled
	Left                 // it has ended, as it had announced
	states
)

var stateNames = [...]string{"alive", "leaving", "suspect", "faulty", "left"}

// String returns the state in lower case.
func (s State) String() string { return stateNames[min(s, Left)] }

// IsAlive reports whether a member in that state is believed to run.
func (s State) IsAlive() bool { return s == Alive || s == Leaving || s == Suspect }

// Info is what each member announces of itself.
type Info struct {
	List   uint64 // version of the endpoint list that it acts on
	Digest uint32 // digest of that list
	Config uint32 // digest of its configuration
	Build  uint32 // digest of its program
}

// Member is one member of a view.
type Member struct {
	Name        string
	Addr        string // where this router sends to; empty where it is unknown
	State       State
	Incarnation uint64 // in Unix milliseconds of its start, and one more for each refutation
	Since       Time   // when it came into that state at this router
	Info        Info
	Configured  bool // its address stands in this router's configuration
}

// Config configures a view. DefaultConfig has the defaults of the figures.
type Config struct {
	Name  string   // of this router; 1 to MaxNameBytes bytes
	Start uint64   // Unix time in milliseconds: the first incarnation
	Boot  uint32   // random; distinguishes this process from earlier ones of the same name
	Seed  uint64   // of the view's random choices
	Peers []string // addresses of other routers
	Seeds []string // addresses that are polled as peers are; members that come through them are accepted from any address
	Addr  string   // where other routers reach this one; needed with Seeds, announced to all
	Info  Info

	// Interval is the time between probes. Raising it detects failures later; lowering it costs datagrams.
	Interval Time
	// Timeout is the time in which a probe should be acknowledged. Raising it delays indirect probes; lowering it makes more
	// of them, and suspicions on slow links.
	Timeout Time
	// Suspicion is the minimum time for which a member is suspected, in intervals times the logarithm of the number of
	// members. Raising it detects failures later; lowering it leaves less time to refute.
	Suspicion int
	// Plain leaves out the extensions of Lifeguard, and what this package adds to SWIM, for measurements against them.
	Plain bool
	// Defect plants a defect, to check that tests find it.
	Defect Defect
}

// Defect is a defect that can be planted.
type Defect uint8

// Defects, with what goes wrong.
const (
	NoDefect          Defect = iota
	FaultyNeverProbed        // faulty members are not polled
	NotRaised                // a refutation does not raise the incarnation
	UpdatesForever           // an update is sent without a bound
	NoTimeout                // a suspicion does not end
	GreedyMinority           // the divisor shrinks in a minority
	SettledEarly             // a view is settled before all have announced its digest
	Replayable               // replayed datagrams are accepted
	Defects                  // the number of them
)

// DefaultConfig returns the figures that hold where nothing else is configured. docs/design/fleet.md has what they were
// measured by.
func DefaultConfig() Config {
	return Config{Interval: 150_000, Timeout: 50_000, Suspicion: 3}
}

// minInterval is the shortest interval between probes.
const minInterval Time = 10_000

// check names the first field that is out of range.
func (c *Config) check() error {
	if len(c.Name) == 0 || len(c.Name) > MaxNameBytes {
		return fmt.Errorf("fleet: a name of %d bytes, 1 to %d are allowed", len(c.Name), MaxNameBytes)
	}
	if len(c.Peers)+len(c.Seeds) > MaxMembers {
		return fmt.Errorf("fleet: %d peers and seeds, at most %d", len(c.Peers)+len(c.Seeds), MaxMembers)
	}
	for _, address := range slices.Concat(c.Peers, c.Seeds) {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return fmt.Errorf("fleet: peer %q: %w", address, err)
		}
	}
	if len(c.Seeds) > 0 {
		if _, err := netip.ParseAddrPort(c.Addr); err != nil {
			return fmt.Errorf("fleet: address %q, to be told to others: %w", c.Addr, err)
		}
	}
	if c.Interval < minInterval || c.Timeout <= 0 || c.Timeout*2 >= c.Interval || c.Suspicion < 1 {
		return errTimeout
	}
	return nil
}

var errTimeout = errors.New("fleet: the timeout has to be under half of the interval, which is 10 ms at least")

// Event is anything that a view is notified of: *DatagramReceived, *Tick, *UpdateInfo, *Leave or *Peers.
type Event interface{ event() }

// DatagramReceived brings a datagram. The view does not retain Data.
type DatagramReceived struct {
	From string
	Data []byte
}

// Tick comes at or after the time that a Wake has asked for.
type Tick struct{}

// UpdateInfo changes what this router announces of itself.
type UpdateInfo struct{ Info Info }

// Leave says that this router drains, or with Gone that it ends now.
type Leave struct{ Gone bool }

// Peers replaces the configured addresses.
type Peers struct{ Peers []string }

func (*DatagramReceived) event() {}
func (*Tick) event()             {}
func (*UpdateInfo) event()       {}
func (*Leave) event()            {}
func (*Peers) event()            {}

// Action is anything that a view wants done. The caller carries actions out in order.
type Action interface{ action() }

// Send sends a datagram. Data is valid until the next event.
type Send struct {
	To   string
	Data []byte
}

// Wake asks for a Tick at or after At. It replaces the Wake before.
type Wake struct{ At Time }

// Changed says that a member came, went or changed its state other than by a suspicion, or that the view became settled or
// unsettled.
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

// Counts are counters of a view since its start.
type Counts struct {
	Sent      int // datagrams sent
	SentBytes int // bytes of them
	Taken     int // datagrams accepted
	Longest   int // bytes of the longest datagram sent
	Garbage   int // datagrams that could not be read
	Foreign   int // datagrams of routers that are no members, or that bear this router's name
	Replayed  int // datagrams that came again, or of an earlier process
	Wrong     int // figures out of range
	Stalls    int // times that this process did not run for longer than an interval
	Refuted   int // claims on this router that it refuted
	Accused   int // members that this router declared faulty
}
