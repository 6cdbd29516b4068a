package clusterlab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"

	"starlingwinch/internal/gossip"
)

// Fault is one of a script's faults. What it strikes are numbers of routers.
type Fault struct {
	Kind  string
	At    Time
	For   Time
	Who   []int
	Clock Time // by which a restarted router's clock is off by then
	Parts int  // of a partition
}

// Kinds of faults.
const (
	Kill  = "kill"      // and started again when it is over
	Stall = "stall"     // processes stand still
	Cut   = "cut"       // two routers, in both directions
	Deaf  = "one-way"   // the second does not hear the first
	Parts = "partition" // into parts
	Lossy = "lossy"     // datagrams lost, doubled and late, everywhere
	Drain = "drain"     // SIGTERM, and started again when it is over
)

var kinds = []string{Kill, Stall, Cut, Deaf, Parts, Lossy, Drain}

// String implements fmt.Stringer.
func (f Fault) String() string {
	s := fmt.Sprintf("%s@%.1fs+%.1fs", f.Kind, float64(f.At)/1e6, float64(f.For)/1e6)
	if len(f.Who) > 0 {
		s += fmt.Sprintf(":%v", f.Who)
	}
	if f.Clock != 0 {
		s += fmt.Sprintf(" clock %+.0fs", float64(f.Clock)/1e6)
	}
	if f.Parts > 0 {
		s += fmt.Sprintf(" into %d", f.Parts)
	}
	return s
}

// Draw draws a script of faults for so many routers.
func Draw(seed uint64, routers int) (faults []Fault) {
	r := rand.New(rand.NewPCG(seed, 77))
	for range 2 + r.IntN(5) {
		f := Fault{Kind: kinds[r.IntN(len(kinds))], At: Time(r.Int64N(int64(15 * second))), For: 300*millisecond + Time(r.Int64N(int64(8*second)))}
		some := func(most int) {
			f.Who = append(f.Who, r.Perm(routers)[:1+r.IntN(min(most, routers))]...)
		}
		switch f.Kind {
		case Kill:
			if some(3); r.IntN(4) == 0 {
				some(routers * 7 / 10)
			}
			if r.IntN(3) == 0 {
				f.Clock = Time(r.Int64N(int64(20*second))) - 10*second
			}
			if r.IntN(3) == 0 {
				f.For = 100 * millisecond
			}
		case Stall:
			some(routers / 3)
		case Cut, Deaf:
			f.Who = r.Perm(routers)[:2]
		case Parts:
			f.Parts = 2 + r.IntN(2)
		case Drain:
			some(2)
		}
		faults = append(faults, f)
	}
	return faults
}

// Figures of a hunt.
const (
	huntFaults = 25 * second // by then all faults are over
	huntQuiet  = 10 * second // with none: views have to be right and settled, and nothing is told any more
	huntWithin = 6 * second  // views are right and settled so long after the last fault
	huntHold   = 2 * second
)

// Result is what came of a script.
type Result struct {
	Seed   uint64
	Faults []Fault
	Broken []string
}

// String implements fmt.Stringer.
func (r *Result) String() string {
	var text []string
	for _, f := range r.Faults {
		text = append(text, f.String())
	}
	return fmt.Sprintf("seed %d: %s\n  script: %s", r.Seed, strings.Join(r.Broken, "\n  "), strings.Join(text, ", "))
}

// Play plays a script.
func Play(seed uint64, o Options, faults []Fault) *Result {
	w := New(seed, o)
	w.StartAll(second)
	r := &Result{Seed: seed, Faults: faults}
	breaks := func(format string, args ...any) { r.Broken = append(r.Broken, fmt.Sprintf(format, args...)) }
	if _, ok := w.Settle(20 * second); !ok {
		breaks("not settled 20 s after the start: %s", w.Right())
		return r
	}
	w.divide(o.Routers / 2)
	p := &player{w: w, ways: map[int]Fault{}}
	for i, f := range faults {
		f.For = min(f.For, huntFaults-f.At)
		w.Sim.At(w.Sim.Now()+f.At, func() { p.begin(i, f) })
		w.Sim.At(w.Sim.Now()+f.At+f.For, func() { p.end(i, f) })
	}
	w.Run(huntFaults + millisecond)
	p.all()
	if took, ok := w.Settle(huntWithin); !ok {
		breaks("not right %.1f s after the last fault: %s", float64(took)/1e6, w.Right())
	}
	w.Run(huntQuiet)
	for _, n := range w.Nodes {
		if told := n.Link.View().PendingUpdates(); told > 0 {
			breaks("%s still tells %d rumours long after the last change", n.Name, told)
			break
		}
	}
	r.Broken = append(r.Broken, w.Broken...)
	return r
}

