// Package decide makes the decisions of one router in front of a fleet of
// cache servers: which cache gets a request, when an attempt is given up or
// repeated, and when a request is refused.
//
// A Router is fed events and returns actions. It performs no I/O, reads no
// clock and starts no goroutines: the time comes in with each event, and equal
// events give equal actions.
package decide

import (
	"errors"
	"fmt"
	"math"
)

// Time is an instant or a span in microseconds. The zero of the clock is arbitrary.
type Time = int64

// HeldUp is for how long a router may stand still between a look at its clock and the write that follows it: the operators'
// terms name the figure.
const HeldUp Time = 150_000

// Effect says what may happen when a request is carried out twice.
type Effect uint8

const (
	Unsafe Effect = iota // must never run twice; also any class not in the settings
	Safe                 // may be repeated freely
	Keyed                // repeats are dropped inside Scope for KeyTTL
)

// Scope names the caches that drop repeats of a keyed request.
type Scope uint8

const (
	ScopeCell Scope = iota // those of the first cache's cell
	ScopeZone              // those of its zone
	ScopeAll               // every cache
)

// Class describes one kind of request.
type Class struct {
	Name      string
	Effect    Effect
	Scope     Scope   // Keyed only
	KeyTTL    Time    // Keyed only, from the first send that may have run
	Aim       Time    // full worth is earned up to here
	Limit     Time    // the client's whole patience, over all its tries
	Worth     float64 // of an answer within the aim
	LateWorth float64 // share of Worth earned after the aim
}

// Settings is what a router is told once, at its start.
type Settings struct {
	Routers   int    // how many routers share the load
	Zone      string // where this one is; "" where that is not told
	Classes   []Class
	MustWatch bool // the list is told only to those that ask
	LiveSizes bool // Entry.Size is lowered by the load of the moment

	MaxAttempts int
	Copies      bool    // two attempts of a request may be pending at once
	Cancels     bool    // Cancel is allowed
	Probes      bool    // Probe is allowed
	RefuseWait  Time    // longest stay-away a client honours; 0 where it is not passed on
	DrainGrace  Time    // sends to a draining or gone cache must have ceased by then
	ColdTime    Time    // a started cache is warm no later than this
	ColdShare   float64 // a started cache can do this share of its work at least; sent a multiple ...
	TipTime     Time    // ... for this long falls over
	AskEvery    Time    // without a watch for this long, the router is deemed told
	ProbePrice  float64 // points lost at one probe a request
	ConnPrice   float64 // points lost at 100 open connections a cache
	DialPrice   float64 // points lost at one new connection a request
}

// check names the first field that is out of range.
func (s *Settings) check() error {
	if len(s.Classes) == 0 {
		return errors.New("decide: Classes is empty")
	}
	type field struct {
		name      string
		v, lo, hi float64
	}
	inf := math.MaxFloat64
	fields := []field{
		{"Routers", float64(s.Routers), 0, inf}, {"MaxAttempts", float64(s.MaxAttempts), 1, inf},
		{"RefuseWait", float64(s.RefuseWait), 0, inf}, {"DrainGrace", float64(s.DrainGrace), 0, inf},
		{"ColdTime", float64(s.ColdTime), 0, inf}, {"ColdShare", s.ColdShare, 0, 1},
		{"TipTime", float64(s.TipTime), 0, inf}, {"AskEvery", float64(s.AskEvery), 0, inf},
		{"ProbePrice", s.ProbePrice, 0, inf}, {"ConnPrice", s.ConnPrice, 0, inf},
		{"DialPrice", s.DialPrice, 0, inf},
	}
	for i, c := range s.Classes {
		at := fmt.Sprintf("Classes[%d].", i)
		fields = append(fields, field{at + "Aim", float64(c.Aim), 0, inf},
			field{at + "Limit", float64(c.Limit), 0, inf},
			field{at + "KeyTTL", float64(c.KeyTTL), 0, inf}, field{at + "Worth", c.Worth, 0, inf},
			field{at + "LateWorth", c.LateWorth, 0, 1})
	}
	for _, f := range fields {
		if !(f.v >= f.lo && f.v <= f.hi) { // also where it is not a number
			return fmt.Errorf("decide: %s is %v, out of range", f.name, f.v)
		}
	}
	return nil
}

// Condition is what the list says of a cache.
type Condition uint8

const (
	Up Condition = iota
	Draining
	Removed
)

// Entry is one line of the list of caches.
type Entry struct {
	ID        string
	Zone      string
	Cell      int
	Size      float64
	Start     Time // last start; 0 is long ago
	Condition Condition
}

// Result tells how an attempt or a probe ended.
type Result uint8

const (
	Served       Result = iota
	Errored             // may have run
	Rejected            // proves it never ran
	NoAnswer            // may have run, or may still
	NoConnection        // proves it never ran
	ConnLost            // may have run
	Cancelled           // may have run
	NotSent             // proves it never ran
	NotStored           // proves it never ran
)

// NeverRan reports whether the result proves that the request was not carried out.
func (s Result) NeverRan() bool {
	return s == Rejected || s == NoConnection || s == NotSent || s == NotStored
}

