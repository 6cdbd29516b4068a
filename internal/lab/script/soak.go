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
