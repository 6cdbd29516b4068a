package main

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"starlingwinch/internal/gossip"
	"starlingwinch/internal/testbench/lab"
	"starlingwinch/internal/testbench/lab/loopback"
	"starlingwinch/internal/testbench/lab/script"
)

// The marks of fleet-view, as the issue that asked for the view gives them.
const (
	viewRouters   = 30
	viewSettled   = 3 * time.Second         // after a join, a crash, a cut, a heal
	viewContinued = 1500 * time.Millisecond // after a process that was stopped goes on
	viewFalse     = 0
	viewBytes     = 2000 // a second, of each router
	viewLongest   = gossip.MaxDatagramBytes
	viewInTime    = 0.005 // that the view may cost
)

func init() {
	lab.Register(lab.Scenario{Name: "fleet-view", Run: fleetViewScenario,
		Doc: "30 router processes on loopback sockets with relays between them (--long: 60, and three seeds): a crash, a restart, " +
			"halves cut off, a process that is stopped, datagrams lost; beside the same without a view"})
}

func fleetViewScenario(_ context.Context, o lab.RunOptions) (line string, ok bool, err error) {
	routers, seeds := viewRouters, []int64{1}
	if o.Long {
		routers, seeds = 2*viewRouters, []int64{1, 2, 3}
	}
	worst := &viewRun{took: map[string]time.Duration{}}
	inTime, off := 1.0, 0.0
	for _, seed := range seeds {
		var with, without *viewRun
		for _, x := range []struct {
			run **viewRun
			off bool
		}{{&with, false}, {&without, true}} {
			r := &viewRun{off: x.off, routers: routers, took: map[string]time.Duration{}}
			if err := r.play(seed, o.Against); err != nil {
				return "", false, err
			}
			*x.run = r
		}
		with.tell(o.Out, seed)
		for step, took := range with.took {
			worst.took[step] = max(worst.took[step], took)
		}
		worst.accused += with.accused
		worst.differ += with.differ
		worst.bytes, worst.longest = max(worst.bytes, with.bytes), max(worst.longest, with.longest)
		inTime, off = min(inTime, with.InTime()), max(off, without.InTime())
	}
	ok = worst.accused <= viewFalse && worst.differ == 0 && worst.bytes <= viewBytes && worst.longest <= viewLongest &&
		inTime >= off-viewInTime && worst.took["stall"] <= viewContinued
	for _, step := range []string{"join", "crash", "partition", "heal"} {
		ok = ok && worst.took[step] > 0 && worst.took[step] <= viewSettled
	}
	s := func(step string) float64 { return worst.took[step].Seconds() }
	return fmt.Sprintf("routers %d join %.2fs crash %.2fs partition %.2fs heal %.2fs stall %.2fs false %d unsettled %d in_time %.1f%% "+
		"off_in_time %.1f%% bytes %.0f/s longest %dB", routers, s("join"), s("crash"), s("partition"), s("heal"), s("stall"), worst.accused,
		worst.differ, 100*inTime, 100*off, worst.bytes, worst.longest), ok, nil
}

// viewRun is one run. What the routers should see is known here, and nowhere else.
type viewRun struct {
	loopback.Report
	off     bool
	routers int
	mesh    *loopback.Mesh

	group   []int // of each router: those of one group reach each other; below 0 for one that does not run
	since   loopback.Time
	step    string // whose time is being taken
	took    map[string]time.Duration
	since2  map[[2]int]loopback.Time
	accused int // routers that run and are reached, and were held faulty for long
	differ  int // pairs that were settled on views that differ, for long
	bytes   float64
	longest int
	notes   []string
}

// Times of the run's steps.
const (
	viewCrash = 4 * time.Second
	viewBack  = 9 * time.Second
	viewCut   = 14 * time.Second
	viewHeal  = 21 * time.Second
	viewStop  = 26 * time.Second
	viewGo    = 31 * time.Second
	viewLossy = 35 * time.Second
	viewWhole = 41 * time.Second
	viewQuiet = 46 * time.Second
	viewEnd   = 51 * time.Second

	viewCheckInterval = 20 * time.Millisecond
	viewHearsay       = 3500 * time.Millisecond // for which the news of a change, and the reading of a view, may be on the way
	viewPardon        = 4 * time.Second         // for which a refutation may be, and its reading
)

func (x *viewRun) play(seed int64, program string) error {
	s := script.Default()
	s.Seed, s.Routers, s.Caches, s.Length = seed, x.routers, 10, viewEnd
	var err error
	x.Report, err = loopback.Run(loopback.Options{Script: s, Program: program, Fleet: &loopback.Fleet{Off: x.off, Begin: x.begin}})
	if err == nil && x.Interrupted {
		err = loopback.ErrInterrupted
	}
	return err
}

