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
	logger   *slog.Logger // appends to lines
	dropped  []int
	closed   int
}

func newField(t *testing.T) *field {
	f := &field{t: t, p: New(), now: 1_000_000, workers: map[int]int{}, asked: map[int][]Action{}, verdicts: map[int64][]plugin.Verdict{}}
	f.logger = structuredlog.New(structuredlog.SinkFunc(func(line string) { f.lines = append(f.lines, line) }))
	return f
}

// carry carries out what the Policy has asked for.
func (f *field) carry() {
	void := map[int]bool{}
	for {
		a, ok := f.p.Next()
		if !ok {
			break
		}
		switch a.Kind {
		case StartWorker:
			f.workers[a.Worker] = a.Hook
		case KillWorker:
			delete(f.workers, a.Worker)
			delete(f.asked, a.Worker)
		case SendCall:
			if _, ok := f.workers[a.Worker]; !ok {
				f.t.Errorf("worker %d is asked and does not run", a.Worker)
			}
			if a.Call() == nil {
				void[a.Worker] = true
				break
			}
			f.asked[a.Worker] = append(f.asked[a.Worker], a)
		case DeliverVerdict:
			f.verdicts[a.RequestID] = append(f.verdicts[a.RequestID], a.Verdict)
		case SetTimer:
			f.timer = a.At
		case WriteLog:
			f.logger.LogAttrs(context.Background(), a.Level, a.Message, a.Attrs...)
		case ReleaseSet:
			f.dropped = append(f.dropped, a.Set)
		case FinishClose:
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
	return Hook{Name: name, Time: 5 * ms, LoadTime: 1000 * ms, Queue: 32, CPUFraction: 1}
}

func settings(hooks ...Hook) Settings {
	return Settings{Hooks: hooks, MaxWaitFraction: 0.1, MaxWait: 50 * ms}
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
		if w := f.p.workers[id]; w != nil && !w.loaded {
			f.p.WorkerLoaded(f.now, id, points)
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
	taken := f.p.Evaluate(f.now, Request{ID: id, Call: plugin.Call{Point: plugin.OnRequest, Class: class, TimeLeft: 1000 * ms}})
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
	r.Sequence = calls[0].Sequence
	r.RunTime = 10
	if r.Verdict == nil {
		r.Verdict = &plugin.Verdict{}
	}
	f.p.HandleReply(f.now, worker, r)
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
func (f *field) has(id int64, say plugin.Decision, wait Time) {
	f.t.Helper()
	got := f.verdicts[id]
	if len(got) != 1 || got[0].Decision != say || got[0].RetryAfter != wait {
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
