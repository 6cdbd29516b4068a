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

// TestConnectionThatComesUpLateIsNobodys: what it was opened for is over by then, or its cache takes no work, is gone, elsewhere,
// or a new process. The danger: it takes the old request to the cache all the same, or holds a place for good.
func TestConnectionThatComesUpLateIsNobodys(t *testing.T) {
	for _, c := range []struct {
		name      string
		meanwhile func(r *rig)
		result    decide.Result
		kept      bool // it is there for the next request
	}{
		{"its request is over", func(*rig) {}, decide.ConnectFailed, true},
		{"its cache drains", func(r *rig) { r.list("c1", "", false, false) }, decide.NotSent, false},
		{"its cache is gone", func(r *rig) { r.list("c1", "", false, true) }, decide.NotSent, false},
		{"its cache is elsewhere", func(r *rig) { r.list("c1", routertest.NewCache(r.t).Addr(), true, false) }, decide.TimedOut, false},
		{"its cache began anew", func(r *rig) { r.Do(func() { r.pool.CacheRestarted("c1") }) }, decide.ConnectFailed, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			addr, release := routertest.Late(t)
			r := newRig(t, addr, nil)
			w := r.request(nil)
			r.send(w, 400*time.Millisecond)
			c.meanwhile(r)
			r.want(c.result)
			w.over = true
			conns := release()
			if c.kept {
				r.Until("a connection that has come up late", func() bool { return len(r.pool.caches["c1"].idle) == 1 })
				r.send(r.request(nil), long)
				wantFirst(t, conns, "r2")
			} else {
				wantNothing(t, addr, conns)
			}
			r.Do(func() {
				if n := r.pool.starved || r.pool.Attempts() > 1; n {
					t.Errorf("%d attempts are left, starved %v", r.pool.Attempts(), r.pool.starved)
				}
			})
		})
	}
}

// wantFirst reads connections until a command has come, which must be the request of that id.
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

// wantNothing reads connections until one of the test's own, before which nothing may have come on any.
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
		nc.SetReadDeadline(time.Now().Add(10 * time.Millisecond)) // what fills the queue says nothing
		if b, _ := io.ReadAll(nc); len(b) > 0 {
			t.Errorf("%q came", b)
		}
		nc.Close()
	}
}
