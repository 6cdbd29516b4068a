package frontend

import (
	"testing"
	"time"

	"starlingwinch/decide"
	"starlingwinch/internal/limits"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/routertest"
)

// Short names for helpers that nearly every test uses.
var (
	words = routertest.Words
	get   = routertest.Get
)

const value = "$5\r\nvalue\r\n"

var classes = []decide.Class{
	{Name: "read", Semantics: decide.Idempotent, ClientTimeout: 20_000_000},
	{Name: "put", Semantics: decide.IdempotentByKey, ClientTimeout: 20_000_000},
}

// receivedRequest is a request that was passed to the handler.
type receivedRequest struct {
	*ReplySlot
	cmd  *Command
	read Time
}

// testServer is a server on a running machine, and the server's handler. It passes requests to the test, which answers them
// in the loop.
type testServer struct {
	*routertest.Loop
	t        *testing.T
	server   *Server
	requests chan receivedRequest
	gone     chan *ReplySlot
	starting bool // whether Serving reports that no cache is available
	rejected []RejectReason
}

func (r *testServer) HandleRequest(s *ReplySlot, read Time) {
	r.requests <- receivedRequest{s, s.Command, read}
}
func (r *testServer) ProcessEvents()               {}
func (r *testServer) Serving() bool                { return !r.starting }
func (r *testServer) ConnectionClosed(string, int) {}
func (r *testServer) RequestRejected(reason RejectReason, _ string) {
	r.rejected = append(r.rejected, reason)
}

func (r *testServer) ClientsGone(slots []*ReplySlot, _ bool) {
	for _, s := range slots {
		r.gone <- s
	}
}

// newTestServer starts a server. The server is closed when the test ends, and must then hold no reserved memory.
func newTestServer(t *testing.T, configure func(*Options)) *testServer {
	t.Helper()
	return newTestServerOn(t, machine.Options{}, configure)
}

// newTestServerOn is like newTestServer, on a machine with the given options.
func newTestServerOn(t *testing.T, on machine.Options, configure func(*Options)) *testServer {
	t.Helper()
	o := Options{Listen: "127.0.0.1:0", Limits: limits.Default().Clients, Classes: classes, MaxConnections: 100,
		MaxBufferedBytes: 48 << 20}
	if configure != nil {
		configure(&o)
	}
	r := &testServer{Loop: routertest.NewLoopOf(t, on), t: t, requests: make(chan receivedRequest, 10_000),
		gone: make(chan *ReplySlot, 10_000)}
	r.Do(func() {
		var err error
		if r.server, err = Listen(r.Loop, o, r); err != nil {
			t.Error(err)
		}
	})
	if t.Failed() {
		t.FailNow()
	}
	t.Cleanup(func() {
		r.Do(func() {
			r.server.Close()
			if r.server.BufferedBytes() != 0 || r.server.Connections() != 0 {
				t.Errorf("after Close, the server holds %d bytes and %d connections", r.server.BufferedBytes(), r.server.Connections())
			}
		})
	})
	return r
}

func (r *testServer) dial() *routertest.Client {
	r.t.Helper()
	return routertest.Dial(r.t, r.server.Addr())
}

// nextRequest waits for the next request that is passed to the handler.
func (r *testServer) nextRequest() receivedRequest {
	r.t.Helper()
	return routertest.Receive(r.t, r.requests, "request at the handler")
}

// answer answers a request in the loop.
func (r *testServer) answer(a receivedRequest, b string) {
	r.t.Helper()
	r.Do(func() { a.Answer([]byte(b)) })
}

// wantNoRequest checks that no further request was passed to the handler.
func (r *testServer) wantNoRequest() {
	r.t.Helper()
	select {
	case a := <-r.requests:
		r.t.Errorf("the handler got request %s", a.cmd.ID())
	default:
	}
}

// waitUntilEmpty waits until no connection is left, and checks that no memory stays reserved and no connection stays listed.
func (r *testServer) waitUntilEmpty() {
	r.t.Helper()
	r.Until("the close of all connections", func() bool { return r.server.Connections() == 0 })
	r.Do(func() {
		if n := r.server.BufferedBytes(); n != 0 {
			r.t.Errorf("%d bytes stay reserved", n)
		}
		for s, l := range r.server.lists {
			if l.first != nil || l.last != nil {
				r.t.Errorf("a connection is still listed in state %d", s)
			}
		}
	})
}

// shortTimeout is the minimum that the time limits accept.
const shortTimeout = 100 * time.Millisecond
