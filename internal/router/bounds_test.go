package router

import (
	"strings"
	"testing"
	"time"

	"starlingwinch/decide"
	"starlingwinch/internal/limits"
)

// The default limits, by the names that the tests know them by.
var (
	pipelined  = limits.Default().Clients.Pipelined
	mostErrors = limits.Default().Clients.ErrorsInARow
	leastConns = limits.Default().Caches.LeastConnections
	fleetConns = limits.Default().Caches.FleetConnections
	restTime   = limits.Default().Caches.RestTime.Microseconds()
)

// TestOperatorsLimitsAreKept on both sides: what the file says holds, not what is compiled in.
func TestOperatorsLimitsAreKept(t *testing.T) {
	cfg := testConfig(t, silentDiscovery(t), nil)
	cfg.Bounds.Clients.ErrorsInARow = 2
	cfg.Bounds.Clients.CommandTime = 100 * time.Millisecond
	r := start(t, cfg)
	flood := dial(t, r.addr)
	flood.send(strings.Repeat("NOTHING\r\n", 3))
	for range 2 {
		if got := flood.line(); !strings.HasPrefix(got, "-ERR ") {
			t.Errorf("answer %q", got)
		}
	}
	if got, err := flood.r.ReadString('\n'); err == nil {
		t.Errorf("the connection goes on after two errors: %q", got)
	}
	halting := dial(t, r.addr)
	began := time.Now()
	halting.send("*1\r\n")
	if got := halting.line(); !strings.Contains(got, "does not go on") {
		t.Errorf("answer %q", got)
	}
	if took := time.Since(began); took >= limits.Default().Clients.CommandTime {
		t.Errorf("a command that stops was waited for %s", took)
	}
}

func TestOperatorsLimitsOfConnectionsAreKept(t *testing.T) {
	cache := newFakeCache(t)
	r := newRig(t, cache.addr(), func(c *Config) {
		c.Settings.Routers = 1
		c.Bounds.Caches.FleetConnections = 1
		c.Bounds.Caches.LeastConnections = 1
		c.Bounds.Caches.RestTime = 0
	})
	r.send(r.request(nil), long)
	first := receive(t, cache.commands, "command")
	r.send(r.request(nil), long)
	first.reply(t, served)
	r.want(decide.Served)
	second := receive(t, cache.commands, "command")
	second.reply(t, served)
	r.want(decide.Served)
	if first.conn != second.conn {
		t.Error("a second connection was opened beside the one that is allowed")
	}
}
