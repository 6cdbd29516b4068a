package policy

import (
	"errors"
	"slices"
	"testing"

	"starlingwinch/internal/plugin"
)

func TestANewSetTakesOverInOneStepAndRequestsFinishInTheOld(t *testing.T) {
	f := newField(t)
	f.load(hookNamed("a"))
	old := f.of(0)
	f.ask(1, "read")
	f.p.Load(f.now, settings(hookNamed("b"), hookNamed("c")))
	f.carry()
	f.ask(2, "read")
	f.p.WorkerLoaded(f.now, f.of(0), requestPoint)
	f.carry()
	f.ask(3, "read")
	if len(f.asked[old]) != 3 {
		t.Fatalf("the old set has %d of 3 while the new one loads", len(f.asked[old]))
	}
	f.p.WorkerLoaded(f.now, f.of(1), requestPoint)
	f.carry()
	f.ask(4, "read")
	if len(f.asked[old]) != 3 || len(f.asked[f.of(0)]) != 1 {
		t.Error("the new set has not taken over")
	}
	for id := range int64(3) {
		f.reply(old, Reply{Verdict: &plugin.Verdict{Decision: plugin.Reject, RetryAfter: 5}})
		f.has(id+1, plugin.Reject, 5)
	}
	if !slices.Equal(f.dropped, []int{1}) || slices.Contains(f.running(), old) {
		t.Errorf("dropped %v, running %v with %d", f.dropped, f.running(), old)
	}
}

func TestASetThatDoesNotLoadLeavesTheOldOne(t *testing.T) {
	f := newField(t)
	f.load(hookNamed("a"))
	old := f.of(0)
	f.p.Load(f.now, settings(hookNamed("b"), hookNamed("c")))
	f.carry()
	f.p.WorkerLoaded(f.now, f.of(0), requestPoint)
	f.p.WorkerEnded(f.now, f.of(1), errors.New("does not load: not a module"))
	f.carry()
	f.logged(`msg="hook set not loaded" hook=c cause="does not load: not a module"`)
	if !slices.Equal(f.running(), []int{old}) || !slices.Equal(f.dropped, []int{2}) {
		t.Errorf("running %v, dropped %v", f.running(), f.dropped)
	}
	f.p.Load(f.now, settings(hookNamed("d")))
	f.carry()
	f.pass(20_000 * ms) // it never comes up
	f.logged(`msg="hook set not loaded" hook=d cause="worker did not load its hook in time"`)
	if !slices.Equal(f.running(), []int{old}) {
		t.Errorf("running %v", f.running())
	}
}

func TestAReloadWhileAllWorkersAreStuckGoesOn(t *testing.T) {
	f := newField(t)
	f.load(hookNamed("a"))
	for id := range int64(30) {
		f.ask(id, "read")
	}
	f.p.Load(f.now, settings(hookNamed("b")))
	f.carry()
	f.p.WorkerLoaded(f.now, f.of(0), requestPoint)
	f.carry()
	f.pass(100 * ms)
	for id := range int64(30) {
		f.has(id, plugin.Pass, 0)
	}
	f.ask(99, "read")
	f.reply(f.of(0), Reply{})
	f.has(99, plugin.Pass, 0)
	if len(f.running()) != 1 || len(f.dropped) != 1 {
		t.Errorf("running %v, dropped %v", f.running(), f.dropped)
	}
}

func TestTheFirstSetIsTriedAgainWhereItDoesNotLoad(t *testing.T) {
	f := newField(t)
	strict := hookNamed("strict")
	strict.OnFailure = RejectOnFailure
	f.p.Load(f.now, settings(strict))
	f.carry()
	f.p.WorkerEnded(f.now, f.of(0), errors.New("does not load: x"))
	f.carry()
	f.ask(1, "read")
	f.has(1, plugin.Reject, 0)
	f.pass(1100 * ms)
	f.up(requestPoint)
	f.ask(2, "read")
	f.reply(f.of(0), Reply{})
	f.has(2, plugin.Pass, 0)
}

func TestCloseEndsInTimeWhateverTheWorkersDo(t *testing.T) {
	f := newField(t)
	strict := hookNamed("strict")
	strict.OnFailure = RejectOnFailure
	f.p.Load(f.now, settings(strict, hookNamed("b")))
	f.carry()
	f.up(requestPoint.With(plugin.Unload))
	for id := range int64(30) {
		f.ask(id, "read")
	}
	f.p.Load(f.now, settings(hookNamed("c"))) // loads meanwhile
	f.p.Close(f.now)
	f.carry()
	for id := range int64(30) {
		f.has(id, plugin.Reject, 0)
	}
	if f.ask(99, "read") {
		t.Error("taken after Close")
	}
	f.pass(2 * maxUnloadTime)
	if f.closed != 1 || len(f.running()) > 0 {
		t.Errorf("closed %d times, running %v", f.closed, f.running())
	}
	f.p.Close(f.now)
	f.p.Load(f.now, settings(hookNamed("d")))
	f.carry()
	if f.closed != 1 || len(f.running()) > 0 {
		t.Errorf("closed %d times, running %v", f.closed, f.running())
	}
}

func TestUnloadIsAskedOnceAndThenTheWorkerEnds(t *testing.T) {
	for _, failed := range []bool{false, true} {
		f := newField(t)
		f.p.Load(f.now, settings(hookNamed("a")))
		f.carry()
		f.up(requestPoint.With(plugin.Unload))
		f.p.Close(f.now)
		f.carry()
		calls := f.asked[f.of(0)]
		if len(calls) != 1 || calls[0].Call().Point != plugin.Unload {
			t.Fatalf("asked %+v", calls)
		}
		f.reply(f.of(0), Reply{Failed: failed, Kind: plugin.Crashed, Text: "in unload"})
		if f.closed != 1 || len(f.running()) > 0 {
			t.Errorf("closed %d times, running %v", f.closed, f.running())
		}
	}
}
