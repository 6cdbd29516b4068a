package router

import (
	"fmt"
	"strings"
	"testing"

	"starlingwinch/internal/resp"
	"starlingwinch/internal/testbench/routertest"
)

// TestSlowReadersOfLargeValuesWithLittleMemory has slow readers ask for 47 MB of values where 8 MB are for answers
// that wait. Each of their requests has one answer, in its place, once they read; fast clients get theirs meanwhile.
func TestSlowReadersOfLargeValuesWithLittleMemory(t *testing.T) {
	cache := newFakeCache(t)
	r := start(t, testConfig(t, routertest.SilentDiscovery(t), func(in map[string]any) {
		in["limits"].(map[string]any)["memory_mb"] = 32
	}, host("c1", cache.Addr(), "in_service")), nil, nil)
	const readers, each = 6, 120
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
		c.SetReadBuffer(64 << 10) // far less than it asks for; much less, and TCP waits between segments
		var all strings.Builder
		for j := range each {
			all.WriteString(get(fmt.Sprint("slow", i, "-", j)))
		}
		c.Send(all.String())
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
			t.Fatalf("the fast client's answer %d is %.30q", i, got)
		}
		r.Do(func() {
			if held, most := r.r.frontend.BufferedBytes(), r.r.cfg.Limits.bufferBytes(); held > most+readers*each*64 {
				t.Errorf("%d bytes are held of %d", held, most)
			}
		})
	}
	if values < 90 {
		t.Errorf("the fast client had %d values of 100", values)
	}
	mostHeld := int64(0)
	r.Until("answers to all that was asked", func() bool {
		mostHeld = max(mostHeld, r.r.frontend.BufferedBytes())
		return r.r.openRequests == 0
	})
	large64 := 0
	for i, c := range slow {
		for j := range each {
			switch got := c.Line(); {
			case got == large:
				large64++
			case !strings.HasPrefix(got, "-ERR failed") && !strings.HasPrefix(got, "-BUSY"):
				t.Fatalf("answer %d of slow reader %d is %.30q", j, i, got)
			}
		}
	}
	if t.Logf("%d of %d large values, %d of 100 small ones, %d bytes held", large64, readers*each, values, mostHeld); large64 == 0 {
		t.Error("no slow reader had a value")
	}
	r.idle()
}

// TestMillisecondDeadlineAnsweredAndReleased answers requests with a deadline of one millisecond and keeps nothing of
// them.
func TestMillisecondDeadlineAnsweredAndReleased(t *testing.T) {
	cache := newFakeCache(t) // which answers nothing
	r := start(t, testConfig(t, routertest.SilentDiscovery(t), nil, host("c1", cache.Addr(), "in_service")), nil, nil)
	c := dial(t, r.addr)
	for i := range 200 {
		c.Send(words("C.GET", "k", fmt.Sprint("r", i), "c=read,d=1"))
	}
	for range 200 {
		if got := c.Line(); !strings.HasPrefix(got, "-BUSY") && !strings.HasPrefix(got, "-ERR failed") {
			t.Errorf("answer %q", got)
		}
	}
	r.idle()
}

// TestPipeliningClientDoesNotStarveOthers serves a client that sends one request at a time beside one that pipelines
// five hundred, and answers all in order.
func TestPipeliningClientDoesNotStarveOthers(t *testing.T) {
	cache := newFakeCache(t)
	r := start(t, testConfig(t, routertest.SilentDiscovery(t), nil, host("c1", cache.Addr(), "in_service")), nil, nil)
	cache.Saying(t, func(id string) string {
		return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$3\r\nhit\r\n$-1\r\n", len(id), id)
	})
	const all = 500
	many, one := dial(t, r.addr), dial(t, r.addr)
	var wire strings.Builder
	for i := range all {
		wire.WriteString(words("C.GET", fmt.Sprint("k", i), fmt.Sprint("m", i), "c=read,d=20000"))
	}
	many.Send(wire.String())
	for i := range 20 {
		id := fmt.Sprint("one", i)
		one.Send(words("C.GET", id, id, "c=read,d=20000"))
		one.Want(id)
	}
	for i := range all {
		if got := many.Line(); got != fmt.Sprint("m", i) {
			t.Fatalf("answer %d is %q", i, got)
		}
	}
	r.idle()
}