func (x *viewRun) begin(m *loopback.Mesh) {
	x.mesh, x.group, x.since2 = m, make([]int, m.Len()), map[[2]int]loopback.Time{}
	at := func(d time.Duration, f func()) { m.At(d.Microseconds(), f) }
	crashed, stopped := 3, 5
	x.change("start", func(int) int { return 0 })
	at(viewCrash, func() {
		m.Kill(crashed)
		x.change("crash", func(i int) int { return -b2i(i == crashed) })
	})
	at(viewBack, func() {
		m.Restart(crashed)
		x.change("join", func(int) int { return 0 })
	})
	at(viewCut, func() {
		m.Cut(func(i int) int { return i % 2 })
		x.change("partition", func(i int) int { return i % 2 })
	})
	at(viewHeal, func() {
		m.Cut(nil)
		x.change("heal", func(int) int { return 0 })
	})
	at(viewStop, func() {
		m.Stop(stopped)
		x.change("", func(i int) int { return -b2i(i == stopped) })
	})
	at(viewGo, func() {
		m.Continue(stopped)
		x.change("stall", func(int) int { return 0 })
	})
	at(viewLossy, func() {
		m.SetDatagramFaults(loopback.DatagramFaults{Lost: .3, Twice: .1, Late: .2, LateBy: 100_000, Cut: .01})
	})
	at(viewWhole, func() { m.SetDatagramFaults(loopback.DatagramFaults{}) })
	at(viewQuiet, func() {
		before := 0
		for i := range x.group {
			n, _ := m.Bytes(i)
			before += n
		}
		at(viewEnd-viewQuiet-time.Second, func() {
			after := 0
			for i := range x.group {
				n, longest := m.Bytes(i)
				after, x.longest = after+n, longest
			}
			x.bytes = float64(after-before) / (viewEnd - viewQuiet - time.Second).Seconds() / float64(m.Len())
		})
	})
	if !x.off {
		x.look()
	}
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// change notes that the truth has changed, and what is to be timed until all see it.
func (x *viewRun) change(step string, group func(i int) int) {
	if x.step != "" && x.step != "start" && !x.off {
		x.notes = append(x.notes, fmt.Sprintf("after %s: not all saw it in time: %s", x.step, x.wrong()))
		x.took[x.step] = time.Hour
	}
	x.step, x.since = step, x.mesh.Now()
	x.mesh.Closely(step != "")
	for i := range x.group {
		x.group[i] = group(i)
	}
	x.since2 = map[[2]int]loopback.Time{}
}

// look compares what routers say with the truth.
func (x *viewRun) look() {
	now := x.mesh.Now()
	if x.step != "" && x.wrong() == "" {
		x.took[x.step] = time.Duration(now-x.since) * time.Microsecond
		x.step = ""
		x.mesh.Closely(false)
	}
	settledOn := map[int]uint64{}
	for i := range x.group {
		view, settled, digest, at := x.mesh.View(i)
		if x.group[i] < 0 || at <= x.since {
			continue
		}
		if settled {
			first, seen := settledOn[x.group[i]]
			x.differ += x.long([2]int{i, -1}, seen && first != digest, viewHearsay, "%s is settled on another view", x.mesh.Name(i))
			if !seen {
				settledOn[x.group[i]] = digest
			}
		}
		for j := range x.group {
			m, known := view[x.mesh.Name(j)]
			is := known && m.State == gossip.Faulty && x.group[i] == x.group[j] && x.mesh.Up(j)
			x.accused += x.long([2]int{i, j}, is, viewPardon, "%s holds %s faulty, which runs", x.mesh.Name(i), x.mesh.Name(j))
		}
	}
	x.mesh.At(viewCheckInterval.Microseconds(), x.look)
}

// long is 1 where what is wrong has been so for long.
func (x *viewRun) long(key [2]int, is bool, most time.Duration, format string, args ...any) int {
	now := x.mesh.Now()
	since, was := x.since2[key]
	switch {
	case !is:
		delete(x.since2, key)
	case !was:
		x.since2[key] = now
	case now-since > most.Microseconds():
		x.since2[key] = now
		x.notes = append(x.notes, fmt.Sprintf(format, args...))
		return 1
	}
	return 0
}

// wrong says what of the views is not as the truth is, as far as they were read after its last change.
func (x *viewRun) wrong() string {
	digests := map[int]uint64{}
	for i := range x.group {
		if x.group[i] < 0 {
			continue
		}
		view, settled, digest, at := x.mesh.View(i)
		name := x.mesh.Name(i)
		if at <= x.since {
			return name + "'s view was not read"
		}
		for j := range x.group {
			m, known := view[x.mesh.Name(j)]
			if here := known && m.State.IsAlive(); here != (x.group[j] == x.group[i]) {
				return fmt.Sprintf("%s holds %s to be here: %v", name, x.mesh.Name(j), here)
			}
		}
		if !settled {
			return name + " is not settled"
		}
		if d, seen := digests[x.group[i]]; seen && d != digest {
			return name + " holds another digest"
		}
		digests[x.group[i]] = digest
	}
	return ""
}

func (x *viewRun) tell(out io.Writer, seed int64) {
	steps := make([]string, 0, len(x.took))
	for step := range x.took {
		steps = append(steps, step)
	}
	slices.Sort(steps)
	for _, step := range steps {
		fmt.Fprintf(out, "seed %d, %d routers: after %-9s all views are right and settled within %.2f s\n", seed, x.routers, step, x.took[step].Seconds())
	}
	for _, note := range x.notes[:min(len(x.notes), 20)] {
		fmt.Fprintln(out, "  "+note)
	}
}
