package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"starlingwinch/internal/plugin"
)

func TestEvaluateAcceptsNothingWithoutHooks(t *testing.T) {
	f := newHarness(t)
	if f.evaluate(1, "read") || !f.policy.Idle() {
		t.Error("request accepted without hooks")
	}
	h := hookNamed("a")
	h.Classes = []string{"put"}
	f.load(h)
	if f.evaluate(2, "read") {
		t.Error("request accepted by a hook for another class")
	}
	if n := testing.AllocsPerRun(100, func() { f.policy.Evaluate(f.now, Request{Call: plugin.Call{Class: "read"}}) }); n > 0 {
		t.Errorf("got %v allocations, want 0", n)
	}
}

func TestHooksAreCalledInOrderAndVerdictsAreMerged(t *testing.T) {
	f := newHarness(t)
	f.load(hookNamed("a"), hookNamed("b"))
	f.evaluate(1, "read")
	if len(f.sentCalls[f.workerOf(1)]) > 0 {
		t.Error("the second hook is called before the first has replied")
	}
	f.reply(f.workerOf(0), Reply{Verdict: &plugin.Verdict{Tenant: "club", Tags: []string{"x"}}})
	f.wantNoVerdict(1)
	calls := f.sentCalls[f.workerOf(1)]
	if len(calls) != 1 || calls[0].Call().Tenant != "club" {
		t.Fatalf("second hook got calls %+v, want one with tenant club", calls)
	}
	f.reply(f.workerOf(1), Reply{Verdict: &plugin.Verdict{Tags: []string{"y"}, Log: []string{"seen"}}})
	f.wantVerdict(1, plugin.Pass, 0)
	if v := f.verdicts[1][0]; v.Tenant != "club" || !slices.Equal(v.Tags, []string{"x", "y"}) {
		t.Errorf("got verdict %+v, want tenant club and tags x and y", v)
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
	f.reply(f.workerOf(0), Reply{Verdict: &plugin.Verdict{Decision: plugin.Fail, Text: "invalid request"}})
	f.wantVerdict(2, plugin.Fail, 0)
	if len(f.sentCalls[f.workerOf(1)]) > 0 {
		t.Error("the second hook was called")
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
	strict.Time = 1000 * ms // longer than the request may wait
	f.load(strict)
	f.evaluate(1, "read")
	f.advance(49 * ms)
	f.wantNoVerdict(1)
	f.advance(1 * ms)
	f.wantVerdict(1, plugin.Reject, 0)
	f.reply(f.workerOf(0), Reply{}) // after the deadline
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
		t.Fatal("the stuck worker was not replaced")
	}
	f.wantVerdict(0, plugin.Pass, 0)
	f.wantNoVerdict(1)
	f.loadWorkers(requestPoint)
	f.reply(f.workerOf(0), Reply{Verdict: &plugin.Verdict{Decision: plugin.Reject}})
	f.wantVerdict(1, plugin.Reject, 0)
	f.advance(13 * ms) // the worker is lost a second time
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
		t.Fatal("the worker was killed after the first late tick")
	}
	for range 20 { // repeated stalls must not protect a stuck worker
		f.now += 40 * ms
		f.policy.Tick(f.now)
		f.executeActions()
	}
	if f.workerOf(0) == worker {
		t.Error("the stuck worker was not killed")
	}
}

func TestFullQueueAppliesOnFailureAtOnce(t *testing.T) {
	f := newHarness(t)
	h := hookNamed("a")
	h.Queue = 20
	f.load(h)
	for id := range int64(20) {
		if !f.evaluate(id, "read") {
			t.Fatalf("request %d is not accepted", id)
		}
	}
	if n := len(f.sentCalls[f.workerOf(0)]); n != maxInFlight {
		t.Errorf("got %d calls in flight, want %d", n, maxInFlight)
	}
	if f.evaluate(20, "read") {
		t.Error("a request beyond the queue limit is accepted")
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
			t.Fatalf("after %d failures there are %d workers, want none", id, len(f.running()))
		}
		f.wantLog(fmt.Sprintf(`msg="hook suspended" hook=a suspended_for=%s cause="crashed: x"`, time.Duration(seconds<<20)*time.Microsecond))
		f.advance(seconds<<20 + ms)
		f.loadWorkers(requestPoint)
	}
	for range 300 { // enough successes to reduce the failure score to 0
		f.evaluate(id, "read")
		f.reply(f.workerOf(0), Reply{})
		id++
	}
	if h := f.policy.active.hooks[0]; h.suspension.span != 0 || h.suspension.score != 0 {
		t.Errorf("got suspension span %d and score %v, want 0 and 0", h.suspension.span, h.suspension.score)
	}
}

