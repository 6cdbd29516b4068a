package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"starlingwinch/internal/plugin"
)

const ms = 1000

// field is a Policy whose actions are carried out by a test.
type field struct {
	t        *testing.T
	p        *Policy
	now      Time
	timer    Time
	workers  map[int]int // to the hook's number
	asked    map[int][]Action
	verdicts map[int64][]plugin.Verdict
	lines    []string
	dropped  []int
	closed   int
}

func newField(t *testing.T) *field {
	return &field{t: t, p: New(), now: 1_000_000, workers: map[int]int{}, asked: map[int][]Action{}, verdicts: map[int64][]plugin.Verdict{}}
}

// carry carries out what the Policy has asked for.
func (f *field) carry() {
	void := map[int]bool{}
	for {
		a, ok := f.p.Next()
		if !ok {
			break
		}
		switch a.Do {
		case Start:
			f.workers[a.Worker] = a.Hook
		case Kill:
			delete(f.workers, a.Worker)
			delete(f.asked, a.Worker)
		case Ask:
			if _, ok := f.workers[a.Worker]; !ok {
				f.t.Errorf("worker %d is asked and does not run", a.Worker)
			}
			if a.Call() == nil {
				void[a.Worker] = true
				break
			}
			f.asked[a.Worker] = append(f.asked[a.Worker], a)
		case Deliver:
			f.verdicts[a.ID] = append(f.verdicts[a.ID], a.Verdict)
		case SetTimer:
			f.timer = a.At
		case Log:
			f.lines = append(f.lines, a.Text)
		case Dropped:
			f.dropped = append(f.dropped, a.Set)
		case Closed:
			f.closed++
		}
	}
	for w := range void { // any order
		if _, runs := f.workers[w]; runs {
			f.t.Errorf("worker %d was asked without a call, and not ended", w)
		}
	}
}

func hookNamed(name string) Hook {
	return Hook{Name: name, Time: 5 * ms, LoadTime: 1000 * ms, Queue: 32, Share: 1}
}

func settings(hooks ...Hook) Settings {
	return Settings{Hooks: hooks, WaitShare: 0.1, WaitMost: 50 * ms}
}

var requestPoint = plugin.Points(0).With(plugin.OnRequest)

// load loads hooks and has their workers come up.
func (f *field) load(hooks ...Hook) {
	f.p.Load(f.now, settings(hooks...))
	f.carry()
	f.up(requestPoint)
}

// up has all workers come up that are not.
func (f *field) up(points plugin.Points) {
	for _, id := range f.running() {
		if w := f.p.workers[id]; w != nil && !w.up {
			f.p.Up(f.now, id, points)
		}
	}
	f.carry()
}

