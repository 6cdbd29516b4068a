package policy

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"starlingwinch/internal/plugin"
)

// TestRandomEventsGiveOneVerdictInTime generates random events of workers, clients and operators. It checks that each request
// has one verdict by its deadline, none after a cancellation, and that Close leaves nothing over.
func TestRandomEventsGiveOneVerdictInTime(t *testing.T) {
	for seed := range uint64(400) {
		f := newHarness(t)
		r := rand.New(rand.NewPCG(seed, 1))
		deadlines, cancelled := map[int64]Time{}, map[int64]bool{}
		set := func() Settings {
			var hooks []Hook
			for i := range r.IntN(4) {
				h := hookNamed(fmt.Sprint("h", i))
				h.Queue = 1 + r.IntN(40)
				h.OnFailure = FailureMode(r.IntN(2))
				h.CPUFraction = []float64{0.01, 1}[r.IntN(2)]
				hooks = append(hooks, h)
			}
			return settings(hooks...)
		}
		id := int64(0)
		for step := range 600 {
			ids := f.running()
			pick := func() int { return ids[r.IntN(len(ids))] }
			switch n := r.IntN(100); {
			case n < 40:
				id++
				timeLeft := Time(r.IntN(800 * ms))
				if f.policy.Evaluate(f.now, Request{ID: id, Call: plugin.Call{Point: plugin.OnRequest, TimeLeft: timeLeft}}) {
					deadlines[id] = f.now + min(50*ms, timeLeft/10)
				}
			case n < 45 && id > 0:
				request := 1 + r.Int64N(id)
				if len(f.verdicts[request]) == 0 {
					cancelled[request] = true
				}
				f.policy.Cancel(f.now, request)
			case n < 48:
				f.policy.Notify(f.now, plugin.Call{Point: plugin.Answered})
			case n < 52 && len(ids) > 0:
				f.policy.WorkerEnded(f.now, pick(), errors.New("crashed"))
			case n < 54:
				f.policy.Load(f.now, set())
			case n < 60:
				f.advance(Time(r.IntN(30 * ms)))
			case n < 62 && step > 500:
				f.policy.Close(f.now)
			case n < 72:
				f.loadWorkers(requestPoint.With(plugin.Answered).With(plugin.Unload))
			case len(ids) > 0:
				if w := pick(); len(f.sentCalls[w]) > 0 {
					decision := []plugin.Decision{plugin.Pass, plugin.Pass, plugin.Reject, plugin.Fail}[r.IntN(4)]
					f.reply(w, Reply{Failed: r.IntN(8) == 0, Verdict: &plugin.Verdict{Decision: decision}})
				}
			}
			f.executeActions()
			for request, deadline := range deadlines { // any order
				n := len(f.verdicts[request])
				if n > 1 || n > 0 && cancelled[request] || n == 0 && !cancelled[request] && deadline < f.now {
					t.Fatalf("seed %d, step %d: request %d with deadline %d has %d verdicts at %d, cancelled: %v",
						seed, step, request, deadline, n, f.now, cancelled[request])
				}
			}
		}
		f.policy.Close(f.now)
		f.executeActions()
		f.advance(1000 * ms)
		left := f.policy.RecordCounts()
		if f.closed != 1 || left["requests"]+left["workers"]+left["calls"]+left["old sets"] > 0 || len(f.running()) > 0 {
			t.Fatalf("seed %d: closed %d times, left %v, running %v; want closed once and nothing left", seed, f.closed, left, f.running())
		}
		for request := range deadlines { // any order
			if n := len(f.verdicts[request]); n != 1 && !cancelled[request] {
				t.Fatalf("seed %d: request %d has %d verdicts, want 1", seed, request, n)
			}
		}
	}
}
