package frontend

import (
	"testing"
	"time"

	"starlingwinch/decide"
	"starlingwinch/internal/limits"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/routertest"
)

// Short names for what nearly every test uses.
var (
	words = routertest.Words
	get   = routertest.Get
)

const value = "$5\r\nvalue\r\n"

var classes = []decide.Class{
	{Name: "read", Semantics: decide.Idempotent, ClientTimeout: 20_000_000},
	{Name: "put", Semantics: decide.IdempotentByKey, ClientTimeout: 20_000_000},
}

// asked is a request that has come to the desk.
type asked struct {
	*ReplySlot
	cmd  *Command
	read Time
}

// rig is a front on a running machine. It is the front's desk: it hands all requests to the test, which
// answers them in the loop.
type rig struct {
	*routertest.Loop
	t        *testing.T
	f        *Server
	asked    chan asked
	departed chan *ReplySlot
	starting bool // no cache is known
}

func (r *rig) HandleRequest(s *ReplySlot, read Time) { r.asked <- asked{s, &s.Command, read} }
func (r *rig) ProcessEvents()                        {}
func (r *rig) Serving() bool                         { return !r.starting }
func (r *rig) ConnectionClosed(string, int)          {}

func (r *rig) ClientsGone(slots []*ReplySlot, _ bool) {
	for _, s := range slots {
		r.departed <- s
	}
}

// newRig starts a front. At the test's end it is closed, and must then hold nothing.
func newRig(t *testing.T, edit func(*Options)) *rig {
	t.Helper()
	return newRigOn(t, machine.Options{}, edit)
}

// newRigOn is a rig on a machine with other options.
func newRigOn(t *testing.T, on machine.Options, edit func(*Options)) *rig {
	t.Helper()
	o := Options{Listen: "127.0.0.1:0", Limits: limits.Default().Clients, Classes: classes, MaxConnections: 100,
		MaxBufferedBytes: 48 << 20}
	if edit != nil {
		edit(&o)
	}
	r := &rig{Loop: routertest.NewLoopOf(t, on), t: t, asked: make(chan asked, 10_000),
		departed: make(chan *ReplySlot, 10_000)}
	r.Do(func() {
		var err error
		if r.f, err = Listen(r.Loop, o, r); err != nil {
			t.Error(err)
		}
	})
	if t.Failed() {
		t.FailNow()
	}
	t.Cleanup(func() {
		r.Do(func() {
			r.f.Close()
			if r.f.BufferedBytes() != 0 || r.f.Connections() != 0 {
				t.Errorf("a closed front holds %d bytes of %d clients", r.f.BufferedBytes(), r.f.Connections())
			}
		})
	})
	return r
}

func (r *rig) dial() *routertest.Client {
	r.t.Helper()
	return routertest.Dial(r.t, r.f.Addr())
}

// next is the next request at the desk.
func (r *rig) next() asked {
	r.t.Helper()
	return routertest.Receive(r.t, r.asked, "request at the desk")
}

// answer answers a request.
func (r *rig) answer(a asked, b string) {
	r.t.Helper()
	r.Do(func() { a.Answer([]byte(b)) })
}

// none checks that the desk was asked for nothing.
func (r *rig) none() {
	r.t.Helper()
	select {
	case a := <-r.asked:
		r.t.Errorf("the desk was asked for %s", a.cmd.ID())
	default:
	}
}

// empty waits until no client is left, and checks that nothing is held for any.
func (r *rig) empty() {
	r.t.Helper()
	r.Until("the end of all clients", func() bool { return r.f.Connections() == 0 })
	r.Do(func() {
		if n := r.f.BufferedBytes(); n != 0 {
			r.t.Errorf("%d bytes are held for nobody", n)
		}
		for s, l := range r.f.lists {
			if l.first != nil || l.last != nil {
				r.t.Errorf("a client is left in state %d", s)
			}
		}
	})
}

// brief is the shortest time that an operator may set.
const brief = 100 * time.Millisecond
