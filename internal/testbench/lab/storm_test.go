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

// play plays a storm with the router itself.
func play(t *testing.T, s lab.Storm, o lab.Options) *lab.StormResult {
	t.Helper()
	o.Node = node.Start
	r, err := lab.PlayStorm(s, o)
	if err != nil {
		t.Fatal(err)
	}
	if r.Overloads > 0 || r.First() != "" {
		t.Errorf("seed %d: %d fell, broken: %v", s.Seed, r.Overloads, r.Broken)
	}
	return r
}

// small is a storm that a test can afford.
func small(seed int64) lab.Storm {
	return lab.Storm{Seed: seed, Clients: 200, Load: 0.4, Before: 4 * second, Outage: 3 * second, For: 9 * second, IgnoreAdvice: 0.5}
}

func TestStormWhileCachesAreColdUsesWhatTheyBear(t *testing.T) {
	slow(t)
	for _, ignore := range []float64{0, 0.5, 1} {
		s := small(1)
		s.IgnoreAdvice = ignore
		if r := play(t, s, lab.Options{}); r.MinGoodput() < 0.6 {
			t.Errorf("with %.0f%% that take no advice, goodput falls to %.2f of what caches bear", 100*ignore, r.MinGoodput())
		}
	}
}

func TestSecondStormBeforeTheFirstIsOver(t *testing.T) {
	slow(t)
	s := small(2)
	s.SecondOutageAfter, s.For = 3*second, 12*second
	r := play(t, s, lab.Options{})
	if last := r.Intervals[len(r.Intervals)-1]; last.Goodput() < 0.6 {
		t.Errorf("after the second outage goodput stays at %.2f", last.Goodput())
	}
}

func TestOneAddressForAllClientsIsServedLikeMany(t *testing.T) {
	slow(t)
	s := small(3)
	s.SharedAddress = true
	if r := play(t, s, lab.Options{}); r.MinGoodput() < 0.5 {
		t.Errorf("behind a front layer goodput falls to %.2f", r.MinGoodput())
	}
}

func TestThousandSilentConnectionsShutNobodyOut(t *testing.T) {
	s := small(4)
	s.Silent = 1000
	if r := play(t, s, lab.Options{}); r.MinGoodput() < 0.5 {
		t.Errorf("beside a thousand that say nothing goodput falls to %.2f", r.MinGoodput())
	}
}

func TestRetriesInStepAreSpread(t *testing.T) {
	s := small(5)
	s.FixedBackoff, s.IgnoreAdvice = true, 0
	if r := play(t, s, lab.Options{}); r.MinGoodput() < 0.6 {
		t.Errorf("goodput falls to %.2f", r.MinGoodput())
	}
}

func TestContestStartIsNoStormAndRefusesNothing(t *testing.T) {
	s := lab.Storm{Seed: 6, Clients: 200, Load: 0.2, Before: 4 * second, Outage: second, For: 9 * second, Warm: true,
		Burst: 2, BurstAt: 3 * second, BurstTo: 8 * second}
	r := play(t, s, lab.Options{})
	if r.Refused > 0 || len(r.Changes) > 0 {
		t.Errorf("%d refused, changes %v", r.Refused, r.Changes)
	}
}

// slow leaves a test to the run without the race detector, which .ci/run makes for it.
func slow(t *testing.T) {
	t.Helper()
	if storms == 0 {
		t.Skip("takes minutes with the race detector; go test ./internal/testbench/lab plays it")
	}
}

// sum plays a few seeds and adds up what a planted defect shows in.
func sum(t *testing.T, o lab.Options, of func(r *lab.StormResult) float64) (total float64) {
	t.Helper()
	for seed := range int64(2) {
		total += of(play(t, small(10+seed), o)) / 2
	}
	return total
}

// tampered stands between a router and its module and changes what either says.
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
	inStep := func(r *lab.StormResult) float64 { return r.CommonestWaitRatio }
	planted := lab.Options{Wrap: func(m guard.Module) guard.Module {
		return &tampered{Module: m, action: func(a decide.Action) decide.Action {
			if r, ok := a.(decide.Reject); ok {
				r.RetryAfter = 500_000
				return r
			}
			return a
		}}
	}}
	if sound, broken := sum(t, lab.Options{}, inStep), sum(t, planted, inStep); sound > 0.1 || broken < 0.5 {
		t.Errorf("share of the commonest wait: %.3f, with the defect %.3f", sound, broken)
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
	if sound, broken := sum(t, lab.Options{}, share), sum(t, planted, share); broken > sound-0.05 {
		t.Errorf("in time: %.3f, with the defect %.3f", sound, broken)
	}
}

func TestPlantedDefectNoHysteresisIsFound(t *testing.T) {
	slow(t)
	// Hardly more than cold caches bear: retries come and go.
	edge := func(o lab.Options) (changes int) {
		s := small(20)
		s.Load, s.For = 0.25, 15*second
		return len(play(t, s, o).Changes)
	}
	flapping := retrystorm.DefaultEnabled()
	flapping.Leave, flapping.Confirm, flapping.Settle, flapping.RecoveryTime = flapping.Enter, 0, 0, 0
	if sound, broken := edge(lab.Options{}), edge(lab.Options{Storm: &flapping}); broken < sound*4/3 {
		t.Errorf("%d changes of state, with the defect %d", sound, broken)
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
		t.Errorf("the budget rises by %.2f at once, with the defect by %.2f", sound, broken)
	}
}

func TestRoutersAreCalmSoonAfterTheLoadIsBearable(t *testing.T) {
	slow(t)
	const seeds = storms
	var all sync.WaitGroup
	places := make(chan struct{}, 4)
	for seed := range seeds {
		all.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
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
				t.Errorf("seed %d: calm at %.1f s, %d fell\n%s", seed, float64(at)/second, r.Overloads, strings.Join(lines, "\n"))
			}
		})
	}
	all.Wait()
}
