package rules

import (
	"fmt"
	"strings"
)

// Rule is one way of breaking a rule that can be seen from outside.
type Rule uint8

// Rules, in the order of Counts.Broken.
const (
	Lost                Rule = iota // no final answer in time, from a live router
	Late                            // the answer to a lost request came after all
	Doubled                         // a second answer
	WrongValue                      // served with what no cache made for the request
	SentAfterFinal                  // an attempt was begun after the final answer
	SentAfterLeft                   // an attempt was begun a while after its client had gone
	RanTwice                        // an effect took place twice through the routers' doing
	RefusedAfterRun                 // rejected, though an attempt may have run
	NonIdempotentResent             // sent again, though an earlier attempt may have run
	KeyedResent                     // sent again outside its scope or its window
	SecondCopy                      // while an earlier attempt was out, where that is not allowed
	TooManyAttempts                 // more than MaxAttempts
	LateDrain                       // new work to a cache that drains or is gone
	WarmupOverload                  // a cache that warms up got more than it can bear, or fell
	StoreOverload                   // the store fell under misses at caches that warm up
	BadCommand                      // a cache received what no client sent in this form
	TooManyOpen                     // more descriptors than the limit
	LeftBehind                      // a router still had entries once all was quiet
	ruleCount
)

var ruleNames = [ruleCount]string{
	"lost", "answered after the deadline", "answered twice", "wrong value", "sent after the final answer",
	"sent after its client had left", "effect twice", "refused after it may have run", "unsafe request sent again", "keyed request sent again",
	"second copy", "too many attempts", "late drain", "cold cache pushed over", "store pushed over",
	"bad command", "too many descriptors", "left behind",
}

// String returns the rule in the words of reports.
func (r Rule) String() string { return ruleNames[r] }

// Violation is one broken rule. Request, Cache and Router are empty where they do not apply.
type Violation struct {
	Rule                   Rule
	At                     Time // when it was broken, which may lie before it was found
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
