package upstream

import (
	"fmt"
	"slices"
	"strings"

	"starlingwinch/decide"
)

const (
	troubleRow   = 5          // attempts in a row without a good end, from which a cache is named in the log
	troubleAgain = 60_000_000 // microseconds until it is said again that no cache answers
)

// trouble is why a cache serves nothing, for the log alone: whether it gets work is for the module to say.
type trouble struct {
	row   int    // attempts in a row that were not served, for one cause
	cause string // of these
	told  string // the cause that stands in the log; "" while the cache is well
}

// causes of trouble, by the outcome of an attempt. What is not sent, or called off early, tells nothing.
var causes = map[decide.Result]string{decide.ConnectFailed: "refused: connections do not come up",
	decide.TimedOut: "hung: it takes requests and answers none", decide.ConnectionLost: "reset: its connections break",
	decide.Errored: "errors: it answers nothing else", decide.Rejected: "busy: it turns all work away"}

// seen notes how an attempt or a probe ended.
func (u *cache) seen(result decide.Result, elapsed Time) {
	if result == decide.Cancelled && elapsed >= u.pool.o.StalledAfter {
		result = decide.TimedOut // another one was served meanwhile
	}
	cause := causes[result]
	switch {
	case result == decide.Served:
		if u.trouble.told != "" {
			u.pool.logger.Info(u.name + " serves again")
			u.pool.troubled(-1)
		}
		u.trouble = trouble{}
		return
	case cause == "":
		return
	case cause != u.trouble.cause:
		u.trouble.cause, u.trouble.row = cause, 0
	}
	if u.trouble.row++; u.trouble.row < troubleRow || u.trouble.told == cause {
		return
	}
	first := u.trouble.told == ""
	u.trouble.told = cause
	u.pool.logger.Info(u.name + " serves nothing: " + cause)
	if first {
		u.pool.troubled(1)
	}
}

// recovered takes back what is held against a cache that has left or is a new process.
func (u *cache) recovered() {
	if u.trouble.told != "" {
		u.pool.troubled(-1)
	}
	u.trouble = trouble{}
}

// troubled counts caches that serve nothing.
func (p *Pool) troubled(by int) {
	p.inTrouble += by
	p.deadSaid = 0 // say it at the next look
}

// sayDead logs that no cache serves, with the causes, and again each minute: one line scrolls by.
func (p *Pool) sayDead() {
	up, counts := 0, map[string]int{}
	for _, u := range p.order {
		if u.up {
			up++
			word, _, _ := strings.Cut(u.trouble.told, ":")
			counts[word]++
		}
	}
	if up == 0 || counts[""] > 0 || p.deadSaid > 0 && p.m.Now() < p.deadSaid+troubleAgain {
		return
	}
	p.deadSaid = p.m.Now()
	var parts []string
	for word, n := range counts { // any order: sorted below
		parts = append(parts, fmt.Sprintf("%d %s", n, word))
	}
	slices.Sort(parts)
	p.logger.Info(fmt.Sprintf("none of %d caches serves: %s", up, strings.Join(parts, ", ")))
}
