package retry

import (
	"math/rand/v2"
	"testing"
)

const second Time = 1_000_000

func TestFirstDelayIsWithinHalfOfTheGrace(t *testing.T) {
	for _, interval := range []Time{0, 500_000, 10 * second, 600 * second} {
		for _, random := range []float64{0, 0.5, 0.999999} {
			p := NewPacer(Options{Clients: 300, Grace: second / 2, PollInterval: interval})
			p.Answered()
			if f := p.Failed(7*second, random); !f.First || f.Delay > second/4 {
				t.Errorf("interval %d, random %g: got %+v, want the first failure with a delay of at most %d us", interval, random, f, second/4)
			}
			if f := p.Failed(8*second, random); f.First || f.Delay == 0 {
				t.Errorf("interval %d, random %g, second failure: got %+v, want a delay above 0 and First unset", interval, random, f)
			}
		}
	}
}

// TestDelaysHaveAMinimum checks the minimum delays for several options, while the service repeatedly answers and closes the connection.
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
			if f := p.Failed(now, 0); f.Delay < minDelay {
				t.Errorf("%+v: delay after the loss of a watch: got %d us, want at least %d", o, f.Delay, minDelay)
			}
			if f := p.Failed(now, 0); f.Delay < MinCallInterval/2 {
				t.Errorf("%+v: delay after a failed call: got %d us, want at least %d", o, f.Delay, MinCallInterval/2)
			}
		}
	}
}

func TestDelaysStayWithinBoundAndGrowAfterThreeBounds(t *testing.T) {
	p := NewPacer(Options{Clients: 300, Grace: second, PollInterval: 10 * second})
	rng := rand.New(rand.NewPCG(1, 1))
	now, overdue := 5*second, 0
	for now < 400*second {
		f := p.Failed(now, rng.Float64())
		if f.Overdue {
			overdue++
			if f.FailingFor < 6*second || f.FailedCalls < 3 {
				t.Errorf("overdue after %d us and %d calls, want at least %d us and 3 calls", f.FailingFor, f.FailedCalls, 6*second)
			}
		}
		shortest, longest := second*2/3, second*4/3
		if f.FailingFor > 18*second {
			longest = 6 * second
		}
		if f.FailingFor > 81*second {
			shortest = 3 * second
		}
		if f.Delay < shortest || f.Delay > longest {
			t.Fatalf("failing for %d us: got a delay of %d us, want %d to %d", f.FailingFor, f.Delay, shortest, longest)
		}
		now += f.Delay
	}
	if overdue != 1 {
		t.Errorf("got Overdue %d times, want once per outage", overdue)
	}
	p.Answered()
	if f := p.Failed(now, 0.5); !f.First || f.FailedCalls != 1 || f.FailingFor != 0 {
		t.Errorf("after an answer: got %+v, want the first failure", f)
	}
}

func TestDelaysFitIntoFourPollIntervals(t *testing.T) {
	p := NewPacer(Options{Clients: 3, Grace: second, PollInterval: second / 2})
	p.Failed(0, 0)
	if f := p.Failed(second, 0.999999); f.Delay > 2*second*4/18 {
		t.Errorf("got a delay of %d us, want at most %d: the client counts as notified after 2 s", f.Delay, 2*second*4/18)
	}
}

func TestStartSpreadsClientsThatStartTogether(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 2))
	first, last := 10*second, Time(0)
	for range 32 {
		at := NewPacer(Options{Clients: 32, Grace: second}).StartDelay(rng.Float64())
		first, last = min(first, at), max(last, at)
	}
	if last-first < second/3 || last > second/2 {
		t.Errorf("got 32 calls from %d to %d us, want a spread of at least %d us, and the last call by %d us", first, last, second/3, second/2)
	}
	if at := NewPacer(Options{Clients: 1, Grace: second}).StartDelay(0.9); at != 0 {
		t.Errorf("got a delay of %d us for the only client, want 0", at)
	}
}

