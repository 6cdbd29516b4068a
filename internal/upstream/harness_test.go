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

// work is a command as a test has it sent.
type work struct {
	id    string
	value []byte // of a write
	over  bool

	key    uint64 // of all alike unless a test says so
	unsafe bool
}

func (w *work) KeyHash() uint64     { return w.key }
func (w *work) NonIdempotent() bool { return w.unsafe }

func (w *work) MaySend(Time) bool              { return !w.over }
func (w *work) WriteStarted(_, _ Time, _ bool) {}
func (w *work) WriteCompleted()                {}

func (w *work) Encode(b []byte, wait Time) []byte {
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

// outcome is what the owner was told of an attempt.
type outcome struct {
	of     *Attempt
	result decide.Result
	rep    *resp.Reply
}

// rig is a pool on a running machine, with one cache "c1". It is the pool's owner: as the router, it
// wants no more answers to what was served.
type rig struct {
	*routertest.Loop
	t        *testing.T
	pool     *Pool
	outcomes chan outcome
	lines    routertest.Lines
	asked    int // works so far
}

func (r *rig) AttemptEnded(a *Attempt, result decide.Result, rep *resp.Reply) {
	if w, ok := a.Request.(*work); ok && result == decide.Served {
		w.over = true
	}
	if rep != nil {
		kept := *rep // it is this call's alone
		kept.Value = bytes.Clone(rep.Value)
		rep = &kept
	}
	r.outcomes <- outcome{a, result, rep}
}

func (r *rig) ProcessEvents() {}

func newRig(t *testing.T, addr string, edit func(*Options)) *rig {
	t.Helper()
	return newRigOn(t, machine.Options{}, addr, edit)
}

// newRigOn is a rig on a machine with other options.
func newRigOn(t *testing.T, on machine.Options, addr string, edit func(*Options)) *rig {
	t.Helper()
	o := Options{Limits: limits.Default().Caches, Routers: 1, Descriptors: 400, DialTimeout: 20_000_000,
		Keepalive: 600_000_000, StalledAfter: 2_500_000}
	o.Limits.MinRestTime = 0 // so that which connection comes next is no matter of time
	if edit != nil {
		edit(&o)
	}
	r := &rig{Loop: routertest.NewLoopOf(t, on), t: t, outcomes: make(chan outcome, 1000),
		lines: make(routertest.Lines, 1000)}
	o.Logger = structuredlog.New(structuredlog.SinkFunc(func(line string) { r.lines.Write([]byte(line)) }))
	r.pool = New(r.Loop, o, r)
	r.list("c1", addr, true, false)
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

// list says what the list says of a cache.
func (r *rig) list(name, addr string, up, gone bool) {
	r.t.Helper()
	r.Do(func() { r.pool.Update(name, addr, up, gone) })
}

// request makes a work: a read, or a write where there is a value.
func (r *rig) request(value []byte) *work {
	r.asked++
	return &work{id: fmt.Sprint("r", r.asked), value: value}
}

// huge makes a work that no socket takes at once.
func (r *rig) huge() *work { return r.request(make([]byte, 64<<20)) }

// sendTo starts an attempt at a cache that is given up after the given time.
func (r *rig) sendTo(cache string, w *work, wait time.Duration) *Attempt {
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

func (r *rig) send(w *work, wait time.Duration) *Attempt {
	r.t.Helper()
	return r.sendTo("c1", w, wait)
}

// want takes the next outcome.
func (r *rig) want(result decide.Result) outcome {
	r.t.Helper()
	o := routertest.Receive(r.t, r.outcomes, "outcome")
	if o.result != result {
		r.t.Fatalf("outcome %d, want %d", o.result, result)
	}
	return o
}

// command takes the next command that a cache has got.
func (r *rig) command(c *routertest.Cache) routertest.Command {
	r.t.Helper()
	return routertest.Receive(r.t, c.Commands, "command")
}

// end waits for the end of a connection, as a cache sees it.
func (r *rig) end(c *routertest.Cache) {
	r.t.Helper()
	routertest.Receive(r.t, c.Ended, "end of a connection")
}
