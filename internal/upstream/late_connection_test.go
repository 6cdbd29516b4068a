package upstream

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"starlingwinch/decide"
	"starlingwinch/internal/testbench/routertest"
)

// TestLateConnectionCarriesNoOldRequest checks a connection that comes up when what it was opened for is over, or its cache
// drains, is removed, has moved or has a new process.
func TestLateConnectionCarriesNoOldRequest(t *testing.T) {
	for _, c := range []struct {
		name      string
		meanwhile func(r *testPool)
		result    decide.Result
		usable    bool // by the next request
	}{
		{"its request is over", func(*testPool) {}, decide.ConnectFailed, true},
		{"its cache drains", func(r *testPool) { r.updateCache("c1", "", false, false) }, decide.NotSent, false},
		{"its cache is removed", func(r *testPool) { r.updateCache("c1", "", false, true) }, decide.NotSent, false},
		{"its cache has moved", func(r *testPool) { r.updateCache("c1", routertest.NewCache(r.t).Addr(), true, false) }, decide.TimedOut, false},
		{"its cache restarted", func(r *testPool) { r.Do(func() { r.pool.CacheRestarted("c1") }) }, decide.ConnectFailed, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			addr, release := routertest.Late(t)
			r := newTestPool(t, addr, nil)
			w := r.request(nil)
			r.send(w, 400*time.Millisecond)
			c.meanwhile(r)
			r.wantResult(c.result)
			w.answered = true
			conns := release()
			if c.usable {
				r.Until("a connection that has come up late", func() bool { return len(r.pool.caches["c1"].idle) == 1 })
				r.send(r.request(nil), long)
				wantFirst(t, conns, "r2")
			} else {
				wantNothing(t, addr, conns)
			}
			r.Do(func() {
				if n := r.pool.descriptorWanted || r.pool.Attempts() > 1; n {
					t.Errorf("%d attempts are left, starved %v", r.pool.Attempts(), r.pool.descriptorWanted)
				}
			})
		})
	}
}

// wantFirst reads connections until a command arrives, which must be the request with that id.
func wantFirst(t *testing.T, conns <-chan net.Conn, id string) {
	t.Helper()
	came := make(chan string, 100)
	go func() {
		for nc := range conns {
			go func() {
				b := make([]byte, 1<<10)
				if n, _ := nc.Read(b); n > 0 {
					came <- string(b[:n])
				}
			}()
		}
	}()
	if got := routertest.Receive(t, came, "command"); !strings.Contains(got, id) {
		t.Errorf("the first command on it is %q, want that of %s", got, id)
	}
}

// wantNothing reads connections up to one of the test's own, before which nothing may have arrived on any.
func wantNothing(t *testing.T, addr string, conns <-chan net.Conn) {
	t.Helper()
	own, err := net.DialTimeout("tcp", addr, routertest.Patience)
	if err != nil {
		t.Fatal(err)
	}
	defer own.Close()
	for nc := range conns {
		if nc.RemoteAddr().String() == own.LocalAddr().String() {
			nc.Close()
			return
		}
		nc.SetReadDeadline(time.Now().Add(10 * time.Millisecond)) // connections that only fill the backlog send nothing
		if b, _ := io.ReadAll(nc); len(b) > 0 {
			t.Errorf("%q came", b)
		}
		nc.Close()
	}
}
