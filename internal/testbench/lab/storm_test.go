package lab_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"starlingwinch/decide"
	"starlingwinch/internal/guard"
	"starlingwinch/internal/retrystorm"
	"starlingwinch/internal/testbench/lab"
	"starlingwinch/internal/testbench/lab/node"
)

const second = 1_000_000

// play runs a storm with the real router, and checks that nothing collapses and no rule breaks.
func play(t *testing.T, s lab.Storm, o lab.Options) *lab.StormResult {
	t.Helper()
	o.Node = node.Start
	r, err := lab.PlayStorm(s, o)
	if err != nil {
		t.Fatal(err)
	}
	if r.Overloads > 0 || r.First() != "" {
		t.Errorf("seed %d: got %d overload collapses and broken rules %v, want none", s.Seed, r.Overloads, r.Broken)
	}
	return r
}

// small returns a storm that is small enough for a test.
func small(seed int64) lab.Storm {
	return lab.Storm{Seed: seed, Clients: 200, Load: 0.4, Before: 4 * second, Outage: 3 * second, For: 9 * second, IgnoreAdvice: 0.5}
}

func TestStormWithColdCachesUsesTheirCapacity(t *testing.T) {
	slow(t)
	for _, ignore := range []float64{0, 0.5, 1} {
		s := small(1)
		s.IgnoreAdvice = ignore
		if r := play(t, s, lab.Options{}); r.MinGoodput() < 0.6 {
			t.Errorf("%.0f%% of clients ignore retry-after: got minimum goodput %.2f, want at least 0.6", 100*ignore, r.MinGoodput())
		}
	}
}

func TestGoodputRecoversFromASecondStormDuringTheFirst(t *testing.T) {
	slow(t)
	s := small(2)
	s.SecondOutageAfter, s.For = 3*second, 12*second
	r := play(t, s, lab.Options{})
	if last := r.Intervals[len(r.Intervals)-1]; last.Goodput() < 0.6 {
		t.Errorf("after the second outage: got goodput %.2f, want at least 0.6", last.Goodput())
	}
}

func TestOneAddressForAllClientsIsServedLikeMany(t *testing.T) {
	slow(t)
	s := small(3)
	s.SharedAddress = true
	if r := play(t, s, lab.Options{}); r.MinGoodput() < 0.5 {
		t.Errorf("all clients behind one address: got minimum goodput %.2f, want at least 0.5", r.MinGoodput())
	}
}

func TestThousandSilentConnectionsDoNotBlockClients(t *testing.T) {
	s := small(4)
	s.Silent = 1000
	if r := play(t, s, lab.Options{}); r.MinGoodput() < 0.5 {
		t.Errorf("with 1000 silent connections: got minimum goodput %.2f, want at least 0.5", r.MinGoodput())
	}
}

func TestSynchronizedRetriesAreSpread(t *testing.T) {
	s := small(5)
	s.FixedBackoff, s.IgnoreAdvice = true, 0
	if r := play(t, s, lab.Options{}); r.MinGoodput() < 0.6 {
		t.Errorf("got minimum goodput %.2f, want at least 0.6", r.MinGoodput())
	}
}

func TestContestStartIsNoStormAndRefusesNothing(t *testing.T) {
	s := lab.Storm{Seed: 6, Clients: 200, Load: 0.2, Before: 4 * second, Outage: second, For: 9 * second, Warm: true,
		Burst: 2, BurstAt: 3 * second, BurstTo: 8 * second}
	r := play(t, s, lab.Options{})
	if r.Refused > 0 || len(r.Changes) > 0 {
		t.Errorf("got %d refused tries and state changes %v, want none", r.Refused, r.Changes)
	}
}

// slow skips a test under the race detector. .ci/run also runs the test without the race detector.
func slow(t *testing.T) {
	t.Helper()
	if storms == 0 {
		t.Skip("takes minutes with the race detector; go test ./internal/testbench/lab runs it")
	}
}

// meanOf runs two seeds and returns the mean of a measurement that a planted defect changes.
func meanOf(t *testing.T, o lab.Options, measure func(r *lab.StormResult) float64) (mean float64) {
	t.Helper()
	for seed := range int64(2) {
		mean += measure(play(t, small(10+seed), o)) / 2
	}
	return mean
}

// tampered wraps a module and changes the events and actions between the router and the module.
type tampered struct {
	guard.Module
	event  func(decide.Event) decide.Event
	action func(decide.Action) decide.Action
}

func (m *tampered) Handle(now decide.Time, ev decide.Event) []decide.Action {
	if m.event != nil {
		ev = m.event(ev)
	}
	actions := m.Module.Handle(now, ev)
	if m.action != nil {
		actions = append([]decide.Action(nil), actions...)
		for i := range actions {
			actions[i] = m.action(actions[i])
		}
	}
	return actions
}

