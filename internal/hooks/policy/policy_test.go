package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"starlingwinch/internal/plugin"
)

func TestEvaluateTakesNothingWithoutHooks(t *testing.T) {
	f := newHarness(t)
	if f.evaluate(1, "read") || !f.policy.Idle() {
		t.Error("taken")
	}
	h := hookNamed("a")
	h.Classes = []string{"put"}
	f.load(h)
	if f.evaluate(2, "read") {
		t.Error("taken by a hook for another class")
	}
	if n := testing.AllocsPerRun(100, func() { f.policy.Evaluate(f.now, Request{Call: plugin.Call{Class: "read"}}) }); n > 0 {
		t.Errorf("%v allocations", n)
	}
}

func TestHooksAreCalledInOrderAndVerdictsAddUp(t *testing.T) {
	f := newHarness(t)
	f.load(hookNamed("a"), hookNamed("b"))
	f.evaluate(1, "read")
	if len(f.sentCalls[f.workerOf(1)]) > 0 {
		t.Error("the second hook is asked with the first")
	}
	f.reply(f.workerOf(0), Reply{Verdict: &plugin.Verdict{Tenant: "club", Tags: []string{"x"}}})
	f.wantNoVerdict(1)
	calls := f.sentCalls[f.workerOf(1)]
	if len(calls) != 1 || calls[0].Call().Tenant != "club" {
		t.Fatalf("the second hook is asked %+v", calls)
	}
	f.reply(f.workerOf(1), Reply{Verdict: &plugin.Verdict{Tags: []string{"y"}, Log: []string{"seen"}}})
	f.wantVerdict(1, plugin.Pass, 0)
	if v := f.verdicts[1][0]; v.Tenant != "club" || !slices.Equal(v.Tags, []string{"x", "y"}) {
		t.Errorf("%+v", v)
	}
	f.wantLog(`msg="hook message" hook=b text=seen`)
}

func TestRejectionIsFinal(t *testing.T) {
	f := newHarness(t)
	f.load(hookNamed("a"), hookNamed("b"))
	f.evaluate(1, "read")
	f.reply(f.workerOf(0), Reply{Verdict: &plugin.Verdict{Decision: plugin.Reject, RetryAfter: 9}})
	f.wantVerdict(1, plugin.Reject, 9)
	f.evaluate(2, "read")
	f.reply(f.workerOf(0), Reply{Verdict: &plugin.Verdict{Decision: plugin.Fail, Text: "no such call"}})
	f.wantVerdict(2, plugin.Fail, 0)
	if len(f.sentCalls[f.workerOf(1)]) > 0 {
		t.Error("the second hook was asked")
	}
}

func TestOnFailureAppliesToFailedCall(t *testing.T) {
	f := newHarness(t)
	strict := hookNamed("strict")
	strict.OnFailure, strict.RetryAfter = RejectOnFailure, 700
	f.load(hookNamed("lax"), strict)
	f.evaluate(1, "read")
	f.reply(f.workerOf(0), Reply{Failed: true, Kind: plugin.Crashed, Text: "unreachable"})
	f.wantNoVerdict(1)
	f.reply(f.workerOf(1), Reply{Failed: true, Kind: plugin.BudgetExceeded})
	f.wantVerdict(1, plugin.Reject, 700)
	f.wantLog(`msg="hook failed" hook=lax cause="crashed: unreachable"`)
}

func TestRequestWaitIsBounded(t *testing.T) {
	f := newHarness(t)
	strict := hookNamed("strict")
	strict.OnFailure = RejectOnFailure
	strict.Time = 1000 * ms // slower than the client waits
	f.load(strict)
	f.evaluate(1, "read")
	f.advance(49 * ms)
	f.wantNoVerdict(1)
	f.advance(1 * ms)
	f.wantVerdict(1, plugin.Reject, 0)
	f.reply(f.workerOf(0), Reply{}) // too late
	f.wantVerdict(1, plugin.Reject, 0)

	f.policy.Evaluate(f.now, Request{ID: 2, Call: plugin.Call{TimeLeft: 100 * ms}})
	f.executeActions()
	f.advance(10 * ms)
	f.wantVerdict(2, plugin.Reject, 0)
}

func TestStuckWorkerIsKilledAndOtherCallsAreRetried(t *testing.T) {
	f := newHarness(t)
	f.load(hookNamed("a"))
	for id := range int64(3) {
		f.evaluate(id, "read")
	}
	first := f.workerOf(0)
	f.advance(13 * ms)
	if f.workerOf(0) == first {
		t.Fatal("the worker runs on")
	}
	f.wantVerdict(0, plugin.Pass, 0)
	f.wantNoVerdict(1)
	f.loadWorkers(requestPoint)
	f.reply(f.workerOf(0), Reply{Verdict: &plugin.Verdict{Decision: plugin.Reject}})
	f.wantVerdict(1, plugin.Reject, 0)
	f.advance(13 * ms) // lost a second time
	f.wantVerdict(2, plugin.Pass, 0)
}