// Load is a cache's report on itself. Busy is below 0 where it was not reported.
type Load struct{ Busy, Errors float64 }

// Event is anything a Router is told: *List, *Request, *Started, *Outcome,
// *Departed, *Timer, *Probed, *PeerMessage, *Fleet or *Pressure.
type Event interface{ event() }

// ListKind says what a List holds.
type ListKind uint8

const (
	ListChanges ListKind = iota // the changed entries only
	ListFull                    // every cache there is
	ListStale                   // every cache, as last known; may be old
	ListFailed                  // a call failed or the watch broke; no entries
)

// List tells of the caches.
type List struct {
	Kind    ListKind
	Entries []Entry
}

// Request asks for one final answer before Deadline.
type Request struct {
	ID       int64
	Class    string
	Tenant   string
	Key      uint64
	HasKey   bool
	Deadline Time
	Since    Time // when its client first asked, where this is known to be a retry; 0 where it is not
	Cost     Time // expected work; 0 where unknown
	Write    bool // goes on to the origin
	Unkeyed  bool // of a keyed class, without a key: no cache drops a repeat
}

// Started says that a streamed answer has begun: it belongs to the client now.
type Started struct {
	ID      int64
	Attempt int
}

// Outcome tells how an attempt ended. Last means nothing more is owed.
type Outcome struct {
	ID      int64
	Attempt int
	Result  Result
	Elapsed Time
	Last    bool
	Miss    bool // the cache had to fetch
	Load    Load
}

// Departed says that the client has gone: nothing is owed any more.
type Departed struct{ ID int64 }

// Timer is the echo of a SetTimer.
type Timer struct{ Token int64 }

// Probed tells how a probe ended.
type Probed struct {
	Cache   string
	Result  Result
	Elapsed Time
	Load    Load
}

// PeerMessage comes from another router. The policy shares nothing and ignores it.
type PeerMessage struct {
	From int
	Data string
}

// Fleet says by how many routers what all of them may take together is divided from now on.
type Fleet struct{ Routers int }

// Pressure says that clients retry more than they ask, and what that calls for, until the next one says otherwise.
// Before the first one, and after one with On unset, decisions are as if there were none.
type Pressure struct {
	On      bool
	Away    bool    // it comes of an outage: caches are away, or have just come back
	Retries float64 // of the budget of retries and of what it earns, the share that is left
	Wait    Time    // refusals name times that differ by up to so much
}

func (*List) event()        {}
func (*Request) event()     {}
func (*Started) event()     {}
func (*Outcome) event()     {}
func (*Departed) event()    {}
func (*Timer) event()       {}
func (*Probed) event()      {}
func (*PeerMessage) event() {}
func (*Fleet) event()       {}
func (*Pressure) event()    {}

// Action is anything a Router asks for: Send, Cancel, Refuse, Fail, SetTimer, DropTimer,
// Probe, CloseIdle, Watch or Log. The caller carries them out in order.
type Action interface{ action() }

// Send starts the next attempt of a request, given up at StopAt. Where WriteBy is not 0, the last byte
// must be on its way before then: later the caches may not remember an attempt that may have run.
type Send struct {
	ID      int64
	Cache   string
	StopAt  Time
	WriteBy Time
}

// Cancel ends the wait on an attempt.
type Cancel struct {
	ID      int64
	Attempt int
}

// Why is what kept a request from being served, for whoever sums up losses. It changes nothing.
type Why uint8

const (
	NoWhy       Why = iota
	PastUse         // a client's retry, in a storm, of what can't be served in time any more
	TooMuch         // caches do not serve in time what they are sent as it is
	LeftAlone       // its cache is left alone, and no more requests may move
	NoRoom          // no cache that it may go to had room in time
	SparesStore     // a likely miss, and the store had no room for it in time
	NoRetry         // its attempt failed, and the budget of retries is spent
	NoCache         // there is no cache that it may go to
	OutOfTime       // its deadline came, with an attempt out or without
)

var whys = [...]string{"", "retry past its use", "more than caches serve", "its cache is left alone", "no room at caches",
	"spares the store", "no budget to try again", "no cache for it", "out of time"}

func (w Why) String() string { return whys[w] }

// Refuse is a final answer: trying again is harmless.
type Refuse struct {
	ID   int64
	Wait Time // advice to stay away; 0 for none
	Why  Why
}

// Fail is a final answer that promises nothing.
type Fail struct {
	ID  int64
	Why Why
}

// SetTimer asks for a Timer event at or after At.
type SetTimer struct {
	Token int64
	At    Time
}

// DropTimer takes a SetTimer back: its Timer event is not to come any more. Where it comes all the same, it does nothing.
type DropTimer struct{ Token int64 }

// Probe asks for a health probe of a cache.
type Probe struct{ Cache string }

// CloseIdle closes the router's idle connections to a cache.
type CloseIdle struct{ Cache string }

// Watch subscribes to changes of the list.
type Watch struct{}

// Log adds a line for the person on call.
type Log struct{ Text string }

func (Send) action()      {}
func (Cancel) action()    {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (SetTimer) action()  {}
func (DropTimer) action() {}
func (Probe) action()     {}
func (CloseIdle) action() {}
func (Watch) action()     {}
func (Log) action()       {}
