package loopback

import (
	"errors"
	"maps"
	"slices"
	"strings"
	"syscall"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/lab/script"
)

const (
	// longestDrain is how much of the longest deadline a planned restart allows for.
	longestDrain = 3 * second
	// maxRefused is how long an address may refuse connections over a hand-over.
	maxRefused           = 250 * millisecond
	addressCheckInterval = 20 * millisecond
)

// predecessor is a process of a router that another one follows while it is still there.
type predecessor struct {
	proc     *process
	draining bool // to end
	killed   bool
}

// handOver starts the next process of a router beside the present one, which ends as the fault says.
func (rt *router) handOver(x script.Fault) {
	if rt.state != serving || rt.proc == nil {
		return
	}
	r, apart := rt.r, span(x.Delay)
	now := r.m.Now()
	old := &predecessor{proc: rt.proc}
	rt.previous[rt.generation] = old
	life := rt.generation
	next := func() { rt.startBeside(life) }
	switch x.How {
	case script.NextFirst:
		next()
		r.m.At(now+apart, func() { rt.endOld(old) })
	case script.Killed:
		next()
		r.m.At(now+apart, func() { rt.killOld(old) })
	case script.Stopped:
		// Nobody can be answered by a process that stands still for longer than the platform allows: as if it was killed.
		rt.markKilled()
		rt.inFront = false
		old.proc.signal(syscall.SIGSTOP)
		rt.endOld(old)
		r.m.At(now+apart, next)
	default:
		rt.endOld(old)
		r.m.At(now+apart, next)
	}
}

// endOld has a predecessor drain. It is killed as early as the platform may do so.
func (rt *router) endOld(old *predecessor) {
	old.draining = true
	old.proc.signal(syscall.SIGTERM)
	rt.r.m.At(rt.r.m.Now()+rt.killAfter(), func() { rt.killOld(old) })
}

// killAfter is the earliest SIGKILL after SIGTERM.
func (rt *router) killAfter() Time {
	longest := Time(0)
	for _, c := range rt.r.report.Classes {
		longest = max(longest, c.ClientTimeout)
	}
	return min(longest, longestDrain) + drainSlack
}

// killOld kills a predecessor that is still there. What it held is its clients' to ask again for, unless it was to drain.
func (rt *router) killOld(old *predecessor) {
	if !slices.Contains(slices.Collect(maps.Values(rt.previous)), old) {
		return
	}
	old.killed = true
	if !old.draining {
		rt.markKilled()
	}
	old.proc.signal(syscall.SIGKILL)
}

// markKilled says that what the router holds, and what reaches it until the next process serves, is its clients' to ask
// again for. The system goes on taking connections in for a process up to the moment of its end.
func (rt *router) markKilled() {
	rt.takenForKilled = true
	rt.r.seen.RouterDown(rt.r.m.Now(), rt.name, false)
}

// successorServes is called once a process serves.
func (rt *router) successorServes() {
	if rt.takenForKilled {
		rt.takenForKilled = false
		rt.r.seen.RouterUp(rt.r.m.Now(), rt.name)
	}
}

// startBeside starts a process while the one before, of the given life, is still there.
func (rt *router) startBeside(life int) {
	if rt.generation != life || rt.r.phase == ending {
		return
	}
	if rt.state == down {
		rt.start()
		return
	}
	rt.proc, rt.state = nil, coming
	rt.launch()
	rt.checkAddress(rt.generation, 0)
}

// checkAddress tries the address again and again until the next process serves, and notes for how long it refuses.
func (rt *router) checkAddress(life int, refusedSince Time) {
	r := rt.r
	if rt.generation != life || r.phase == ending || rt.state == serving && len(rt.previous) == 0 {
		return
	}
	r.m.Dial(rt.port.addr, pingTimeout, func(conn machine.Conn, err error) machine.Handler {
		now := r.m.Now()
		switch {
		case !errors.Is(err, machine.ErrRefused):
			refusedSince = 0
		case refusedSince == 0:
			refusedSince = now
		case now-refusedSince > maxRefused+r.seen.clock.lag.Lost && rt.generation == life:
			r.addProcessFault("%s refused connections for %d ms over a hand-over", rt.name, (now-refusedSince)/millisecond)
			return nil
		}
		r.m.At(now+addressCheckInterval, func() { rt.checkAddress(life, refusedSince) })
		return nil
	})
}

// oldEnded takes in the end of a predecessor. It reports false where the life is none of one.
func (rt *router) oldEnded(life, exit int) bool {
	old := rt.previous[life]
	if old == nil {
		return false
	}
	delete(rt.previous, life)
	if rt.generation == life { // the next one has not been started yet
		if old.draining && rt.state == serving {
			rt.state = draining
		}
		return false
	}
	if !old.killed && (!old.draining || exit != 0) {
		rt.r.addProcessFault("%s ended by itself with %d during a hand-over; the end of its log: %s", rt.name, exit,
			strings.Join(rt.report.Tail, " | "))
	}
	rt.r.ended()
	return true
}

// signalNames are the words of a series of signals.
var signalNames = map[string]syscall.Signal{"hup": syscall.SIGHUP, "term": syscall.SIGTERM, "kill": syscall.SIGKILL,
	"stop": syscall.SIGSTOP, "cont": syscall.SIGCONT}

// stoppedSteps is how many steps of a series lie between the stop at an index and what lets the process go on.
func stoppedSteps(series string, stop int) int {
	names := strings.Split(series, "-")
	if i := slices.Index(names[stop:], "cont"); i >= 0 {
		return i
	}
	return 0
}

// standStill stops the process. It is to go on after a span.
func (rt *router) standStill(lasts Time) {
	now := rt.r.m.Now()
	rt.signal(syscall.SIGSTOP)
	rt.r.seen.routerStopped(now, rt.name, now+lasts)
}

// signals sends a router a series of signals. One that ends it has it followed by a new process.
func (rt *router) signals(x script.Fault) {
	isWaiting := rt.state == coming && len(rt.previous) > 0
	if rt.state != serving && !isWaiting {
		return
	}
	r, life := rt.r, rt.generation
	for i, name := range strings.Split(x.How, "-") {
		r.m.At(r.m.Now()+Time(i)*span(x.Delay), func() {
			switch {
			case rt.generation != life || rt.state == down:
			case name == "term" && rt.state != draining:
				rt.term(true)
			case name == "kill":
				rt.kill(true)
			case name == "stop":
				rt.standStill(Time(stoppedSteps(x.How, i)) * span(x.Delay))
			default:
				rt.signal(signalNames[name])
			}
		})
	}
}
