package router

import (
	"fmt"
	"strings"
	"testing"

	"starlingwinch/internal/resp"
	"starlingwinch/internal/testbench/routertest"
)

// TestSlowReadersOfLargeValuesWithLittleMemory lets slow readers request 47 MB of values while the router may buffer 8 MB of
// answers. Each of their requests must have one answer, in order, once they read. Fast clients must be served while the slow readers wait.
func TestSlowReadersOfLargeValuesWithLittleMemory(t *testing.T) {
	cache := newFakeCache(t)
	r := start(t, testConfig(t, routertest.SilentDiscovery(t), func(in map[string]any) {
		in["limits"].(map[string]any)["memory_mb"] = 32
	}, host("c1", cache.Addr(), "in_service")), nil, nil)
	const readers, requestsPerReader = 6, 120
	large := strings.Repeat("v", resp.MaxValueBytes)
	cache.Saying(t, func(id string) string {
		if strings.HasPrefix(id, "slow") {
			return "*3\r\n$65536\r\n" + large + "\r\n$3\r\nhit\r\n$-1\r\n"
		}
		return served
	})
	var slow []*routertest.Client
	for i := range readers {
		c := dial(t, r.addr)
		c.SetReadBuffer(64 << 10) // far less than the client requests; with a much smaller buffer, TCP pauses between segments
		var wire strings.Builder
		for j := range requestsPerReader {
			wire.WriteString(get(fmt.Sprint("slow", i, "-", j)))
		}
		c.Send(wire.String())
		slow = append(slow, c)
	}
	fast := dial(t, r.addr)
	values := 0
	for i := range 100 {
		fast.Send(get(fmt.Sprint("fast", i)))
		switch got := fast.Line(); {
		case got == "value":
			values++
		case !strings.HasPrefix(got, "-"):
			t.Fatalf("answer %d of the fast client is %.30q, want a value or an error", i, got)
		}
		r.Do(func() {
			if held, maxBytes := r.r.frontend.BufferedBytes(), r.r.cfg.Limits.bufferBytes(); held > maxBytes+readers*requestsPerReader*64 {
				t.Errorf("router buffers %d bytes, want at most %d", held, maxBytes)
			}
		})
	}
	if values < 90 {
		t.Errorf("fast client received %d values of 100, want at least 90", values)
	}
	maxHeld := int64(0)
	r.Until("answers to all requests", func() bool {
		maxHeld = max(maxHeld, r.r.frontend.BufferedBytes())
		return r.r.openRequests == 0
	})
	largeValues := 0
	for i, c := range slow {
		for j := range requestsPerReader {
			switch got := c.Line(); {
			case got == large:
				largeValues++
			case !strings.HasPrefix(got, "-ERR failed") && !strings.HasPrefix(got, "-BUSY"):
				t.Fatalf("answer %d of slow reader %d is %.30q, want a value, -ERR failed or -BUSY", j, i, got)
			}
		}
	}
	t.Logf("%d of %d large values, %d of 100 small ones, at most %d bytes buffered", largeValues, readers*requestsPerReader, values, maxHeld)
	if largeValues == 0 {
		t.Error("no slow reader received a value")
	}
	r.waitIdle()
}

// TestMillisecondDeadlineAnsweredAndReleased sends requests with a deadline of one millisecond: the router must answer all of them
// and release their records.
func TestMillisecondDeadlineAnsweredAndReleased(t *testing.T) {
	cache := newFakeCache(t) // never answers
	r := start(t, testConfig(t, routertest.SilentDiscovery(t), nil, host("c1", cache.Addr(), "in_service")), nil, nil)
	c := dial(t, r.addr)
	for i := range 200 {
		c.Send(words("C.GET", "k", fmt.Sprint("r", i), "c=read,d=1"))
	}
	for range 200 {
		if got := c.Line(); !strings.HasPrefix(got, "-BUSY") && !strings.HasPrefix(got, "-ERR failed") {
			t.Errorf("got answer %q, want -BUSY or -ERR failed", got)
		}
	}
	r.waitIdle()
}

// TestPipeliningClientDoesNotStarveOthers runs a client that sends one request at a time beside one that pipelines 500 requests.
// The router must serve both and answer all requests in order.
func TestPipeliningClientDoesNotStarveOthers(t *testing.T) {
	cache := newFakeCache(t)
	r := start(t, testConfig(t, routertest.SilentDiscovery(t), nil, host("c1", cache.Addr(), "in_service")), nil, nil)
	cache.Saying(t, func(id string) string {
		return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$3\r\nhit\r\n$-1\r\n", len(id), id)
	})
	const pipelined = 500
	pipelining, single := dial(t, r.addr), dial(t, r.addr)
	var wire strings.Builder
	for i := range pipelined {
		wire.WriteString(words("C.GET", fmt.Sprint("k", i), fmt.Sprint("m", i), "c=read,d=20000"))
	}
	pipelining.Send(wire.String())
	for i := range 20 {
		id := fmt.Sprint("one", i)
		single.Send(words("C.GET", id, id, "c=read,d=20000"))
		single.Want(id)
	}
	for i := range pipelined {
		if got := pipelining.Line(); got != fmt.Sprint("m", i) {
			t.Fatalf("answer %d is %q, want %q", i, got, fmt.Sprint("m", i))
		}
	}
	r.waitIdle()
}
