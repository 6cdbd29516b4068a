package upstream

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"starlingwinch/decide"
	"starlingwinch/internal/limits"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/resp"
	"starlingwinch/internal/structuredlog"
	"starlingwinch/internal/testbench/routertest"
)

const (
	long   = 20 * time.Second
	served = routertest.Served
)

// testRequest is a request as a test sends it.
type testRequest struct {
	id       string
	value    []byte // of a write
	answered bool

	key           uint64 // the same for all unless a test sets it
	nonIdempotent bool
}

func (w *testRequest) KeyHash() uint64     { return w.key }
func (w *testRequest) NonIdempotent() bool { return w.nonIdempotent }

func (w *testRequest) MaySend(Time) bool              { return !w.answered }
func (w *testRequest) WriteStarted(_, _ Time, _ bool) {}
func (w *testRequest) WriteCompleted()                {}

func (w *testRequest) Encode(b []byte, wait Time) []byte {
	meta := fmt.Sprint("c=read,d=", wait/1000)
	if w.value == nil {
		return append(b, routertest.Words("C.GET", "k1", w.id, meta)...)
	}
	b = redcon.AppendArray(b, 5)
	for _, s := range []string{"C.SET", "k1", w.id, meta} {
		b = redcon.AppendBulkString(b, s)
	}
	return redcon.AppendBulk(b, w.value)
}

// attemptResult is what the owner received about an attempt.
type attemptResult struct {
	attempt *Attempt
	result  decide.Result
	reply   *resp.Reply
}

// testPool is a pool on a running machine with one cache "c1", and its owner. Like the router, it wants no second reply to a
// request that was served.
type testPool struct {
	*routertest.Loop
	t        *testing.T
	pool     *Pool
	results  chan attemptResult
	lines    routertest.Lines
	requests int // made so far
}

func (r *testPool) AttemptEnded(a *Attempt, result decide.Result, rep *resp.Reply) {
	if w, ok := a.Request.(*testRequest); ok && result == decide.Served {
		w.answered = true
	}
	if rep != nil {
		copied := *rep // it is this call's alone
		copied.Value = bytes.Clone(rep.Value)
		rep = &copied
	}
	r.results <- attemptResult{a, result, rep}
}

func (r *testPool) ProcessEvents() {}

func newTestPool(t *testing.T, addr string, edit func(*Options)) *testPool {
	t.Helper()
	return newTestPoolOn(t, machine.Options{}, addr, edit)
}

// newTestPoolOn returns a pool on a machine with other options.
func newTestPoolOn(t *testing.T, on machine.Options, addr string, edit func(*Options)) *testPool {
	t.Helper()
	o := Options{Limits: limits.Default().Caches, Routers: 1, Descriptors: 400, DialTimeout: 20_000_000,
		Keepalive: 600_000_000, StalledAfter: 2_500_000}
	o.Limits.MinRestTime = 0 // so that the next connection does not depend on time
	if edit != nil {
		edit(&o)
	}
	r := &testPool{Loop: routertest.NewLoopOf(t, on), t: t, results: make(chan attemptResult, 1000),
		lines: make(routertest.Lines, 1000)}
	o.Logger = structuredlog.New(structuredlog.SinkFunc(func(line string) { r.lines.Write([]byte(line)) }))
	r.pool = New(r.Loop, o, r)
	r.updateCache("c1", addr, true, false)
	t.Cleanup(func() {
		r.Do(func() {
			r.pool.Close()
			if n := r.pool.Connections(); n != 0 {
				t.Errorf("%d connections are left", n)
			}
		})
	})
	return r
}

// updateCache updates what the endpoint list says of a cache.
func (r *testPool) updateCache(name, addr string, serving, removed bool) {
	r.t.Helper()
	r.Do(func() { r.pool.Update(name, addr, serving, removed) })
}

// request returns a new request: a read, or a write where there is a value.
func (r *testPool) request(value []byte) *testRequest {
	r.requests++
	return &testRequest{id: fmt.Sprint("r", r.requests), value: value}
}

// hugeRequest returns a request that no socket takes at once.
func (r *testPool) hugeRequest() *testRequest { return r.request(make([]byte, 64<<20)) }

// sendTo starts an attempt at a cache, with a deadline after the given time.
func (r *testPool) sendTo(cache string, w *testRequest, wait time.Duration) *Attempt {
	r.t.Helper()
	a := &Attempt{Request: w}
	r.Do(func() {
		a.SentAt, a.Deadline = r.Now(), r.Now()+wait.Microseconds()
		if !r.pool.Start(cache, a) {
			r.t.Errorf("%s is not known", cache)
		}
	})
	return a
}

func (r *testPool) send(w *testRequest, wait time.Duration) *Attempt {
	r.t.Helper()
	return r.sendTo("c1", w, wait)
}

// wantResult takes the next result.
func (r *testPool) wantResult(result decide.Result) attemptResult {
	r.t.Helper()
	o := routertest.Receive(r.t, r.results, "outcome")
	if o.result != result {
		r.t.Fatalf("outcome %d, want %d", o.result, result)
	}
	return o
}

// command takes the next command that a cache has received.
func (r *testPool) command(c *routertest.Cache) routertest.Command {
	r.t.Helper()
	return routertest.Receive(r.t, c.Commands, "command")
}

// waitForEnd waits for the end of a connection, as a cache sees it.
func (r *testPool) waitForEnd(c *routertest.Cache) {
	r.t.Helper()
	routertest.Receive(r.t, c.Ended, "end of a connection")
}
