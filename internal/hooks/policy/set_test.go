package policy

import (
	"errors"
	"slices"
	"testing"

	"starlingwinch/internal/plugin"
)

func TestNewSetBecomesActiveInOneStepAndOldFinishesRequests(t *testing.T) {
	f := newHarness(t)
	f.load(hookNamed("a"))
	old := f.workerOf(0)
	f.evaluate(1, "read")
	f.policy.Load(f.now, settings(hookNamed("b"), hookNamed("c")))
	f.executeActions()
	f.evaluate(2, "read")
	f.policy.WorkerLoaded(f.now, f.workerOf(0), requestPoint)
	f.executeActions()
	f.evaluate(3, "read")
	if len(f.sentCalls[old]) != 3 {
		t.Fatalf("the old set has %d requests while the new set loads, want 3", len(f.sentCalls[old]))
	}
	f.policy.WorkerLoaded(f.now, f.workerOf(1), requestPoint)
	f.executeActions()
	f.evaluate(4, "read")
	if len(f.sentCalls[old]) != 3 || len(f.sentCalls[f.workerOf(0)]) != 1 {
		t.Error("the new set is not active after all its hooks have loaded")
	}
	for id := range int64(3) {
		f.reply(old, Reply{Verdict: &plugin.Verdict{Decision: plugin.Reject, RetryAfter: 5}})
		f.wantVerdict(id+1, plugin.Reject, 5)
	}
	if !slices.Equal(f.releasedSets, []int{1}) || slices.Contains(f.running(), old) {
		t.Errorf("released sets %v, want [1]; running workers %v, want them without %d", f.releasedSets, f.running(), old)
	}
}

func TestSetThatDoesNotLoadLeavesOldActive(t *testing.T) {
	f := newHarness(t)
	f.load(hookNamed("a"))
	old := f.workerOf(0)
	f.policy.Load(f.now, settings(hookNamed("b"), hookNamed("c")))
	f.executeActions()
	f.policy.WorkerLoaded(f.now, f.workerOf(0), requestPoint)
	f.policy.WorkerEnded(f.now, f.workerOf(1), errors.New("does not load: not a module"))
	f.executeActions()
	f.wantLog(`msg="hook set not loaded" hook=c cause="does not load: not a module"`)
	if !slices.Equal(f.running(), []int{old}) || !slices.Equal(f.releasedSets, []int{2}) {
		t.Errorf("running workers %v, want [%d]; released sets %v, want [2]", f.running(), old, f.releasedSets)
	}
	f.policy.Load(f.now, settings(hookNamed("d")))
	f.executeActions()
	f.advance(20_000 * ms) // its worker never loads it
	f.wantLog(`msg="hook set not loaded" hook=d cause="worker did not load its hook in time"`)
	if !slices.Equal(f.running(), []int{old}) {
		t.Errorf("running workers %v, want [%d]", f.running(), old)
	}
}

func TestReloadSucceedsWithAllWorkersStuck(t *testing.T) {
	f := newHarness(t)
	f.load(hookNamed("a"))
	for id := range int64(30) {
		f.evaluate(id, "read")
	}
	f.policy.Load(f.now, settings(hookNamed("b")))
	f.executeActions()
	f.policy.WorkerLoaded(f.now, f.workerOf(0), requestPoint)
	f.executeActions()
	f.advance(100 * ms)
	for id := range int64(30) {
		f.wantVerdict(id, plugin.Pass, 0)
	}
	f.evaluate(99, "read")
	f.reply(f.workerOf(0), Reply{})
	f.wantVerdict(99, plugin.Pass, 0)
	if len(f.running()) != 1 || len(f.releasedSets) != 1 {
		t.Errorf("running workers %v, want one; released sets %v, want one", f.running(), f.releasedSets)
	}
}

func TestFirstSetIsLoadedAgainAfterFailure(t *testing.T) {
	f := newHarness(t)
	strict := hookNamed("strict")
	strict.OnFailure = RejectOnFailure
	f.policy.Load(f.now, settings(strict))
	f.executeActions()
	f.policy.WorkerEnded(f.now, f.workerOf(0), errors.New("does not load: x"))
	f.executeActions()
	f.evaluate(1, "read")
	f.wantVerdict(1, plugin.Reject, 0)
	f.advance(1100 * ms)
	f.loadWorkers(requestPoint)
	f.evaluate(2, "read")
	f.reply(f.workerOf(0), Reply{})
	f.wantVerdict(2, plugin.Pass, 0)
}

func TestCloseIsBoundedWithStuckWorkers(t *testing.T) {
	f := newHarness(t)
	strict := hookNamed("strict")
	strict.OnFailure = RejectOnFailure
	f.policy.Load(f.now, settings(strict, hookNamed("b")))
	f.executeActions()
	f.loadWorkers(requestPoint.With(plugin.Unload))
	for id := range int64(30) {
		f.evaluate(id, "read")
	}
	f.policy.Load(f.now, settings(hookNamed("c"))) // still loading when Close is called
	f.policy.Close(f.now)
	f.executeActions()
	for id := range int64(30) {
		f.wantVerdict(id, plugin.Reject, 0)
	}
	if f.evaluate(99, "read") {
		t.Error("request accepted after Close")
	}
	f.advance(2 * maxUnloadTime)
	if f.closed != 1 || len(f.running()) > 0 {
		t.Errorf("closed %d times, running %v", f.closed, f.running())
	}
	f.policy.Close(f.now)
	f.policy.Load(f.now, settings(hookNamed("d")))
	f.executeActions()
	if f.closed != 1 || len(f.running()) > 0 {
		t.Errorf("closed %d times, running %v", f.closed, f.running())
	}
}

func TestUnloadIsCalledOnceAndEndsWorker(t *testing.T) {
	for _, failed := range []bool{false, true} {
		f := newHarness(t)
		f.policy.Load(f.now, settings(hookNamed("a")))
		f.executeActions()
		f.loadWorkers(requestPoint.With(plugin.Unload))
		f.policy.Close(f.now)
		f.executeActions()
		calls := f.sentCalls[f.workerOf(0)]
		if len(calls) != 1 || calls[0].Call().Point != plugin.Unload {
			t.Fatalf("got calls %+v, want one Unload", calls)
		}
		f.reply(f.workerOf(0), Reply{Failed: failed, Kind: plugin.Crashed, Text: "in unload"})
		if f.closed != 1 || len(f.running()) > 0 {
			t.Errorf("closed %d times, running %v", f.closed, f.running())
		}
	}
}
