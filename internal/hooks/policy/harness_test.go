package policy

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"testing"

	"starlingwinch/internal/plugin"
	"starlingwinch/internal/structuredlog"
)

const ms = 1000

// harness runs a Policy in a test and records the actions that it emits.
type harness struct {
	t            *testing.T
	policy       *Policy
	now          Time
	timer        Time
	workers      map[int]int // hook index by worker number
	sentCalls    map[int][]Action
	verdicts     map[int64][]plugin.Verdict
	lines        []string
	logger       *slog.Logger // appends to lines
	releasedSets []int
	closed       int
}

func newHarness(t *testing.T) *harness {
	f := &harness{
		t:         t,
		policy:    New(),
		now:       1_000_000,
		workers:   map[int]int{},
		sentCalls: map[int][]Action{},
		verdicts:  map[int64][]plugin.Verdict{},
	}
	f.logger = structuredlog.New(structuredlog.SinkFunc(func(line string) { f.lines = append(f.lines, line) }))
	return f
}

// executeActions carries out all pending actions of the Policy. A SendCall without a call is valid only if a later action in the
// same batch kills its worker.
func (f *harness) executeActions() {
	sentWithoutCall := map[int]bool{}
	for {
		a, ok := f.policy.Next()
		if !ok {
			break
		}
		switch a.Kind {
		case StartWorker:
			f.workers[a.Worker] = a.Hook
		case KillWorker:
			delete(f.workers, a.Worker)
			delete(f.sentCalls, a.Worker)
		case SendCall:
			if _, ok := f.workers[a.Worker]; !ok {
				f.t.Errorf("got a call for worker %d, which does not run", a.Worker)
			}
			if a.Call() == nil {
				sentWithoutCall[a.Worker] = true
				break
			}
			f.sentCalls[a.Worker] = append(f.sentCalls[a.Worker], a)
		case DeliverVerdict:
			f.verdicts[a.RequestID] = append(f.verdicts[a.RequestID], a.Verdict)
		case SetTimer:
			f.timer = a.At
		case WriteLog:
			f.logger.LogAttrs(context.Background(), a.Level, a.Message, a.Attrs...)
		case ReleaseSet:
			f.releasedSets = append(f.releasedSets, a.Set)
		case FinishClose:
			f.closed++
		}
	}
	for w := range sentWithoutCall { // any order
		if _, runs := f.workers[w]; runs {
			f.t.Errorf("worker %d got a SendCall without a call and was not killed", w)
		}
	}
}

func hookNamed(name string) Hook {
	return Hook{Name: name, Time: 5 * ms, LoadTime: 1000 * ms, Queue: 32, CPUFraction: 1}
}

func settings(hooks ...Hook) Settings {
	return Settings{Hooks: hooks, MaxWaitFraction: 0.1, MaxWait: 50 * ms}
}

var requestPoint = plugin.Points(0).With(plugin.OnRequest)

// load loads hooks and reports their workers as loaded.
func (f *harness) load(hooks ...Hook) {
	f.policy.Load(f.now, settings(hooks...))
	f.executeActions()
	f.loadWorkers(requestPoint)
}

// loadWorkers reports all workers as loaded that are not loaded yet.
func (f *harness) loadWorkers(points plugin.Points) {
	for _, id := range f.running() {
		if w := f.policy.workers[id]; w != nil && !w.loaded {
			f.policy.WorkerLoaded(f.now, id, points)
		}
	}
	f.executeActions()
}

func (f *harness) running() []int {
	var ids []int
	for id := range f.workers { // any order
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// workerOf returns the newest worker of a hook.
func (f *harness) workerOf(hook int) int {
	f.t.Helper()
	for _, id := range slices.Backward(f.running()) {
		if f.workers[id] == hook {
			return id
		}
	}
	f.t.Fatalf("hook %d has no worker", hook)
	return 0
}

func (f *harness) evaluate(id int64, class string) bool {
	accepted := f.policy.Evaluate(f.now, Request{ID: id, Call: plugin.Call{Point: plugin.OnRequest, Class: class, TimeLeft: 1000 * ms}})
	f.executeActions()
	return accepted
}

// reply sends the reply of a worker to its oldest call.
func (f *harness) reply(worker int, r Reply) {
	f.t.Helper()
	calls := f.sentCalls[worker]
	if len(calls) == 0 {
		f.t.Fatalf("worker %d has no call", worker)
	}
	f.sentCalls[worker] = calls[1:]
	r.Sequence = calls[0].Sequence
	r.RunTime = 10
	if r.Verdict == nil {
		r.Verdict = &plugin.Verdict{}
	}
	f.policy.HandleReply(f.now, worker, r)
	f.executeActions()
}

// advance advances the clock, and calls Tick at each time that the Policy has set.
func (f *harness) advance(d Time) {
	end := f.now + d
	for f.timer > 0 && f.timer <= end {
		f.now = max(f.now, f.timer)
		f.timer = 0
		f.policy.Tick(f.now)
		f.executeActions()
	}
	f.now = end
}

// wantVerdict checks that a request has exactly one verdict with the given decision and retry delay.
func (f *harness) wantVerdict(id int64, decision plugin.Decision, retryAfter Time) {
	f.t.Helper()
	got := f.verdicts[id]
	if len(got) != 1 || got[0].Decision != decision || got[0].RetryAfter != retryAfter {
		f.t.Errorf("request %d: got verdicts %+v, want one %s with RetryAfter %d", id, got, decision, retryAfter)
	}
}

func (f *harness) wantNoVerdict(id int64) {
	f.t.Helper()
	if got := f.verdicts[id]; len(got) > 0 {
		f.t.Errorf("request %d: got verdicts %+v, want none", id, got)
	}
}

func (f *harness) wantLog(text string) {
	f.t.Helper()
	for _, line := range f.lines {
		if strings.Contains(line, text) {
			return
		}
	}
	f.t.Errorf("no log line contains %q: %q", text, f.lines)
}
