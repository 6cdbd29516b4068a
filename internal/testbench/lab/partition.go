package lab

import (
	"fmt"
	"slices"

	"starlingwinch/internal/testbench/lab/script"
)

// Partitioned is a rule that the lab itself checks: a router must send attempts if enough caches take work and no answering
// server of the registry has ever shown these caches otherwise. Requests and their time count from the instant at which the
// router must have read of enough such caches. The lab checks the rule only in scripts in which no other fault keeps a router
// from sending.
const Partitioned = "deserted"

const (
	partitionMinTime     = second // minimum time over which a router received requests and sent no attempt
	partitionMinRequests = 8      // minimum number of requests received in that time
	partitionMinCaches   = 4      // minimum number of caches that take work, were always shown so, and must be known to the router
)

// checkPartitioned reports a router that breaks the rule Partitioned, once for each process.
func (k *knowledge) checkPartitioned(l *routerKnowledge, now Time) {
	if l.partitionReported || l.terminating || k.registries.world.otherFaultsBlockTraffic() {
		return
	}
	n := k.cachesToSendTo(l, now)
	if n < partitionMinCaches {
		l.requests = 0
		return
	}
	if l.requests < partitionMinRequests || l.lastRequestAt-l.firstRequestAt < partitionMinTime {
		return
	}
	if !slices.ContainsFunc(l.servers, func(s serverView) bool { return s.state == healthy && s.settled(now) }) {
		return
	}
	l.partitionReported = true
	k.registries.world.reportBroken(Broken{Rule: Partitioned, At: k.registries.world.now(), Router: l.name,
		Text: fmt.Sprintf("%d requests and no attempt, while %d caches take work", l.requests, n)})
}

// cachesToSendTo counts the caches that take work, that the registry always showed so, and that the router has had time to
// learn of.
func (k *knowledge) cachesToSendTo(l *routerKnowledge, now Time) (n int) {
	for _, e := range k.registries.registrations {
		c := l.caches[e.cache.Name()]
		if c != nil && c.alwaysUp && now-c.firstShownAt >= pollTime && !k.countsAsOut(l.name, e.cache.Name()) && e.cache.Up() {
			n++
		}
	}
	return n
}

// otherFaultsBlockTraffic reports whether the script has a fault that may prevent a router from reaching registered caches.
func (w *world) otherFaultsBlockTraffic() bool {
	return slices.ContainsFunc(w.script.Faults, func(f script.Fault) bool {
		return slices.Contains([]string{script.Cut, script.Lag, script.Stall, script.Hang, script.Silence, script.Busy,
			script.Slow, script.Errors, script.Spoil, script.Double, script.ResetAccept, script.ResetInside, script.ResetAfter,
			script.SwallowDials, script.PowerCut, script.Burst}, f.Kind) ||
			f.Target == "all" && slices.Contains([]string{script.RestartCold, script.Replace}, f.Kind)
	})
}

// requestReceived counts a request that a router received.
func (k *knowledge) requestReceived(router string, now Time) {
	if l := k.ofRouter(router); l != nil {
		if l.requests == 0 {
			l.firstRequestAt = now
		}
		l.requests++
		l.lastRequestAt = now
	}
}

// attemptSent resets the count of requests without an attempt.
func (k *knowledge) attemptSent(router string) {
	if l := k.ofRouter(router); l != nil {
		l.requests = 0
	}
}
