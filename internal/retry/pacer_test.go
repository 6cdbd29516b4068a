package retry

import (
	"math/rand/v2"
	"testing"
)

const second Time = 1_000_000

func TestFirstDelayIsWithinHalfOfTheGrace(t *testing.T) {
	for _, interval := range []Time{0, 500_000, 10 * second, 600 * second} {
		for _, chance := range []float64{0, 0.5, 0.999999} {
			p := NewPacer(Options{Clients: 300, Grace: second / 2, PollInterval: interval})
			p.Answered()
			if f := p.Failed(7*second, chance); !f.First || f.Pause > second/4 {
				t.Errorf("interval %d, chance %g: %+v", interval, chance, f)
			}
			if f := p.Failed(8*second, chance); f.First || f.Pause == 0 {
				t.Errorf("interval %d, chance %g, second failure: %+v", interval, chance, f)
			}
		}
	}
}

// TestDelaysHaveAMinimum, whatever the options, and however often the service answers and breaks off.
func TestDelaysHaveAMinimum(t *testing.T) {
	for _, o := range []Options{
		{Clients: 1},
		{Clients: 300, PollInterval: 1},
		{Clients: 2, Grace: 1, PollInterval: 1000},
		{Clients: 2, Grace: second},
	} {
		p := NewPacer(o)
		for now := Time(0); now < 10; now++ {
			p.Answered()
			if f := p.Failed(now, 0); f.Pause < minDelay {
				t.Errorf("%+v: %d after the loss of a watch", o, f.Pause)
			}
			if f := p.Failed(now, 0); f.Pause < CallPause/2 {
				t.Errorf("%+v: %d after a call that failed", o, f.Pause)
			}
		}
	}
}

func TestDelaysStayWithinTheBoundAndGrowOnlyAfterSeveral(t *testing.T) {
	p := NewPacer(Options{Clients: 300, Grace: second, PollInterval: 10 * second})
	rng := rand.New(rand.NewPCG(1, 1))
	now, overdue := 5*second, 0
	for now < 400*second {
		f := p.Failed(now, rng.Float64())
		if f.Overdue {
			overdue++
			if f.FailingFor < 6*second || f.FailedCalls < 3 {
				t.Errorf("overdue %+v", f)
			}
		}
		shortest, longest := second*2/3, second*4/3
		if f.FailingFor > 18*second {
			longest = 6 * second
		}
		if f.FailingFor > 81*second {
			shortest = 3 * second
		}
		if f.Pause < shortest || f.Pause > longest {
			t.Fatalf("failing for %d us: a delay of %d", f.FailingFor, f.Pause)
		}
		now += f.Pause
	}
	if overdue != 1 {
		t.Errorf("overdue %d times, want once a loss", overdue)
	}
	p.Answered()
	if f := p.Failed(now, 0.5); !f.First || f.FailedCalls != 1 || f.FailingFor != 0 {
		t.Errorf("after an answer: %+v", f)
	}
}

func TestFailedCallCountsForFourPollIntervals(t *testing.T) {
	p := NewPacer(Options{Clients: 3, Grace: second, PollInterval: second / 2})
	p.Failed(0, 0)
	if f := p.Failed(second, 0.999999); f.Pause > 2*second*4/18 {
		t.Errorf("a delay of %d, though the client counts as notified after 2 s", f.Pause)
	}
}

func TestStartSpreadsClientsInStep(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 2))
	first, last := 10*second, Time(0)
	for range 32 {
		at := NewPacer(Options{Clients: 32, Grace: second}).Start(rng.Float64())
		first, last = min(first, at), max(last, at)
	}
	if last-first < second/3 || last > second/2 {
		t.Errorf("32 calls from %d to %d us", first, last)
	}
	if at := NewPacer(Options{Clients: 1, Grace: second}).Start(0.9); at != 0 {
		t.Errorf("the only client waits for %d us", at)
	}
}

