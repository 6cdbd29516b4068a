package script

import (
	"math/rand/v2"
	"time"
)

// FaultOf draws a fault of a kind that begins at a time and lasts so long, where it lasts at all.
func FaultOf(kind string, s *Script, at, lasts time.Duration, r *rand.Rand) Fault {
	d := drawer{r}
	f := d.draw(*byName[kind], s)
	f.At = at
	switch {
	case kind == HandOver:
		f.Delay = handOverDelay(d, f.How)
	case kind == Signals:
		f.Delay = d.span(time.Millisecond, 50*time.Millisecond)
	case f.For == 0:
	case kind == Stall: // longer than the operators' terms allow a router to stand still proves nothing
		f.For = d.span(10*time.Millisecond, 150*time.Millisecond)
	case kind == RouterRestart:
		f.For = d.span(100*time.Millisecond, 2*time.Second)
	case kind == Drain:
		f.For = max(lasts, 4*time.Second)
	default:
		f.For = lasts
	}
	if kind == Burst {
		f.Factor = d.figure(1.2, 2)
	}
	f.fit(s.Length)
	return f
}

// handOverDelay draws the time between the next process's start and the end of the one before; every third one falls near the
// moment in which the listener of a draining router closes.
func handOverDelay(d drawer, how string) time.Duration {
	const listenerCloses = 500 * time.Millisecond
	switch {
	case how == TermFirst && d.IntN(3) == 0:
		return listenerCloses + d.span(-50*time.Millisecond, 50*time.Millisecond)
	case how == TermFirst || how == Stopped:
		return d.span(time.Millisecond, 3700*time.Millisecond)
	}
	return d.span(time.Millisecond, 3*time.Second)
}