// player carries faults out, which may overlap.
type player struct {
	w     *World
	ways  map[int]Fault // those that break ways now
	lossy int
}

func (p *player) begin(i int, f Fault) {
	w := p.w
	switch f.Kind {
	case Kill:
		for _, k := range f.Who {
			if w.Nodes[k].Up() {
				w.Kill(k)
			}
		}
	case Drain:
		for _, k := range f.Who {
			if w.Nodes[k].Up() {
				w.Leave(k, min(f.For/2, 700*millisecond))
			}
		}
	case Stall:
		for _, k := range f.Who {
			w.Stall(k, f.For)
		}
	case Cut, Deaf, Parts:
		p.ways[i] = f
		p.cut()
	case Lossy:
		p.lossy++
		w.Lossy(.2, .1, .2)
	}
}

func (p *player) end(i int, f Fault) {
	w := p.w
	switch f.Kind {
	case Kill, Drain:
		for _, k := range f.Who {
			if !w.Nodes[k].Up() {
				w.Restart(k, f.Clock)
			}
		}
	case Cut, Deaf, Parts:
		delete(p.ways, i)
		p.cut()
	case Lossy:
		if p.lossy--; p.lossy == 0 {
			w.Lossy(0, 0, 0)
		}
	}
}

// cut breaks all ways that a fault breaks now, and no others.
func (p *player) cut() {
	p.w.Heal()
	for i, f := range p.ways { // any order: each by itself
		if f.Kind == Parts {
			p.w.Partition(func(k int) int { return (k / (i + 1)) % f.Parts })
		} else {
			p.w.Cut(f.Who[0], f.Who[1], f.Kind == Cut)
		}
	}
}

// all ends what is left of any fault.
func (p *player) all() {
	p.w.Heal()
	p.w.Lossy(0, 0, 0)
	for i, n := range p.w.Nodes {
		if !n.Up() {
			p.w.Restart(i, 0)
		}
	}
}

// Hunt plays the scripts of many seeds, some side by side, and calls found with those that break. It returns how many
// were played.
func Hunt(ctx context.Context, from, to uint64, jobs int, o Options, done func(*Result)) (played uint64) {
	seeds := make(chan uint64)
	var mu sync.Mutex
	var all sync.WaitGroup
	for range jobs {
		all.Go(func() {
			for seed := range seeds {
				r := Play(seed, o, Draw(seed, o.Routers))
				mu.Lock()
				played++
				done(r)
				mu.Unlock()
			}
		})
	}
	for seed := from; seed <= to && ctx.Err() == nil; seed++ {
		seeds <- seed
	}
	close(seeds)
	all.Wait()
	return played
}

// Shrink leaves out the faults that a broken script does not need to break.
func Shrink(r *Result, o Options) *Result {
	for i := 0; i < len(r.Faults); {
		fewer := append(append([]Fault{}, r.Faults[:i]...), r.Faults[i+1:]...)
		if x := Play(r.Seed, o, fewer); len(x.Broken) > 0 {
			r = x
		} else {
			i++
		}
	}
	return r
}

// divide has each router divide what all may take, by at least so many, and checks that together they take no more than all.
func (w *World) divide(least int) {
	w.least = least
	for _, n := range w.Nodes {
		n.divisor = nil
	}
}

// checkShares sums up what running routers take. One that has not settled since its start takes the least share, as it
// does in a fleet whose size it does not know yet; it is not counted.
func (w *World) checkShares() {
	if w.least == 0 {
		return
	}
	sum, counted := 0.0, 0
	for _, n := range w.Nodes {
		if !n.Up() {
			n.divisor = nil
			continue
		}
		s := n.Link.View().Membership()
		if n.divisor == nil {
			if !s.Settled || 2*len(s.Alive) <= len(w.Nodes) {
				continue
			}
			n.divisor = &gossip.Divisor{Min: w.least, Hold: huntHold, IgnoreMajority: w.o.Defect == gossip.MinorityShrinksDivisor}
		}
		sum += 1 / float64(n.divisor.Divisor(s))
		counted++
	}
	// In a partition the larger side takes all after the hold, and the smaller one goes on with its part of the whole,
	// which is under half, and what those take that join it meanwhile: it can't know that the others do not divide by it
	// any more.
	if sum > 1.6 && len(w.Broken) < 20 {
		w.Broken = append(w.Broken, fmt.Sprintf("%d routers together take %.2f of what all may", counted, sum))
		w.least = 0
	}
}