// delaysAfterReturn returns the delays of a client that loses its watch at 0 and whose calls are rejected after the service's return.
func delaysAfterReturn(p *Pacer, returnAt, until Time, rng *rand.Rand) (delays []Time) {
	p.Answered()
	now := p.Failed(0, rng.Float64()).Delay
	for now < returnAt {
		now += p.Failed(now, rng.Float64()).Delay
	}
	for now < until {
		delay := p.Rejected(now, rng.Float64()).Delay
		delays = append(delays, delay)
		now += delay
	}
	return delays
}

// TestRejectedClientsCallMoreOftenAsTimeRunsOut guards against a service that is idle between the calls of the last clients.
func TestRejectedClientsCallMoreOftenAsTimeRunsOut(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	for _, clients := range []int{2, 4, 8, 16, 24, 32} {
		p := NewPacer(Options{Clients: clients, Grace: second / 2, PollInterval: 10 * second})
		const returnAt, end = 9 * second, 9*second + 6*second
		delays := delaysAfterReturn(p, returnAt, end, rng)
		first, last := delays[0], delays[len(delays)-1]
		if last > first/2 && last > second/3 {
			t.Errorf("%d clients: got delays %v, want the last at most half of the first or %d us", clients, delays, second/3)
		}
		for _, delay := range delays {
			if delay < second/10 || delay > 5*second/2 {
				t.Errorf("%d clients: got a delay of %d us, want %d to %d", clients, delay, second/10, 5*second/2)
			}
		}
	}
}

// TestManyRejectedClientsKeepSteadyDelays guards against shorter delays for many clients: the service would only reject more calls.
func TestManyRejectedClientsKeepSteadyDelays(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 4))
	for _, clients := range []int{33, 128, 300} {
		p := NewPacer(Options{Clients: clients, Grace: second / 2, PollInterval: 10 * second})
		for _, delay := range delaysAfterReturn(p, 2*second, 17*second, rng) {
			if delay < second*2/3-1 || delay > second*4/3 {
				t.Errorf("%d clients: got a delay of %d us, want %d to %d", clients, delay, second*2/3-1, second*4/3)
			}
		}
	}
}

// TestRejectionsAloneDoNotDateTheReturn checks that a rejection right after an answer does not shorten the delays: a service that
// is down may reject calls too, so the time left is unknown.
func TestRejectionsAloneDoNotDateTheReturn(t *testing.T) {
	p := NewPacer(Options{Clients: 16, Grace: second / 2, PollInterval: 10 * second})
	p.Answered()
	for now := second; now < 16*second; now += second {
		if f := p.Rejected(now, 0.5); !f.First && f.Delay != second {
			t.Errorf("at %d us: got a delay of %d us, want a sixth of six seconds", now, f.Delay)
		}
	}
}

// TestSecondOutageRestartsTimeLeft checks that the time left counts from the latest return.
func TestSecondOutageRestartsTimeLeft(t *testing.T) {
	p := NewPacer(Options{Clients: 16, Grace: second / 2, PollInterval: 10 * second})
	p.Answered()
	p.Failed(0, 0.5)
	first := p.Rejected(second, 0.5).Delay
	p.Rejected(5*second, 0.5)
	p.Failed(6*second, 0.5)
	if again := p.Rejected(8*second, 0.5).Delay; again != first {
		t.Errorf("after the second outage: got a delay of %d us, want %d as after the first outage", again, first)
	}
}

// TestDelaysOfFewClientsDoNotGrow guards against late answers after a long outage: few clients must have an answer within the bound
// then too.
func TestDelaysOfFewClientsDoNotGrow(t *testing.T) {
	for _, clients := range []int{1, 2, 8, 32} {
		failed := NewPacer(Options{Clients: clients, Grace: second / 2, PollInterval: 10 * second})
		rejected := NewPacer(Options{Clients: clients, Grace: second / 2, PollInterval: 10 * second})
		rejected.Answered()
		for now := Time(0); now < 300*second; now += second {
			for name, delay := range map[string]Time{
				"unanswered": failed.Failed(now, 0.999999).Delay,
				"rejected":   rejected.Rejected(now, 0.999999).Delay,
			} {
				if delay > 4*second/3 {
					t.Fatalf("%d clients, %s for %d us: got a delay of %d us, want at most %d", clients, name, now, delay, 4*second/3)
				}
			}
		}
	}
}