func TestRareFailuresDoNotSuspend(t *testing.T) {
	f := newHarness(t)
	f.load(hookNamed("a"))
	for id := range int64(5000) {
		if !f.evaluate(id, "read") {
			t.Fatalf("request %d is not accepted", id)
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
	accepted := 0
	for id := range int64(4000) { // 4 ms of work every 5 ms
		if f.evaluate(id, "read") {
			accepted++
			calls := f.sentCalls[f.workerOf(0)]
			f.sentCalls[f.workerOf(0)] = calls[1:]
			f.policy.HandleReply(f.now, f.workerOf(0), Reply{Sequence: calls[0].Sequence, RunTime: 4 * ms, Verdict: &plugin.Verdict{}})
			f.executeActions()
		}
		f.now += 5 * ms
	}
	if share := float64(accepted) * 4 / (4000 * 5); share < 0.09 || share > 0.11 {
		t.Errorf("the hook used %v of the core, want 0.09 to 0.11", share)
	}
}

func TestCancelClosesRequest(t *testing.T) {
	f := newHarness(t)
	f.load(hookNamed("a"))
	valueReads := 0
	for id := range int64(maxInFlight + 2) {
		f.policy.Evaluate(f.now, Request{ID: id, Call: plugin.Call{TimeLeft: 1000 * ms}, Value: func() []byte { valueReads++; return nil }})
	}
	f.policy.Cancel(f.now, 0)
	f.policy.Cancel(f.now, maxInFlight+1) // still queued
	f.policy.Cancel(f.now, 99)
	f.executeActions()
	if a := f.sentCalls[f.workerOf(0)][0]; a.Value() != nil || valueReads != 0 {
		t.Error("the value of a cancelled request is read")
	}
	for range maxInFlight + 1 {
		f.reply(f.workerOf(0), Reply{})
	}
	f.wantNoVerdict(0)
	f.wantNoVerdict(maxInFlight + 1)
	f.wantVerdict(1, plugin.Pass, 0)
	if left := f.policy.RecordCounts(); left["requests"]+left["calls"] != 0 {
		t.Errorf("left %v, want no requests and calls", left)
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
		t.Errorf("got %+v, want 16 calls and 184 missed notifications", c)
	}
	if !f.evaluate(1, "read") {
		t.Error("a request is not accepted although half of the queue is reserved")
	}
	for range 15 {
		f.reply(f.workerOf(0), Reply{Verdict: &plugin.Verdict{Log: []string{"seen"}}})
	}
	f.reply(f.workerOf(0), Reply{Failed: true, Kind: plugin.Crashed, Text: "in a notification"})
	f.reply(f.workerOf(0), Reply{})
	f.wantVerdict(1, plugin.Pass, 0)
	f.wantLog("crashed: in a notification")
}

func TestHookWithoutRequestPointIsSkipped(t *testing.T) {
	f := newHarness(t)
	f.policy.Load(f.now, settings(hookNamed("a"), hookNamed("b")))
	f.executeActions()
	f.evaluate(1, "read") // queued at the first hook, whose points are not known yet
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
		t.Errorf("got %d log lines, want %d", len(f.lines), logBurst)
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
		t.Errorf("got %d tags %v, want %d with the others counted as %s", len(tags), tags, maxTagNames+1, OtherTags)
	}
}

func TestPassAllocatesNothing(t *testing.T) {
	f := newHarness(t)
	f.load(hookNamed("a"), hookNamed("b"))
	v := &plugin.Verdict{}
	id := int64(0)
	evaluateOnce := func() {
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
		evaluateOnce()
	}
	if n := testing.AllocsPerRun(1000, evaluateOnce); n > 0 {
		t.Errorf("got %v allocations, want 0", n)
	}
}