func TestLateTickExtendsWorkerDeadlineOnce(t *testing.T) {
	f := newHarness(t)
	f.load(hookNamed("a"))
	f.evaluate(1, "read")
	worker := f.workerOf(0)
	f.now += 40 * ms
	f.policy.Tick(f.now)
	f.executeActions()
	if f.workerOf(0) != worker {
		t.Fatal("the worker was ended")
	}
	for range 20 { // it stands still again and again: the worker is stuck all the same
		f.now += 40 * ms
		f.policy.Tick(f.now)
		f.executeActions()
	}
	if f.workerOf(0) == worker {
		t.Error("the worker is never ended")
	}
}

func TestFullQueueAppliesOnFailureAtOnce(t *testing.T) {
	f := newHarness(t)
	h := hookNamed("a")
	h.Queue = 20
	f.load(h)
	for id := range int64(20) {
		if !f.evaluate(id, "read") {
			t.Fatalf("request %d is not taken", id)
		}
	}
	if n := len(f.sentCalls[f.workerOf(0)]); n != maxInFlight {
		t.Errorf("%d calls are out", n)
	}
	if f.evaluate(20, "read") {
		t.Error("one more is taken")
	}
	h.OnFailure = RejectOnFailure
	f = newHarness(t)
	f.load(h)
	for id := range int64(21) {
		f.evaluate(id, "read")
	}
	f.wantVerdict(20, plugin.Reject, 0)
	f.wantNoVerdict(19)
}

func TestSuspensionsDoubleAndEndAfterSuccesses(t *testing.T) {
	f := newHarness(t)
	f.load(hookNamed("a"))
	id := int64(0)
	for _, seconds := range []Time{1, 2, 4, 8} {
		for f.evaluate(id, "read") {
			f.reply(f.workerOf(0), Reply{Failed: true, Kind: plugin.Crashed, Text: "x"})
			f.wantVerdict(id, plugin.Pass, 0)
			id++
		}
		if id > 100 || len(f.running()) > 0 {
			t.Fatalf("after %d failures there are %d workers", id, len(f.running()))
		}
		f.wantLog(fmt.Sprintf(`msg="hook suspended" hook=a suspended_for=%s cause="crashed: x"`, time.Duration(seconds<<20)*time.Microsecond))
		f.advance(seconds<<20 + ms)
		f.loadWorkers(requestPoint)
	}
	for range 300 { // good conduct wins it back
		f.evaluate(id, "read")
		f.reply(f.workerOf(0), Reply{})
		id++
	}
	if h := f.policy.active.hooks[0]; h.suspension.span != 0 || h.suspension.score != 0 {
		t.Errorf("rest %d, score %v", h.suspension.span, h.suspension.score)
	}
}

func TestRareFailuresDoNotSuspend(t *testing.T) {
	f := newHarness(t)
	f.load(hookNamed("a"))
	for id := range int64(5000) {
		if !f.evaluate(id, "read") {
			t.Fatalf("request %d is not taken", id)
		}
		f.reply(f.workerOf(0), Reply{Failed: id%100 == 0})
		f.now += ms
	}
}

func TestCPUQuotaBoundsCalls(t *testing.T) {
	f := newHarness(t)
	h := hookNamed("a")
	h.CPUFraction = 0.1
	f.load(h)
	taken := 0
	for id := range int64(4000) { // 4 ms of work every 5 ms
		if f.evaluate(id, "read") {
			taken++
			calls := f.sentCalls[f.workerOf(0)]
			f.sentCalls[f.workerOf(0)] = calls[1:]
			f.policy.HandleReply(f.now, f.workerOf(0), Reply{Sequence: calls[0].Sequence, RunTime: 4 * ms, Verdict: &plugin.Verdict{}})
			f.executeActions()
		}
		f.now += 5 * ms
	}
	if share := float64(taken) * 4 / (4000 * 5); share < 0.09 || share > 0.11 {
		t.Errorf("it had %v of the core", share)
	}
}

func TestCancelClosesRequest(t *testing.T) {
	f := newHarness(t)
	f.load(hookNamed("a"))
	value := 0
	for id := range int64(maxInFlight + 2) {
		f.policy.Evaluate(f.now, Request{ID: id, Call: plugin.Call{TimeLeft: 1000 * ms}, Value: func() []byte { value++; return nil }})
	}
	f.policy.Cancel(f.now, 0)
	f.policy.Cancel(f.now, maxInFlight+1) // waits in the queue
	f.policy.Cancel(f.now, 99)
	f.executeActions()
	if a := f.sentCalls[f.workerOf(0)][0]; a.Value() != nil || value != 0 {
		t.Error("the value of a client that has left is asked for")
	}
	for range maxInFlight + 1 {
		f.reply(f.workerOf(0), Reply{})
	}
	f.wantNoVerdict(0)
	f.wantNoVerdict(maxInFlight + 1)
	f.wantVerdict(1, plugin.Pass, 0)
	if left := f.policy.Left(); left["requests"]+left["calls"] != 0 {
		t.Errorf("left %v", left)
	}
}

