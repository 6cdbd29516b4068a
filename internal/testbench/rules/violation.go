package rules

import (
	"fmt"
	"strings"
)

// Rule is one kind of violation that can be detected from outside.
type Rule uint8

// Rules, in the order of Counts.Broken.
const (
	Lost                Rule = iota // no final answer in time, from a live router
	Late                            // the answer to a lost request came after the deadline
	Doubled                         // a second answer
	WrongValue                      // served with a value that no cache produced for the request
	SentAfterFinal                  // an attempt began after the final answer
	SentAfterLeft                   // an attempt began more than clientLeftGrace after the client had left
	RanTwice                        // an effect took place twice because of the routers
	RefusedAfterRun                 // rejected, although an attempt may have run
	NonIdempotentResent             // sent again, although an earlier attempt may have run
	KeyedResent                     // sent again outside the deduplication scope or the idempotency window
	SecondCopy                      // sent while an earlier attempt was in flight, although hedging is not allowed
	TooManyAttempts                 // more than MaxAttempts
	LateDrain                       // an attempt was sent to a draining or removed cache after the drain grace
	WarmupOverload                  // a cache that was warming up got more work than allowed, or crashed
	StoreOverload                   // the store crashed under misses at caches that were warming up
	BadCommand                      // a cache received a command that no client sent in this form
	TooManyOpen                     // more open file descriptors than the limit
	LeftBehind                      // a router still held entries once no request was open
	ruleCount
)

var ruleNames = [ruleCount]string{
	"lost", "answered after the deadline", "answered twice", "wrong value", "sent after the final answer",
	"sent after its client had left", "effect twice", "refused after it may have run", "unsafe request sent again", "keyed request sent again",
	"second copy", "too many attempts", "late drain", "cold cache pushed over", "store pushed over",
	"bad command", "too many descriptors", "left behind",
}

// String returns the rule as reports print it.
func (r Rule) String() string { return ruleNames[r] }

// Violation is one violation of a rule. Request, Cache and Router are empty where they do not apply.
type Violation struct {
	Rule                   Rule
	At                     Time // instant of the violation, which may lie before its detection
	Request, Cache, Router string
	Text                   string
}

// String returns the violation as one line.
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
