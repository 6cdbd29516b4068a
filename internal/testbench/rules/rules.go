package rules

import (
	"fmt"
	"strings"
)

// Semantics says what may happen when a request is carried out twice.
type Semantics uint8

const (
	NonIdempotent   Semantics = iota // must never run twice; also any class that is not in the settings
	Idempotent                       // may be repeated freely
	IdempotentByKey                  // repeats are dropped inside Scope for Window
)

// DeduplicationScope names the caches that drop repeats of a keyed request.
type DeduplicationScope uint8

const (
	ScopeCell DeduplicationScope = iota // those of the first cache's cell
	ScopeZone                           // those of its zone
	ScopeAll                            // every cache
)

// Class describes one kind of request.
type Class struct {
	Semantics          Semantics
	Scope              DeduplicationScope // Keyed only
	IdempotencyWindow  Time               // Keyed only: from the first send that may have run
	LatencyObjective   Time               // full worth is earned up to here; 0 for up to the deadline
	ClientTimeout      Time               // the longest that a client waits
	PriorityWeight     float64            // of an answer within the aim
	LateWeightFraction float64            // share of Worth earned after the aim
}

// Settings are the figures of the rules. A zero figure is taken as it is, unless its line says otherwise.
type Settings struct {
	Classes      map[string]Class
	MaxAttempts  int  // of a request by one router; 0 for any number
	AllowHedging bool // two attempts of a request may be out at once

	// Slack is added to each limit of time: 50 ms on sockets.
	Slack Time
	// MaxTransit bounds the time of a byte between a router and a cache. What was sent at a time that nobody knows
	// counts as sent this long before it came.
	MaxTransit Time

	// ExtraRetention is how much longer than its class asks for a request is remembered after its deadline, for networks
	// that hold bytes back.
	ExtraRetention Time

	DrainGrace Time // sends to a cache that drains or is gone must have ceased by then

	// A cold cache is pushed over by more than OverloadMultiple times what it can do at the moment, summed
	// over OverloadWindow, and OverloadTolerance (a share) more for chance. OverloadMultiple 0 leaves it unwatched.
	OverloadMultiple  float64
	OverloadWindow    Time
	OverloadTolerance float64
	// MeanWork, where it is not 0, takes the place of OverloadTolerance: a cold cache bears AllowedWork.
	MeanWork Time

	// The store's fall is the routers' where misses at cold caches were more than MaxStoreWarmupFraction of the
	// fetches asked of it over the StoreOverloadWindow before.
	StoreOverloadWindow    Time
	MaxStoreWarmupFraction float64
}

// Rule is one way of breaking a rule that can be seen from outside.
type Rule uint8

const (
	Lost                Rule = iota // no final answer in time, from a live router
	Late                            // the answer to a lost request came after all
	Doubled                         // a second answer
	WrongValue                      // served with what no cache made for the request
	SentAfterFinal                  // an attempt was begun after the final answer
	SentAfterLeft                   // an attempt was begun a while after its client had gone
	RanTwice                        // the routers' doing
	RefusedAfterRun                 // refused, though an attempt may have run
	NonIdempotentResent             // sent again, though an earlier attempt may have run
	KeyedResent                     // sent again outside its scope or its window
	SecondCopy                      // while an earlier attempt was out, where that is not allowed
	TooManyAttempts                 // more than MaxAttempts
	LateDrain                       // new work to a cache that drains or is gone
	WarmupOverload                  // a cold cache got more than it can bear, or fell
	StoreOverload                   // the store fell under misses at cold caches
	BadCommand                      // a cache got what no client sent in this form
	TooManyOpen                     // more descriptors than the limit
	LeftBehind                      // something was left once all was quiet
	ruleCount
)

var ruleNames = [ruleCount]string{
	"lost", "answered after the deadline", "answered twice", "wrong value", "sent after the final answer",
	"sent after its client had left", "effect twice", "refused after it may have run", "unsafe request sent again", "keyed request sent again",
	"second copy", "too many attempts", "late drain", "cold cache pushed over", "store pushed over",
	"bad command", "too many descriptors", "left behind",
}

func (r Rule) String() string { return ruleNames[r] }

// Violation is one broken rule. Request, Cache and Router are empty where they do not apply.
type Violation struct {
	Rule                   Rule
	At                     Time // when it was broken, which may lie before it was found
	Request, Cache, Router string
	Text                   string
}

func (v Violation) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d.%06d s: %s", v.At/1e6, v.At%1e6, v.Rule)
	for _, part := range [...]struct{ name, value string }{
		{"request", v.Request}, {"router", v.Router}, {"cache", v.Cache},
	} {
		if part.value != "" {
			fmt.Fprintf(&b, ", %s %s", part.name, part.value)
		}
	}
	if v.Text != "" {
		b.WriteString(": " + v.Text)
	}
	return b.String()
}

// Tally counts requests, each try of a client as one.
type Tally struct {
	Class                   string // empty for all together
	Asked                   int
	Served, InTime          int // InTime: of those served, within the aim
	Refused, Failed         int
	Lost, Doubled           int
	Left, Excused           int     // the client went before its deadline; the router was killed
	WorthAsked, WorthEarned float64 // an answer after the aim earns its class's share
}

// EarnedFraction is the worth earned of the worth asked for; 1 where nothing was.
func (t Tally) EarnedFraction() float64 {
	if t.WorthAsked == 0 {
		return 1
	}
	return t.WorthEarned / t.WorthAsked
}

// Counts are what was seen so far.
type Counts struct {
	Tally             // all classes together
	Classes   []Tally // by name
	Broken    [ruleCount]int
	Attempts  int
	Overloads int // spells in which a warm cache got more than OverloadMultiple times what it can do; no rule
	Undropped int // repeats that caches should have dropped and ran: no router's doing
	Unsettled int // requests still open at Close, their deadline to come
	Strange   int // reports that can't be, such as an id that was asked again after its end
	Held      int // requests in memory
}

// LateDrains is the number of attempts begun at caches that drained or were gone.
func (c Counts) LateDrains() int { return c.Broken[LateDrain] }

// Violations is the number of broken rules.
func (c Counts) Violations() int {
	n := 0
	for _, v := range c.Broken {
		n += v
	}
	return n
}
