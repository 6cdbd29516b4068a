package script

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// drawStream keeps the draws of scripts apart from those of the worlds of the same seed.
const (
	drawStream   = 0x5c12_9f01
	pushedStream = 0x7a57_ed01
	kernelStream = 0x6e71_0c01
)

// mostDrawn is how many faults a drawn script has at most.
const mostDrawn = 5

// Draw is a legal script that the seed decides: the world, and one to five faults, alone or one upon another.
func Draw(seed uint64) Script { return DrawOf(seed, 10*time.Second) }

// DrawOf is Draw for another length.
func DrawOf(seed uint64, length time.Duration) Script {
	d := drawer{rand.New(rand.NewPCG(seed, drawStream))}
	s := Default()
	s.Seed = int64(seed & math.MaxInt64) // whole numbers of a file have 63 bits
	s.Length = length
	d.world(&s)
	// A stream of its own, so that what is drawn else stays as it was.
	p := drawer{rand.New(rand.NewPCG(seed, pushedStream))}
	s.Fleet.Pushed = p.IntN(4) == 0
	s.Fleet.MaxAttempts = pick(p, []int{1, 2, 3, 3, 3, 3, 5, 6})
	s.Fleet.Writes = pick(p, []string{"keyed", "keyed", "keyed", "keyed-zone", "keyed-cell", "unsafe", "safe"})
	s.Fleet.Patience = pick(p, []float64{1, 1, 1, 0.25, 0.5, 1.2})
	s.Fleet.DrainGrace = pick(p, []time.Duration{time.Second, time.Second, 500 * time.Millisecond})
	// Troubles that come together break what each alone does not: half of the faults begin while another lasts.
	for n := 1 + d.IntN(mostDrawn); len(s.Faults) < n; {
		f := d.fault(&s)
		if len(s.Faults) > 0 && d.Float64() < 0.5 {
			f.At = d.during(s.Faults[d.IntN(len(s.Faults))], &s)
		}
		f.fit(s.Length)
		s.Faults = append(s.Faults, f)
	}
	// A stream of its own, so that what was drawn before stays as it was.
	if e := (drawer{rand.New(rand.NewPCG(seed, endingStream))}); e.IntN(endingsOneIn) == 0 {
		for _, f := range pick(e, endings)(e, &s) {
			f.fit(s.Length)
			s.Faults = append(s.Faults, f)
		}
	}
	s.drawKernel(seed)
	s.Sort()
	return s
}

// drawKernel adds failing calls to one script in four, from a stream of their own.
func (s *Script) drawKernel(seed uint64) {
	d := drawer{rand.New(rand.NewPCG(seed, kernelStream))}
	if d.IntN(4) > 0 {
		return
	}
	f := d.draw(kernelKinds[0], s)
	f.fit(s.Length)
	s.Faults = append(s.Faults, f)
}

// fit has a fault end with the run.
func (f *Fault) fit(length time.Duration) {
	if f.For > 0 {
		f.For = min(f.For, length-f.At)
	}
}

type drawer struct{ *rand.Rand }

// span draws a time, to the millisecond.
func (d drawer) span(least, most time.Duration) time.Duration {
	return least + time.Duration(d.Int64N(int64((most-least)/time.Millisecond)+1))*time.Millisecond
}

// figure draws a figure, to two digits behind the point.
func (d drawer) figure(least, most float64) float64 {
	return float64(int((least+(most-least)*d.Float64())*100)) / 100
}

func pick[T any](d drawer, all []T) T { return all[d.IntN(len(all))] }

func (d drawer) world(s *Script) {
	s.Caches = 9 + d.IntN(6)
	s.Rate = float64(100 + d.IntN(120))
	s.Clients.Retries = d.IntN(3)
	s.Clients.Wait = pick(d, []string{"at-once", "fixed", "exponential"})
	s.Clients.Honour = d.figure(0, 1)
	s.Clients.TryShare = d.figure(0.5, 1)
	s.Clients.Writes = pick(d, []float64{1, 1, 5})
	s.Clients.Unsafe = pick(d, []float64{0, 0, 0.05})
	s.Clients.Pipeline = pick(d, []float64{0, 0, 0.2, 0.6})
	s.Clients.Impatient = pick(d, []float64{0, 0, 0.05})
	s.Clients.Front = d.span(500*time.Millisecond, 4*time.Second)
	s.Fleet.Sockets = pick(d, []int{256, 512, 1024})
	s.Fleet.ListDelay = pick(d, []time.Duration{s.Length / 40, s.Length / 20, 1500 * time.Millisecond, 3 * time.Second})
	s.Fleet.Copies = d.IntN(4) > 0
	s.Fleet.Probes = d.IntN(4) > 0
	s.Fleet.Reports = d.IntN(4) == 0
	s.Fleet.Cancel = pick(d, []string{"all", "all", "queued", "none"})
	s.Fleet.Speed = pick(d, []float64{1, 1, 0.7})
	s.Fleet.KeyWindow = pick(d, []float64{1, 1, 0.3})
	s.Network.Near = time.Duration(150+d.IntN(171)) * time.Microsecond
	s.Network.Far = time.Duration(5600+d.IntN(4401)) * time.Microsecond
	s.Network.Jitter = pick(d, []float64{0, 0.2, 0.5})
	s.Network.Split = pick(d, []float64{0, 0.05, 0.5})
	s.Network.Shuffle = d.IntN(3) == 0
}

