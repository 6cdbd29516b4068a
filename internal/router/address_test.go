package router

import (
	"strings"
	"syscall"
	"testing"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/routertest"
)

// TestStartRetriesTransientListenErrors makes each system call that opens the listener fail. The router retries after a
// transient error until it serves. A permanent error fails the start, and its text names the address.
func TestStartRetriesTransientListenErrors(t *testing.T) {
	// EMFILE is permanent: it lasts until this process closes a descriptor.
	for _, c := range []struct {
		errno       syscall.Errno
		isTransient bool
	}{{syscall.EADDRINUSE, true}, {syscall.EADDRNOTAVAIL, true}, {syscall.ENOBUFS, true}, {syscall.ENOMEM, true},
		{syscall.ENFILE, true}, {syscall.EACCES, false}, {syscall.EINVAL, false}, {syscall.EMFILE, false}} {
		for _, call := range []string{"socket", "bind", "listen"} {
			t.Run(call+" "+c.errno.Error(), func(t *testing.T) {
				t.Parallel()
				failures := 3
				nextError := func() error {
					if failures == 0 {
						return nil
					}
					failures--
					return c.errno
				}
				kernel := machine.RealKernel()
				bind, listen, socket := kernel.Bind, kernel.Listen, kernel.Socket
				switch call {
				case "bind":
					kernel.Bind = func(fd int, at syscall.Sockaddr) error {
						return firstError(nextError(), func() error { return bind(fd, at) })
					}
				case "listen":
					kernel.Listen = func(fd, backlog int) error {
						return firstError(nextError(), func() error { return listen(fd, backlog) })
					}
				default:
					kernel.Socket = func(family, kind int) (int, error) {
						if err := nextError(); err != nil {
							return -1, err
						}
						return socket(family, kind)
					}
				}
				loop := routertest.NewLoopOf(t, machine.Options{Kernel: &kernel})
				cfg := testConfig(t, "127.0.0.1:1", func(in map[string]any) {
					in["settings"].(map[string]any)["discovery"] = "automatic"
				})
				var r *Router
				var err error
				loop.Do(func() { r, err = Start(loop, cfg) })
				if c.isTransient {
					if err != nil {
						t.Fatalf("start failed: %v", err)
					}
					t.Cleanup(func() { loop.Do(r.Close) })
					loop.Until("router listening on its address", func() bool { return r.Addr() != "" })
					return
				}
				if err == nil || !strings.Contains(err.Error(), cfg.Listen) {
					t.Errorf("got error %v, want one that names %s", err, cfg.Listen)
				}
			})
		}
	}
}

// firstError returns err if it is not nil, and the result of next otherwise.
func firstError(err error, next func() error) error {
	if err != nil {
		return err
	}
	return next()
}

// TestWaitingForAddressOpensNoCacheConnections starts a router while another listener holds its address. The router
// receives endpoint lists but opens no connection to a cache, and uses the latest list once it has the address.
func TestWaitingForAddressOpensNoCacheConnections(t *testing.T) {
	leaving, staying := newFakeCache(t), newFakeCache(t)
	addr, calls := routertest.Discovery(t)
	holderLoop := routertest.NewLoop(t, nil)
	var holder machine.Listener
	holderLoop.Do(func() {
		var err error
		if holder, err = holderLoop.Listen("127.0.0.1:0", func(machine.Conn) machine.Handler { return nil }); err != nil {
			t.Error(err)
		}
	})
	loop := routertest.NewLoop(t, nil)
	cfg := testConfig(t, addr, func(in map[string]any) {
		in["listen"] = holder.Addr()
		in["settings"].(map[string]any)["limits"].(map[string]any)["probes"] = true
	}, host("c1", leaving.Addr(), "in_service"))
	var r *Router
	loop.Do(func() {
		var err error
		if r, err = Start(loop, cfg); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(func() { loop.Do(r.Close) })
	receive(t, calls, "discovery call").Reply <- hosts(1, true, host("c1", leaving.Addr(), "in_service"))
	watch := receive(t, calls, "watch")
	loop.Until("first endpoint list", func() bool { return len(r.endpoints) == 1 })
	loop.After(2 * cfg.OperatorLimits.Caches.HealthCheckTimeout) // time for a round of health checks
	watch.Reply <- hosts(2, true, host("c1", leaving.Addr(), "terminating"), host("c2", staying.Addr(), "in_service"))
	receive(t, calls, "watch")
	loop.Do(func() {
		if n := r.pool.Connections(); n > 0 || r.Addr() != "" {
			t.Errorf("waiting router has %d connections to caches and address %q, want none", n, r.Addr())
		}
	})
	holderLoop.Do(holder.Close)
	loop.Until("router listening on its address", func() bool { return r.Addr() != "" })
	c := dial(t, cfg.Listen)
	for _, id := range []string{"r1", "r2", "r3"} {
		c.Send(get(id))
		for cmd := receive(t, staying.Commands, "command"); ; cmd = receive(t, staying.Commands, "command") {
			if cmd.Args[0] != "PING" {
				cmd.Reply(t, served)
				break
			}
			cmd.Reply(t, "+PONG\r\n")
		}
		c.Want("value")
	}
	if n := len(leaving.Commands); n > 0 {
		t.Errorf("draining cache received %d commands, want 0", n)
	}
}
