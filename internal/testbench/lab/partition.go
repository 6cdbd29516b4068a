package lab

import (
	"fmt"
	"slices"

	"starlingwinch/internal/testbench/lab/script"
)

// Deserted is a rule of the lab's own: a router that sends nothing, though caches take work and have been shown to it
// as doing so from the beginning on, by a server of the registry that answers. It is looked at only in scripts in which
// nothing else keeps a router from sending.
const Deserted = "deserted"

const (
	desertedAfter = second
	desertedAsks  = 8
	desertedLeast = 4 // such caches
)

func (k *knowledge) deserted(l *learner, now Time) {
	if l.idle || l.ending || l.asked < desertedAsks || l.lastAsk-l.askedAt < desertedAfter || k.r.w.hindered() {
		return
	}
	followed := slices.ContainsFunc(l.servers, func(s following) bool { return s.state == sound && s.settled(now) })
	n := 0
	for _, e := range k.r.enrolled {
		if c := l.caches[e.cache.Name()]; c != nil && c.steady && !k.out(l.name, e.cache.Name()) && e.cache.Up() {
			n++
		}
	}
	if !followed || n < desertedLeast {
		return
	}
	l.idle = true
	k.r.w.breaks(Broken{Rule: Deserted, At: k.r.w.now(), Router: l.name,
		Text: fmt.Sprintf("%d requests and no attempt, while %d caches take work", l.asked, n)})
}

// hindered reports whether the script holds what may keep a router from caches that the registry shows.
func (w *world) hindered() bool {
	return slices.ContainsFunc(w.s.Faults, func(f script.Fault) bool {
		return slices.Contains([]string{script.Cut, script.Lag, script.Stall, script.Hang, script.Silence, script.Busy,
			script.Slow, script.Errors, script.Spoil, script.Double, script.ResetAccept, script.ResetInside, script.ResetAfter,
			script.SwallowDials, script.PowerCut, script.Burst}, f.Kind) ||
			f.Target == "all" && slices.Contains([]string{script.RestartCold, script.Replace}, f.Kind)
	})
}

// asks: a router was asked. sends: it has sent an attempt.
func (k *knowledge) asks(router string, now Time) {
	if l := k.learner(router); l != nil {
		if l.asked == 0 {
			l.askedAt = now
		}
		l.asked++
		l.lastAsk = now
	}
}

func (k *knowledge) sends(router string) {
	if l := k.learner(router); l != nil {
		l.asked = 0
	}
}