func (f *field) running() []int {
	var ids []int
	for id := range f.workers { // any order
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// of is the worker of a hook.
func (f *field) of(hook int) int {
	f.t.Helper()
	for _, id := range slices.Backward(f.running()) {
		if f.workers[id] == hook {
			return id
		}
	}
	f.t.Fatalf("hook %d has no worker", hook)
	return 0
}

func (f *field) ask(id int64, class string) bool {
	taken := f.p.Ask(f.now, Request{ID: id, Call: plugin.Call{Point: plugin.OnRequest, Class: class, TimeLeft: 1000 * ms}})
	f.carry()
	return taken
}

// reply answers the first call that a worker has.
func (f *field) reply(worker int, r Reply) {
	f.t.Helper()
	calls := f.asked[worker]
	if len(calls) == 0 {
		f.t.Fatalf("worker %d has no call", worker)
	}
	f.asked[worker] = calls[1:]
	r.Seq = calls[0].Seq
	r.Spent = 10
	if r.Verdict == nil {
		r.Verdict = &plugin.Verdict{}
	}
	f.p.Replied(f.now, worker, r)
	f.carry()
}

// pass lets time go by, with a Tick wherever one was asked for.
func (f *field) pass(d Time) {
	end := f.now + d
	for f.timer > 0 && f.timer <= end {
		f.now = max(f.now, f.timer)
		f.timer = 0
		f.p.Tick(f.now)
		f.carry()
	}
	f.now = end
}

// has fails where a request has not got this one verdict.
func (f *field) has(id int64, say plugin.Say, wait Time) {
	f.t.Helper()
	got := f.verdicts[id]
	if len(got) != 1 || got[0].Say != say || got[0].Wait != wait {
		f.t.Errorf("request %d has the verdicts %+v, want one %s with wait %d", id, got, say, wait)
	}
}

func (f *field) hasNone(id int64) {
	f.t.Helper()
	if got := f.verdicts[id]; len(got) > 0 {
		f.t.Errorf("request %d has the verdicts %+v", id, got)
	}
}

func (f *field) logged(text string) {
	f.t.Helper()
	for _, line := range f.lines {
		if strings.Contains(line, text) {
			return
		}
	}
	f.t.Errorf("no line says %q: %q", text, f.lines)
}

func TestWithoutHooksNothingIsTaken(t *testing.T) {
	f := newField(t)
	if f.ask(1, "read") || !f.p.Idle() {
		t.Error("taken")
	}
	h := hookNamed("a")
	h.Classes = []string{"put"}
	f.load(h)
	if f.ask(2, "read") {
		t.Error("taken by a hook for another class")
	}
	if n := testing.AllocsPerRun(100, func() { f.p.Ask(f.now, Request{Call: plugin.Call{Class: "read"}}) }); n > 0 {
		t.Errorf("%v allocations", n)
	}
}

func TestHooksAreAskedInTheirOrderAndTheirWordsAddUp(t *testing.T) {
	f := newField(t)
	f.load(hookNamed("a"), hookNamed("b"))
	f.ask(1, "read")
	if len(f.asked[f.of(1)]) > 0 {
		t.Error("the second hook is asked with the first")
	}
	f.reply(f.of(0), Reply{Verdict: &plugin.Verdict{Tenant: "club", Tags: []string{"x"}}})
	f.hasNone(1)
	calls := f.asked[f.of(1)]
	if len(calls) != 1 || calls[0].Call().Tenant != "club" {
		t.Fatalf("the second hook is asked %+v", calls)
	}
	f.reply(f.of(1), Reply{Verdict: &plugin.Verdict{Tags: []string{"y"}, Log: []string{"seen"}}})
	f.has(1, plugin.Pass, 0)
	if v := f.verdicts[1][0]; v.Tenant != "club" || !slices.Equal(v.Tags, []string{"x", "y"}) {
		t.Errorf("%+v", v)
	}
	f.logged("hook b: says: seen")
}

func TestARefusalAsksNobodyElse(t *testing.T) {
	f := newField(t)
	f.load(hookNamed("a"), hookNamed("b"))
	f.ask(1, "read")
	f.reply(f.of(0), Reply{Verdict: &plugin.Verdict{Say: plugin.Refuse, Wait: 9}})
	f.has(1, plugin.Refuse, 9)
	f.ask(2, "read")
	f.reply(f.of(0), Reply{Verdict: &plugin.Verdict{Say: plugin.Fail, Text: "no such call"}})
	f.has(2, plugin.Fail, 0)
	if len(f.asked[f.of(1)]) > 0 {
		t.Error("the second hook was asked")
	}
}

func TestOnFailureDecidesWhereACallFails(t *testing.T) {
	f := newField(t)
	strict := hookNamed("strict")
	strict.OnFailure, strict.RefuseWait = RefuseOn, 700
	f.load(hookNamed("lax"), strict)
	f.ask(1, "read")
	f.reply(f.of(0), Reply{Failed: true, Kind: plugin.Crashed, Text: "unreachable"})
	f.hasNone(1)
	f.reply(f.of(1), Reply{Failed: true, Kind: plugin.Overran})
	f.has(1, plugin.Refuse, 700)
	f.logged("hook lax: crashed: unreachable")
}

func TestARequestWaitsNoLongerThanItsPart(t *testing.T) {
	f := newField(t)
	strict := hookNamed("strict")
	strict.OnFailure = RefuseOn
	strict.Time = 1000 * ms // slower than the client waits
	f.load(strict)
	f.ask(1, "read")
	f.pass(49 * ms)
	f.hasNone(1)
	f.pass(1 * ms)
	f.has(1, plugin.Refuse, 0)
	f.reply(f.of(0), Reply{}) // too late
	f.has(1, plugin.Refuse, 0)

	f.p.Ask(f.now, Request{ID: 2, Call: plugin.Call{TimeLeft: 100 * ms}})
	f.carry()
	f.pass(10 * ms)
	f.has(2, plugin.Refuse, 0)
}

func TestAStuckWorkerIsEndedWithinItsGraceAndTheOthersAreAskedAgain(t *testing.T) {
	f := newField(t)
	f.load(hookNamed("a"))
	for id := range int64(3) {
		f.ask(id, "read")
	}
	first := f.of(0)
	f.pass(13 * ms)
	if f.of(0) == first {
		t.Fatal("the worker runs on")
	}
	f.has(0, plugin.Pass, 0)
	f.hasNone(1)
	f.up(requestPoint)
	f.reply(f.of(0), Reply{Verdict: &plugin.Verdict{Say: plugin.Refuse}})
	f.has(1, plugin.Refuse, 0)
	f.pass(13 * ms) // lost a second time
	f.has(2, plugin.Pass, 0)
}

func TestAMachineThatStoodStillLosesNoWorker(t *testing.T) {
	f := newField(t)
	f.load(hookNamed("a"))
	f.ask(1, "read")
	worker := f.of(0)
	f.now += 40 * ms
	f.p.Tick(f.now)
	f.carry()
	if f.of(0) != worker {
		t.Fatal("the worker was ended")
	}
	for range 20 { // it stands still again and again: the worker is stuck all the same
		f.now += 40 * ms
		f.p.Tick(f.now)
		f.carry()
	}
	if f.of(0) == worker {
		t.Error("the worker is never ended")
	}
}

func TestAFullQueueDecidesAtOnce(t *testing.T) {
	f := newField(t)
	h := hookNamed("a")
	h.Queue = 20
	f.load(h)
	for id := range int64(20) {
		if !f.ask(id, "read") {
			t.Fatalf("request %d is not taken", id)
		}
	}
	if n := len(f.asked[f.of(0)]); n != flight {
		t.Errorf("%d calls are out", n)
	}
	if f.ask(20, "read") {
		t.Error("one more is taken")
	}
	h.OnFailure = RefuseOn
	f = newField(t)
	f.load(h)
	for id := range int64(21) {
		f.ask(id, "read")
	}
	f.has(20, plugin.Refuse, 0)
	f.hasNone(19)
}

func TestAHookThatKeepsFailingIsSuspendedForSpansThatDouble(t *testing.T) {
	f := newField(t)
	f.load(hookNamed("a"))
	id := int64(0)
	for _, seconds := range []Time{1, 2, 4, 8} {
		for f.ask(id, "read") {
			f.reply(f.of(0), Reply{Failed: true, Kind: plugin.Crashed, Text: "x"})
			f.has(id, plugin.Pass, 0)
			id++
		}
		if id > 100 || len(f.running()) > 0 {
			t.Fatalf("after %d failures there are %d workers", id, len(f.running()))
		}
		f.logged(fmt.Sprintf("suspended for %d s: crashed: x", seconds))
		f.pass(seconds<<20 + ms)
		f.up(requestPoint)
	}
	for range 300 { // good conduct wins it back
		f.ask(id, "read")
		f.reply(f.of(0), Reply{})
		id++
	}
	if h := f.p.present.hooks[0]; h.rest != 0 || h.score != 0 {
		t.Errorf("rest %d, score %v", h.rest, h.score)
	}
}

func TestAHookThatFailsOnceInAHundredGoesOn(t *testing.T) {
	f := newField(t)
	f.load(hookNamed("a"))
	for id := range int64(5000) {
		if !f.ask(id, "read") {
			t.Fatalf("request %d is not taken", id)
		}
		f.reply(f.of(0), Reply{Failed: id%100 == 0})
		f.now += ms
	}
}

func TestAHookGetsItsShareOfTheCoreAndNoMore(t *testing.T) {
	f := newField(t)
	h := hookNamed("a")
	h.Share = 0.1
	f.load(h)
	taken := 0
	for id := range int64(4000) { // 4 ms of work every 5 ms
		if f.ask(id, "read") {
			taken++
			calls := f.asked[f.of(0)]
			f.asked[f.of(0)] = calls[1:]
			f.p.Replied(f.now, f.of(0), Reply{Seq: calls[0].Seq, Spent: 4 * ms, Verdict: &plugin.Verdict{}})
			f.carry()
		}
		f.now += 5 * ms
	}
	if share := float64(taken) * 4 / (4000 * 5); share < 0.09 || share > 0.11 {
		t.Errorf("it had %v of the core", share)
	}
}

func TestAClientThatLeavesIsForgotten(t *testing.T) {
	f := newField(t)
	f.load(hookNamed("a"))
	value := 0
	for id := range int64(flight + 2) {
		f.p.Ask(f.now, Request{ID: id, Call: plugin.Call{TimeLeft: 1000 * ms}, Value: func() []byte { value++; return nil }})
	}
	f.p.Gone(f.now, 0)
	f.p.Gone(f.now, flight+1) // waits in the queue
	f.p.Gone(f.now, 99)
	f.carry()
	if a := f.asked[f.of(0)][0]; a.Value() != nil || value != 0 {
		t.Error("the value of a client that has left is asked for")
	}
	for range flight + 1 {
		f.reply(f.of(0), Reply{})
	}
	f.hasNone(0)
	f.hasNone(flight + 1)
	f.has(1, plugin.Pass, 0)
	if left := f.p.Left(); left["requests"]+left["calls"] != 0 {
		t.Errorf("left %v", left)
	}
}

func TestLooksAreBoundedAndLeaveRoomForRequests(t *testing.T) {
	f := newField(t)
	h := hookNamed("a")
	h.Classes = []string{"read"}
	f.p.Load(f.now, settings(h))
	f.carry()
	f.up(requestPoint.With(plugin.Answered).With(plugin.ListChanged))
	for range 100 {
		f.p.Look(f.now, plugin.Call{Point: plugin.Answered, Class: "read"})
		f.p.Look(f.now, plugin.Call{Point: plugin.Answered, Class: "put"})
		f.p.Look(f.now, plugin.Call{Point: plugin.ListChanged})
	}
	f.carry()
	if c := f.p.Status()[0].Counts; c.Asked != 16 || c.Unseen != 184 {
		t.Errorf("%+v", c)
	}
	if !f.ask(1, "read") {
		t.Error("there is no room for a request")
	}
	for range 15 {
		f.reply(f.of(0), Reply{Verdict: &plugin.Verdict{Log: []string{"seen"}}})
	}
	f.reply(f.of(0), Reply{Failed: true, Kind: plugin.Crashed, Text: "in a look"})
	f.reply(f.of(0), Reply{})
	f.has(1, plugin.Pass, 0)
	f.logged("crashed: in a look")
}

func TestAHookWithoutTheRequestPointIsNotAsked(t *testing.T) {
	f := newField(t)
	f.p.Load(f.now, settings(hookNamed("a"), hookNamed("b")))
	f.carry()
	f.ask(1, "read") // waits for the first, of which nothing is known yet
	f.p.Up(f.now, f.of(0), plugin.Points(0).With(plugin.Answered))
	f.carry()
	f.p.Up(f.now, f.of(1), requestPoint)
	f.carry()
	f.reply(f.of(1), Reply{})
	f.has(1, plugin.Pass, 0)
}

func TestANewSetTakesOverInOneStepAndRequestsFinishInTheOld(t *testing.T) {
	f := newField(t)
	f.load(hookNamed("a"))
	old := f.of(0)
	f.ask(1, "read")
	f.p.Load(f.now, settings(hookNamed("b"), hookNamed("c")))
	f.carry()
	f.ask(2, "read")
	f.p.Up(f.now, f.of(0), requestPoint)
	f.carry()
	f.ask(3, "read")
	if len(f.asked[old]) != 3 {
		t.Fatalf("the old set has %d of 3 while the new one loads", len(f.asked[old]))
	}
	f.p.Up(f.now, f.of(1), requestPoint)
	f.carry()
	f.ask(4, "read")
	if len(f.asked[old]) != 3 || len(f.asked[f.of(0)]) != 1 {
		t.Error("the new set has not taken over")
	}
	for id := range int64(3) {
		f.reply(old, Reply{Verdict: &plugin.Verdict{Say: plugin.Refuse, Wait: 5}})
		f.has(id+1, plugin.Refuse, 5)
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
	f.p.Up(f.now, f.of(0), requestPoint)
	f.p.Ended(f.now, f.of(1), "does not load: not a module")
	f.carry()
	f.logged("hook c: does not load: not a module; the hooks before stay")
	if !slices.Equal(f.running(), []int{old}) || !slices.Equal(f.dropped, []int{2}) {
		t.Errorf("running %v, dropped %v", f.running(), f.dropped)
	}
	f.p.Load(f.now, settings(hookNamed("d")))
	f.carry()
	f.pass(20_000 * ms) // it never comes up
	f.logged("hook d: its worker did not come up in time")
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
	f.p.Up(f.now, f.of(0), requestPoint)
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
	strict.OnFailure = RefuseOn
	f.p.Load(f.now, settings(strict))
	f.carry()
	f.p.Ended(f.now, f.of(0), "does not load: x")
	f.carry()
	f.ask(1, "read")
	f.has(1, plugin.Refuse, 0)
	f.pass(1100 * ms)
	f.up(requestPoint)
	f.ask(2, "read")
	f.reply(f.of(0), Reply{})
	f.has(2, plugin.Pass, 0)
}

func TestCloseEndsInTimeWhateverTheWorkersDo(t *testing.T) {
	f := newField(t)
	strict := hookNamed("strict")
	strict.OnFailure = RefuseOn
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
		f.has(id, plugin.Refuse, 0)
	}
	if f.ask(99, "read") {
		t.Error("taken after Close")
	}
	f.pass(2 * unloadMost)
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

func TestAReplyOutOfPlaceEndsTheWorker(t *testing.T) {
	f := newField(t)
	f.load(hookNamed("a"))
	f.ask(1, "read")
	f.p.Replied(f.now, f.of(0), Reply{Seq: 77, Verdict: &plugin.Verdict{}})
	f.carry()
	f.has(1, plugin.Pass, 0)
	f.logged("gave an answer to nothing")
	f.up(requestPoint)
	f.p.Replied(f.now, f.of(0), Reply{Seq: 1, Verdict: &plugin.Verdict{}})
	f.p.Replied(f.now, 12345, Reply{Seq: 1, Verdict: &plugin.Verdict{}})
	f.carry()
	f.has(1, plugin.Pass, 0)
}

func TestLinesAreBounded(t *testing.T) {
	f := newField(t)
	f.load(hookNamed("a"))
	for id := range int64(100) {
		f.ask(id, "read")
		f.reply(f.of(0), Reply{Verdict: &plugin.Verdict{Log: []string{"a", "b", "c"}}})
	}
	if len(f.lines) != linesBurst {
		t.Errorf("%d lines", len(f.lines))
	}
	f.now += 1000 * ms
	f.ask(100, "read")
	f.reply(f.of(0), Reply{Verdict: &plugin.Verdict{Log: []string{"last"}}})
	f.logged("hook a: says: last (and 280 lines before it that were too many)")
}

func TestTagsAreCountedUpToABound(t *testing.T) {
	f := newField(t)
	f.load(hookNamed("a"))
	for id := range int64(mostTags + 10) {
		f.ask(id, "read")
		f.reply(f.of(0), Reply{Verdict: &plugin.Verdict{Tags: []string{"club", fmt.Sprintf("t%03d", id)}}})
	}
	tags := f.p.Status()[0].Tags
	if len(tags) != mostTags+1 || tags[0] != (Tag{Others, 11}) || tags[1] != (Tag{"club", mostTags + 10}) {
		t.Errorf("%d tags, %v", len(tags), tags)
	}
}

// TestEachRequestHasOneVerdictInTimeWhateverHappens plays workers, clients and operators by chance.
func TestEachRequestHasOneVerdictInTimeWhateverHappens(t *testing.T) {
	for seed := range uint64(400) {
		f := newField(t)
		r := rand.New(rand.NewPCG(seed, 1))
		due, gone := map[int64]Time{}, map[int64]bool{}
		set := func() Settings {
			var hooks []Hook
			for i := range r.IntN(4) {
				h := hookNamed(fmt.Sprint("h", i))
				h.Queue = 1 + r.IntN(40)
				h.OnFailure = OnFailure(r.IntN(2))
				h.Share = []float64{0.01, 1}[r.IntN(2)]
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
				left := Time(r.IntN(800 * ms))
				if f.p.Ask(f.now, Request{ID: id, Call: plugin.Call{Point: plugin.OnRequest, TimeLeft: left}}) {
					due[id] = f.now + min(50*ms, left/10)
				}
			case n < 45 && id > 0:
				x := 1 + r.Int64N(id)
				if len(f.verdicts[x]) == 0 {
					gone[x] = true
				}
				f.p.Gone(f.now, x)
			case n < 48:
				f.p.Look(f.now, plugin.Call{Point: plugin.Answered})
			case n < 52 && len(ids) > 0:
				f.p.Ended(f.now, pick(), "crashed")
			case n < 54:
				f.p.Load(f.now, set())
			case n < 60:
				f.pass(Time(r.IntN(30 * ms)))
			case n < 62 && step > 500:
				f.p.Close(f.now)
			case n < 72:
				f.up(requestPoint.With(plugin.Answered).With(plugin.Unload))
			case len(ids) > 0:
				if w := pick(); len(f.asked[w]) > 0 {
					say := []plugin.Say{plugin.Pass, plugin.Pass, plugin.Refuse, plugin.Fail}[r.IntN(4)]
					f.reply(w, Reply{Failed: r.IntN(8) == 0, Verdict: &plugin.Verdict{Say: say}})
				}
			}
			f.carry()
			for x, at := range due { // any order
				n := len(f.verdicts[x])
				if n > 1 || n > 0 && gone[x] || n == 0 && !gone[x] && at < f.now {
					t.Fatalf("seed %d, step %d: request %d, due at %d, has %d verdicts at %d, client gone: %v", seed, step, x, at, n, f.now, gone[x])
				}
			}
		}
		f.p.Close(f.now)
		f.carry()
		f.pass(1000 * ms)
		left := f.p.Left()
		if f.closed != 1 || left["requests"]+left["workers"]+left["calls"]+left["old sets"] > 0 || len(f.running()) > 0 {
			t.Fatalf("seed %d: closed %d, left %v, running %v", seed, f.closed, left, f.running())
		}
		for x := range due { // any order
			if n := len(f.verdicts[x]); n != 1 && !gone[x] {
				t.Fatalf("seed %d: request %d has %d verdicts", seed, x, n)
			}
		}
	}
}

func TestAPassAllocatesNothing(t *testing.T) {
	f := newField(t)
	f.load(hookNamed("a"), hookNamed("b"))
	v := &plugin.Verdict{}
	id := int64(0)
	once := func() {
		id++
		f.p.Ask(f.now, Request{ID: id, Call: plugin.Call{Point: plugin.OnRequest, Class: "read", TimeLeft: 1000 * ms}})
		for {
			a, ok := f.p.Next()
			if !ok {
				break
			}
			if a.Do == Ask {
				f.p.Replied(f.now, a.Worker, Reply{Seq: a.Seq, Spent: 1, Verdict: v})
			}
		}
	}
	for range 100 {
		once()
	}
	if n := testing.AllocsPerRun(1000, once); n > 0 {
		t.Errorf("%v allocations", n)
	}
}
