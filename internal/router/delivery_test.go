package router

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"starlingwinch/internal/testbench/routertest"
)

// hungCache returns a cache that accepts connections, keeps a few KB of what comes, and reads nothing.
func hungCache(t *testing.T) (addr string, connections <-chan net.Conn) {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	accepted := make(chan net.Conn, 100)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	return listener.Addr().String(), accepted
}

// TestHeldUpWriteDoesNotArriveAfterWindow guards against a keyed write running twice: its first attempt waits in the kernel or the
// router for a cache that hangs, a second attempt runs elsewhere, and the caches have forgotten it when the first one arrives.
func TestHeldUpWriteDoesNotArriveAfterWindow(t *testing.T) {
	const window, timeout = 600 * time.Millisecond, 2 * time.Second
	hungAddr, held := hungCache(t)
	sound := newFakeCache(t)
	r := start(t, testConfig(t, routertest.SilentDiscovery(t), func(in map[string]any) {
		for _, class := range in["settings"].(map[string]any)["categories"].([]any) {
			values := class.(map[string]any)
			values["aim"], values["hardLimit"], values["keyTtl"] = 200_000, timeout.Microseconds(), window.Microseconds()
		}
	}, host("c1", hungAddr, "in_service"), host("c2", sound.Addr(), "in_service")), nil, nil)
	value := strings.Repeat("v", 65_000)
	for i := range 20 { // until a key's first attempt goes to the cache that hangs
		c := dial(t, r.addr)
		command := words("C.SET", fmt.Sprint("key", i), fmt.Sprint("write", i), "c=put,d=2000,k=5", value)
		c.Send(command)
		began := time.Now()
		receive(t, sound.Commands, "attempt at the sound cache") // which never answers
		if len(held) == 0 {
			continue
		}
		first := <-held
		defer first.Close()
		time.Sleep(time.Until(began.Add(window + 300*time.Millisecond))) // the caches must forget the second attempt
		first.SetReadDeadline(time.Now().Add(timeout))
		received, err := io.Copy(io.Discard, first)
		if received >= int64(len(command)-20) { // the time in the command may be shorter
			t.Errorf("the hung cache received %d bytes (%v) of a command of %d after the window", received, err, len(command))
		}
		return
	}
	t.Fatal("no write went to the cache that hangs")
}