func TestPlantedDefectWaitsAllEqualIsFound(t *testing.T) {
	slow(t)
	commonestWait := func(r *lab.StormResult) float64 { return r.CommonestWaitRatio }
	planted := lab.Options{Wrap: func(m guard.Module) guard.Module {
		return &tampered{Module: m, action: func(a decide.Action) decide.Action {
			if r, ok := a.(decide.Reject); ok {
				r.RetryAfter = 500_000
				return r
			}
			return a
		}}
	}}
	if sound, broken := meanOf(t, lab.Options{}, commonestWait), meanOf(t, planted, commonestWait); sound > 0.1 || broken < 0.5 {
		t.Errorf("fraction of the commonest wait: got %.3f without and %.3f with the defect, want at most 0.1 and at least 0.5", sound, broken)
	}
}

func TestPlantedDefectRetriesAsFirstTriesIsFound(t *testing.T) {
	slow(t)
	share := func(r *lab.StormResult) float64 { return r.InTimeRatio() }
	planted := lab.Options{Wrap: func(m guard.Module) guard.Module {
		return &tampered{Module: m, event: func(ev decide.Event) decide.Event {
			if q, ok := ev.(*decide.Request); ok {
				q.FirstRequestedAt = 0
			}
			return ev
		}}
	}}
	if sound, broken := meanOf(t, lab.Options{}, share), meanOf(t, planted, share); broken > sound-0.05 {
		t.Errorf("fraction served in time: got %.3f without and %.3f with the defect, want a drop of at least 0.05", sound, broken)
	}
}

func TestPlantedDefectNoHysteresisIsFound(t *testing.T) {
	slow(t)
	// The load is slightly above the capacity of cold caches, so that retries rise and fall repeatedly.
	edge := func(o lab.Options) (changes int) {
		s := small(20)
		s.Load, s.For = 0.25, 15*second
		return len(play(t, s, o).Changes)
	}
	flapping := retrystorm.DefaultEnabled()
	flapping.Leave, flapping.Confirm, flapping.Settle, flapping.RecoveryTime = flapping.Enter, 0, 0, 0
	if sound, broken := edge(lab.Options{}), edge(lab.Options{Storm: &flapping}); broken < sound*4/3 {
		t.Errorf("state changes: got %d without and %d with the defect, want an increase by a third", sound, broken)
	}
}

func TestPlantedDefectBudgetRefilledAtOnceIsFound(t *testing.T) {
	slow(t)
	jump := func(o lab.Options) float64 {
		s := small(21)
		s.Load = 0.1
		return play(t, s, o).MaxBudgetRise
	}
	planted := lab.Options{Wrap: func(m guard.Module) guard.Module {
		return &tampered{Module: m, event: func(ev decide.Event) decide.Event {
			if p, ok := ev.(*decide.RetryStorm); ok && p.RetryBudgetFraction > retrystorm.Default().RetryBudgetFraction {
				p.RetryBudgetFraction = 1
			}
			return ev
		}}
	}}
	if sound, broken := jump(lab.Options{}), jump(planted); sound > 0.2 || broken < 0.5 {
		t.Errorf("largest single rise of the budget: got %.2f without and %.2f with the defect, want at most 0.2 and at least 0.5", sound, broken)
	}
}

func TestRoutersAreCalmSoonAfterTheOutage(t *testing.T) {
	slow(t)
	const seeds = storms
	var all sync.WaitGroup
	running := make(chan struct{}, 4) // bounds the concurrent runs
	for seed := range seeds {
		all.Go(func() {
			running <- struct{}{}
			defer func() { <-running }()
			s := lab.Storm{Seed: int64(seed), Clients: 100, Load: 0.1, Before: second, Outage: int64(2+seed%29) * second,
				For: 8 * second, IgnoreAdvice: float64(seed%3) / 2}
			r, err := lab.PlayStorm(s, lab.Options{Node: node.Start})
			if err != nil {
				t.Error(err)
				return
			}
			if at := r.CalmAt(); at < 0 || at > 5*second || r.Overloads > 0 {
				var lines []string
				for _, c := range r.Changes {
					lines = append(lines, fmt.Sprintf("%.1f s: %s %s", float64(c.At)/second, c.Router, c.Line))
				}
				t.Errorf("seed %d: got calm at %.1f s and %d overload collapses, want calm within 5 s and none\n%s",
					seed, float64(at)/second, r.Overloads, strings.Join(lines, "\n"))
			}
		})
	}
	all.Wait()
}
