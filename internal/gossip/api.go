// Package gossip maintains a router's view of the other routers: the members, the members that are believed to have failed,
// and whether all routers have the same view.
//
// The protocol is SWIM (Das, Gupta, Motivala 2002) with the extensions of Lifeguard (Dadgar, Phillips, Currey 2018). Members
// probe one another at a fixed interval, probe indirectly through other members if no acknowledgement arrives, and declare a
// member faulty only after a suspicion that the member can refute. Updates are piggybacked on probes, each a bounded number of
// times. The package adds to SWIM and Lifeguard:
//   - A router polls faulty members while their addresses are configured, so that the view recovers after a partition.
//   - A router doesn't trust a claim that a member is faulty: the router suspects the member itself and notifies the member.
//   - Routers detect lost updates by comparing digests in pairs (anti-entropy).
//   - A view is settled once all members that are alive have announced the same digest.
//
// A View is a state machine that maps events to actions. It performs no I/O, reads no clock and starts no goroutine: each event
// carries the time, and equal events give equal actions. A View holds no information about caches, and a router must not
// act on a cache because of its View.
package gossip

import (
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
)

// Time is an instant or a duration in microseconds.
type Time = int64

// Limits on names, members and datagrams.
const (
	MaxNameBytes     = 32   // length of a member's name
	MaxMembers       = 8192 // members of a view; also the limit on configured addresses
	MaxDatagramBytes = 256  // length of a datagram that is sent or received; the platform's limit
)

// maxIncarnationLead is the maximum, in milliseconds, by which an incarnation may be ahead of this router's clock. An incarnation
// near the largest number could never be refuted, and a restarted member could not be distinguished from its earlier process.
const maxIncarnationLead = 24 * 60 * 60 * 1000

// State is the state of a member as this router believes it to be.
type State uint8

// States of a member.
const (
	Alive   State = iota // the member answers probes
	Leaving              // the member has announced that it drains
	Suspect              // the member did not answer a probe and may still refute the suspicion
	Faulty               // the member is believed to have failed, and its address is polled
	Left                 // the member has ended after announcing that it leaves
	states
)

var stateNames = [...]string{"alive", "leaving", "suspect", "faulty", "left"}

// String returns the state in lower case.
func (s State) String() string { return stateNames[min(s, Left)] }

// IsAlive reports whether a member in state s is believed to run.
func (s State) IsAlive() bool { return s == Alive || s == Leaving || s == Suspect }

// Info is the data that each member announces about itself.
type Info struct {
	List   uint64 // version of the endpoint list that the member uses
	Digest uint32 // digest of that endpoint list
	Config uint32 // digest of the member's configuration
	Build  uint32 // digest of the member's program
}

// Member is one member of a view.
type Member struct {
	Name        string
	Addr        string // address that this router sends to; empty if unknown
	State       State
	Incarnation uint64 // the member's start in Unix milliseconds, plus one for each refutation
	Since       Time   // when the member entered State at this router
	Info        Info
	Configured  bool // Addr is in this router's configuration
}

// Config configures a view. DefaultConfig returns the defaults of Interval, Timeout and Suspicion.
type Config struct {
	Name  string   // name of this router; 1 to MaxNameBytes bytes
	Start uint64   // Unix time in milliseconds; the first incarnation
	Boot  uint32   // random number that distinguishes this process from earlier processes with the same name
	Seed  uint64   // seed of the view's random number generator
	Peers []string // addresses of other routers
	Seeds []string // addresses that are polled like Peers; members discovered through them are accepted from any address
	Addr  string   // address at which other routers reach this one; required with Seeds, announced to all members
	Info  Info

	// Interval is the time between probes. A longer interval delays the detection of failures; a shorter one sends more
	// datagrams.
	Interval Time
	// Timeout is the time within which a probe should be acknowledged. A longer timeout delays indirect probes; a shorter one
	// causes more indirect probes, and suspicions on slow links.
	Timeout Time
	// Suspicion is the minimum duration of a suspicion, in intervals times the logarithm of the number of members. A larger
	// value delays the detection of failures; a smaller one leaves a member less time to refute the suspicion.
	Suspicion int
	// PlainSWIM disables the extensions of Lifeguard and the additions of this package to SWIM, so that measurements can compare
	// against plain SWIM.
	PlainSWIM bool
	// Defect is the defect to inject, if any; tests inject defects to verify that they are detected.
	Defect Defect
}