// during is a time while a fault lasts, or at its very beginning or end.
func (d drawer) during(f Fault, s *Script) time.Duration {
	until := f.Until(s.Length)
	at := d.span(f.At, until)
	switch d.IntN(4) {
	case 0:
		at = f.At
	case 1:
		at = until
	}
	return min(at, s.Length-100*time.Millisecond)
}

func (d drawer) fault(s *Script) Fault {
	return d.draw(pick(d, kinds), s)
}

// draw draws a fault of a kind.
func (d drawer) draw(k Kind, s *Script) Fault {
	f := Fault{Kind: k.Name, Target: d.target(k, s)}
	f.At = d.span(s.Length/20, s.Length*8/10)
	if !k.Instant {
		f.For = d.span(s.Length/50, s.Length/2)
	}
	if k.Factor != nil {
		f.Factor = d.figure(2, 8)
	}
	if k.Chance != nil {
		f.Chance = pick(d, []float64{0.05, 0.2, 0.5, 1})
	}
	if k.Keys != nil {
		f.Keys = 1 + d.IntN(3)
	}
	if k.Delay != nil {
		f.Delay = d.span(10*time.Millisecond, 4*time.Second)
	}
	if len(k.How) > 0 {
		f.How = pick(d, k.How)
	}
	return d.bounded(f, s.Length)
}

// bounded keeps a fault from what would make a run of many scripts costly, or tell nothing.
func (d drawer) bounded(f Fault, length time.Duration) Fault {
	switch f.Kind {
	case Drain: // long enough for routers to be told and for the grace to pass
		f.At = d.span(length/20, length/4)
		f.For = d.span(length/2, length*3/4)
	case Burst:
		f.Factor = d.figure(1.5, 4)
	case ClockStep:
		f.Delay = pick(d, []time.Duration{-time.Hour, -time.Second, 500 * time.Millisecond, time.Hour})
	case RegistrySlow:
		f.Delay = d.span(10*time.Millisecond, 2*time.Second)
	case RegistryFlap:
		f.Delay = d.span(50*time.Millisecond, time.Second)
	case RegistryDisagree:
		f.Chance = pick(d, []float64{0.2, 0.5, 1, 1, 1})
	case HotKey:
		f.Chance = d.figure(0.035, 0.5)
	case Stall:
		f.For = d.span(10*time.Millisecond, 2*time.Second)
	case Double:
		f.Delay = pick(d, []time.Duration{0, time.Millisecond, 200 * time.Millisecond})
		if f.How == "same" {
			f.Delay = 0 // on a connection in use nothing tells a late copy from the answer to the next request
		}
	}
	return f
}

func (d drawer) target(k Kind, s *Script) string {
	if only := k.only(); only != "" {
		return only
	}
	switch k.On {
	case OnRouters:
		if d.IntN(8) == 0 && k.Name != RouterKill {
			return "all"
		}
		return fmt.Sprintf("router:%d", 1+d.IntN(s.Routers))
	case OnRegistry:
		// Servers that disagree, and one that has come back empty, tell nothing where the other does the same.
		apart := k.Name == RegistryDisagree || k.Name == RegistryEmpty
		if n := s.Registry.Replicas; n > 1 && (apart || d.IntN(3) > 0) {
			return fmt.Sprintf("registry:%d", 1+d.IntN(n))
		}
		return "registry"
	case OnLink:
		zones := Zones()
		from := d.IntN(len(zones))
		to := (from + 1 + d.IntN(len(zones)-1)) % len(zones)
		return zones[from] + pick(d, []string{">", "<>"}) + zones[to]
	}
	switch d.IntN(8) {
	case 0:
		return "all"
	case 1, 2:
		return "zone:" + pick(d, Zones())
	}
	return fmt.Sprintf("c%d", 1+d.IntN(s.Caches))
}
