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

// TestLateConnectionCarriesNoOldRequest checks that a connection that is established late does not carry the request it was
// opened for, when that request is over or the cache has drained, was removed, has a new address or has restarted. It carries
// the next request only if the cache still takes requests at the dialed address.
func TestLateConnectionCarriesNoOldRequest(t *testing.T) {
	for _, c := range []struct {
		name       string
		duringDial func(r *testPool)
		result     decide.Result
		usable     bool // by the next request
	}{
		{"request is over", func(*testPool) {}, decide.ConnectFailed, true},
		{"cache drains", func(r *testPool) { r.updateCache("c1", "", false, false) }, decide.NotSent, false},
		{"cache is removed", func(r *testPool) { r.updateCache("c1", "", false, true) }, decide.NotSent, false},
		{"cache address changes", func(r *testPool) { r.updateCache("c1", routertest.NewCache(r.t).Addr(), true, false) }, decide.TimedOut, false},
		{"cache restarts", func(r *testPool) { r.Do(func() { r.pool.CacheRestarted("c1") }) }, decide.ConnectFailed, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			addr, release := routertest.Late(t)
			r := newTestPool(t, addr, nil)
			req := r.request(nil)
			r.send(req, 400*time.Millisecond)
			c.duringDial(r)
			r.wantResult(c.result)
			req.answered = true
			conns := release()
			if c.usable {
				r.Until("the late connection", func() bool { return len(r.pool.caches["c1"].idle) == 1 })
				r.send(r.request(nil), long)
				wantFirst(t, conns, "r2")
			} else {
				wantNothing(t, addr, conns)
			}
			r.Do(func() {
				if r.pool.descriptorWanted || r.pool.Attempts() > 1 {
					t.Errorf("got %d attempts, descriptorWanted %v; want at most 1, false", r.pool.Attempts(), r.pool.descriptorWanted)
				}
			})
		})
	}
}

// wantFirst reads from all connections until a command arrives, and checks that the command is the request with the given id.
func wantFirst(t *testing.T, conns <-chan net.Conn, id string) {
	t.Helper()
	received := make(chan string, 100)
	go func() {
		for nc := range conns {
			go func() {
				b := make([]byte, 1<<10)
				if n, _ := nc.Read(b); n > 0 {
					received <- string(b[:n])
				}
			}()
		}
	}()
	if got := routertest.Receive(t, received, "command"); !strings.Contains(got, id) {
		t.Errorf("got first command %q, want request %s", got, id)
	}
}

// wantNothing opens a connection to the address and checks that no data arrives on any connection that was accepted before it.
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
			t.Errorf("got %q on a connection, want no data", b)
		}
		nc.Close()
	}
}
