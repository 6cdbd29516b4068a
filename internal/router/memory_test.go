package router

import (
	"fmt"
	"runtime"
	"testing"

	"starlingwinch/internal/testbench/routertest"
)

// TestOpenRequestHoldsNoMoreMemoryThanCounted guards against a flood of short requests that passes the memory limit: when the
// budget counted only the bytes of commands, 20,000 open requests held 40 MB beside a budget that said 2 MB.
func TestOpenRequestHoldsNoMoreMemoryThanCounted(t *testing.T) {
	const clients, pipelined = 20, 250
	cache := newFakeCache(t) // never answers
	r := start(t, testConfig(t, routertest.SilentDiscovery(t), func(in map[string]any) {
		in["settings"].(map[string]any)["limits"].(map[string]any)["maxOpen"] = clients * pipelined
	}, host("c1", cache.Addr(), "in_service")), nil, nil)
	var connections []*routertest.Client
	for range clients {
		connections = append(connections, dial(t, r.addr))
	}
	r.Until("connections", func() bool { return r.r.frontend.Connections() == clients })
	before := liveHeap()
	for i, c := range connections {
		wire := ""
		for j := range pipelined {
			wire += words("C.GET", fmt.Sprint("key", i*pipelined+j), fmt.Sprint("request", i*pipelined+j), "c=read,t=tenant,d=20000")
		}
		c.Send(wire)
	}
	r.Until("open requests", func() bool { return r.r.openRequests == clients*pipelined })
	held := liveHeap() - before
	var counted int64
	r.Do(func() { counted = r.r.frontend.BufferedBytes() })
	t.Logf("%d bytes live, %d counted for each of %d requests", held/(clients*pipelined), counted/(clients*pipelined), clients*pipelined)
	if held > counted {
		t.Errorf("%d requests hold %d bytes, want at most the %d that are counted", clients*pipelined, held, counted)
	}
}

// liveHeap returns the bytes of live objects.
func liveHeap() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC() // the second collection frees what finalizers and sync.Pool kept
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