// Defect is a defect that tests can inject.
type Defect uint8

// Defects that tests can inject.
const (
	NoDefect               Defect = iota
	FaultyNeverProbed             // faulty members are not polled
	IncarnationNotRaised          // a refutation does not raise the incarnation
	UpdatesNeverDropped           // an update is sent an unlimited number of times
	SuspicionNeverExpires         // a suspicion has no timeout
	MinorityShrinksDivisor        // the divisor shrinks on the minority side of a partition
	SettledEarly                  // a view is settled before all members have announced its digest
	Replayable                    // replayed datagrams are accepted
	Defects                       // number of the values above
)

// DefaultConfig returns the default Interval, Timeout and Suspicion. docs/design/fleet.md describes the measurements behind
// them.
func DefaultConfig() Config {
	return Config{Interval: 150_000, Timeout: 50_000, Suspicion: 3}
}

// minInterval is the shortest interval between probes.
const minInterval Time = 10_000

// check returns an error that names the first field that is out of range.
func (c *Config) check() error {
	if len(c.Name) == 0 || len(c.Name) > MaxNameBytes {
		return fmt.Errorf("fleet: name has %d bytes, want 1 to %d", len(c.Name), MaxNameBytes)
	}
	if len(c.Peers)+len(c.Seeds) > MaxMembers {
		return fmt.Errorf("fleet: %d peers and seeds, want at most %d", len(c.Peers)+len(c.Seeds), MaxMembers)
	}
	for _, address := range slices.Concat(c.Peers, c.Seeds) {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return fmt.Errorf("fleet: peer %q: %w", address, err)
		}
	}
	if len(c.Seeds) > 0 {
		if _, err := netip.ParseAddrPort(c.Addr); err != nil {
			return fmt.Errorf("fleet: address %q to announce to other routers: %w", c.Addr, err)
		}
	}
	if c.Interval < minInterval || c.Timeout <= 0 || c.Timeout*2 >= c.Interval || c.Suspicion < 1 {
		return errIntervals
	}
	return nil
}

var errIntervals = errors.New("fleet: interval must be at least 10 ms, timeout above 0 and under half of the interval, suspicion at least 1")

// Event is an input of a view: *DatagramReceived, *Tick, *UpdateInfo, *Leave or *Peers.
type Event interface{ event() }

// DatagramReceived carries a received datagram. The view does not retain Data.
type DatagramReceived struct {
	From string
	Data []byte
}

// Tick is the event that the latest Wake requested. It arrives at or after Wake.At.
type Tick struct{}

// UpdateInfo replaces the data that this router announces about itself.
type UpdateInfo struct{ Info Info }

// Leave reports that this router drains or, if Ended is set, that it ends now.
type Leave struct{ Ended bool }

// Peers replaces the configured addresses.
type Peers struct{ Peers []string }

func (*DatagramReceived) event() {}
func (*Tick) event()             {}
func (*UpdateInfo) event()       {}
func (*Leave) event()            {}
func (*Peers) event()            {}

// Action is an output of a view: Send, Wake, Changed or Log. The caller performs actions in order.
type Action interface{ action() }

// Send sends a datagram. Data is valid until the next event.
type Send struct {
	To   string
	Data []byte
}

// Wake requests a Tick at or after At. It replaces the previous Wake.
type Wake struct{ At Time }

// Changed reports that a member was added or changed its state, except by a suspicion or its refutation, that the view became
// settled or unsettled, or that another router has taken this router's name.
type Changed struct{}

// Log writes a record to the log, for the engineer on call.
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
	Sent           int // datagrams sent
	SentBytes      int // total bytes of the datagrams sent
	Accepted       int // datagrams accepted
	LongestBytes   int // bytes of the longest datagram sent
	Unreadable     int // datagrams that could not be decoded
	NonMember      int // datagrams from routers that are not members, or that use this router's name
	Replayed       int // datagrams received before, or sent by an earlier process of a member
	OutOfRange     int // incarnations out of range, and members beyond MaxMembers
	Stalls         int // times that this process did not run for longer than an interval
	Refuted        int // claims about this router that it refuted
	DeclaredFaulty int // members that this router declared faulty
}