func TestNotificationsLeaveQueueForRequests(t *testing.T) {
	f := newHarness(t)
	h := hookNamed("a")
	h.Classes = []string{"read"}
	f.policy.Load(f.now, settings(h))
	f.executeActions()
	f.loadWorkers(requestPoint.With(plugin.Answered).With(plugin.ListChanged))
	for range 100 {
		f.policy.Notify(f.now, plugin.Call{Point: plugin.Answered, Class: "read"})
		f.policy.Notify(f.now, plugin.Call{Point: plugin.Answered, Class: "put"})
		f.policy.Notify(f.now, plugin.Call{Point: plugin.ListChanged})
	}
	f.executeActions()
	if c := f.policy.Status()[0].Counts; c.Calls != 16 || c.MissedNotifications != 184 {
		t.Errorf("%+v", c)
	}
	if !f.evaluate(1, "read") {
		t.Error("there is no room for a request")
	}
	for range 15 {
		f.reply(f.workerOf(0), Reply{Verdict: &plugin.Verdict{Log: []string{"seen"}}})
	}
	f.reply(f.workerOf(0), Reply{Failed: true, Kind: plugin.Crashed, Text: "in a look"})
	f.reply(f.workerOf(0), Reply{})
	f.wantVerdict(1, plugin.Pass, 0)
	f.wantLog("crashed: in a look")
}

func TestHookWithoutRequestPointIsPassed(t *testing.T) {
	f := newHarness(t)
	f.policy.Load(f.now, settings(hookNamed("a"), hookNamed("b")))
	f.executeActions()
	f.evaluate(1, "read") // waits for the first, of which nothing is known yet
	f.policy.WorkerLoaded(f.now, f.workerOf(0), plugin.Points(0).With(plugin.Answered))
	f.executeActions()
	f.policy.WorkerLoaded(f.now, f.workerOf(1), requestPoint)
	f.executeActions()
	f.reply(f.workerOf(1), Reply{})
	f.wantVerdict(1, plugin.Pass, 0)
}

func TestUnexpectedReplyKillsWorker(t *testing.T) {
	f := newHarness(t)
	f.load(hookNamed("a"))
	f.evaluate(1, "read")
	f.policy.HandleReply(f.now, f.workerOf(0), Reply{Sequence: 77, Verdict: &plugin.Verdict{}})
	f.executeActions()
	f.wantVerdict(1, plugin.Pass, 0)
	f.wantLog(ErrUnexpectedReply.Error())
	f.loadWorkers(requestPoint)
	f.policy.HandleReply(f.now, f.workerOf(0), Reply{Sequence: 1, Verdict: &plugin.Verdict{}})
	f.policy.HandleReply(f.now, 12345, Reply{Sequence: 1, Verdict: &plugin.Verdict{}})
	f.executeActions()
	f.wantVerdict(1, plugin.Pass, 0)
}

func TestLogLinesAreRateLimited(t *testing.T) {
	f := newHarness(t)
	f.load(hookNamed("a"))
	for id := range int64(100) {
		f.evaluate(id, "read")
		f.reply(f.workerOf(0), Reply{Verdict: &plugin.Verdict{Log: []string{"a", "b", "c"}}})
	}
	if len(f.lines) != logBurst {
		t.Errorf("%d lines", len(f.lines))
	}
	f.now += 1000 * ms
	f.evaluate(100, "read")
	f.reply(f.workerOf(0), Reply{Verdict: &plugin.Verdict{Log: []string{"last"}}})
	f.wantLog(`msg="hook message" hook=a text=last suppressed=280`)
}

func TestTagNamesAreBounded(t *testing.T) {
	f := newHarness(t)
	f.load(hookNamed("a"))
	for id := range int64(maxTagNames + 10) {
		f.evaluate(id, "read")
		f.reply(f.workerOf(0), Reply{Verdict: &plugin.Verdict{Tags: []string{"club", fmt.Sprintf("t%03d", id)}}})
	}
	tags := f.policy.Status()[0].Tags
	if len(tags) != maxTagNames+1 || tags[0] != (Tag{OtherTags, 11}) || tags[1] != (Tag{"club", maxTagNames + 10}) {
		t.Errorf("%d tags, %v", len(tags), tags)
	}
}

func TestPassAllocatesNothing(t *testing.T) {
	f := newHarness(t)
	f.load(hookNamed("a"), hookNamed("b"))
	v := &plugin.Verdict{}
	id := int64(0)
	once := func() {
		id++
		f.policy.Evaluate(f.now, Request{ID: id, Call: plugin.Call{Point: plugin.OnRequest, Class: "read", TimeLeft: 1000 * ms}})
		for {
			a, ok := f.policy.Next()
			if !ok {
				break
			}
			if a.Kind == SendCall {
				f.policy.HandleReply(f.now, a.Worker, Reply{Sequence: a.Sequence, RunTime: 1, Verdict: v})
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