// pausesAfterReturn are the pauses of a client whose watch breaks at 0 and whose calls are rejected from the time of return on.
func pausesAfterReturn(p *Pacer, back, until Time, rng *rand.Rand) (pauses []Time) {
	p.Answered()
	now := p.Failed(0, rng.Float64()).Pause
	for now < back {
		now += p.Failed(now, rng.Float64()).Pause
	}
	for now < until {
		pause := p.Rejected(now, rng.Float64()).Pause
		pauses = append(pauses, pause)
		now += pause
	}
	return pauses
}

// TestRejectedClientsCallMoreOftenAsTimeRunsOut guards against a service that is idle between the calls of the last few clients.
func TestRejectedClientsCallMoreOftenAsTimeRunsOut(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	for _, clients := range []int{2, 4, 8, 16, 24, 32} {
		p := NewPacer(Options{Clients: clients, Grace: second / 2, PollInterval: 10 * second})
		const back, end = 9 * second, 9*second + 6*second
		pauses := pausesAfterReturn(p, back, end, rng)
		first, last := pauses[0], pauses[len(pauses)-1]
		if last > first/2 && last > second/3 {
			t.Errorf("%d clients: pauses %v, want the last far shorter than the first", clients, pauses)
		}
		for _, pause := range pauses {
			if pause < second/10 || pause > 5*second/2 {
				t.Errorf("%d clients: a pause of %d us", clients, pause)
			}
		}
	}
}

// TestManyRejectedClientsKeepSteadyDelays: more calls of many clients would only be rejected.
func TestManyRejectedClientsKeepSteadyDelays(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 4))
	for _, clients := range []int{33, 128, 300} {
		p := NewPacer(Options{Clients: clients, Grace: second / 2, PollInterval: 10 * second})
		for _, pause := range pausesAfterReturn(p, 2*second, 17*second, rng) {
			if pause < second*2/3-1 || pause > second*4/3 {
				t.Errorf("%d clients: a pause of %d us", clients, pause)
			}
		}
	}
}

// TestRejectionsAloneDoNotDateTheReturn: a service that is down may reject calls too, so that the time left is not known.
func TestRejectionsAloneDoNotDateTheReturn(t *testing.T) {
	p := NewPacer(Options{Clients: 16, Grace: second / 2, PollInterval: 10 * second})
	p.Answered()
	for now := second; now < 16*second; now += second {
		if f := p.Rejected(now, 0.5); !f.First && f.Pause != second {
			t.Errorf("at %d: a pause of %d us, want a sixth of six seconds", now, f.Pause)
		}
	}
}

// TestSecondOutageBeginsTheTimeAnew: the time left counts from the latest return.
func TestSecondOutageBeginsTheTimeAnew(t *testing.T) {
	p := NewPacer(Options{Clients: 16, Grace: second / 2, PollInterval: 10 * second})
	p.Answered()
	p.Failed(0, 0.5)
	first := p.Rejected(second, 0.5).Pause
	p.Rejected(5*second, 0.5)
	p.Failed(6*second, 0.5)
	if again := p.Rejected(8*second, 0.5).Pause; again != first {
		t.Errorf("after the second outage a pause of %d us, after the first one of %d", again, first)
	}
}

// TestDelaysOfFewClientsDoNotGrow guards against late answers after a long outage: few clients must be back within the bound then too.
func TestDelaysOfFewClientsDoNotGrow(t *testing.T) {
	for _, clients := range []int{1, 2, 8, 32} {
		failed := NewPacer(Options{Clients: clients, Grace: second / 2, PollInterval: 10 * second})
		rejected := NewPacer(Options{Clients: clients, Grace: second / 2, PollInterval: 10 * second})
		rejected.Answered()
		for now := Time(0); now < 300*second; now += second {
			for name, pause := range map[string]Time{
				"unanswered": failed.Failed(now, 0.999999).Pause,
				"rejected":   rejected.Rejected(now, 0.999999).Pause,
			} {
				if pause > 4*second/3 {
					t.Fatalf("%d clients, %s for %d us: a pause of %d us", clients, name, now, pause)
				}
			}
		}
	}
}
