package frontend

import (
	"fmt"
	"strings"
	"testing"
	"time"
	"unsafe"

	"starlingwinch/internal/resp"
	"starlingwinch/internal/testbench/routertest"
)

// longWrite is a write of 60 KB.
func longWrite(id string) string {
	return words("C.SET", "k", id, "c=put,d=9000,k=5", strings.Repeat("v", 60<<10))
}

// waitUntilRead waits until the server has read all that a number of clients have sent, as far as it goes on reading.
func waitUntilRead(r *testServer, clients int) {
	r.t.Helper()
	r.Until("the clients' commands", func() bool {
		read := 0
		for state := range r.server.lists {
			for c := r.server.lists[state].first; c != nil; c = c.next {
				quiet := c.readPaused || c.socket.HasNothingUnread()
				if c.receivedAt > 0 && quiet && !c.readScheduled {
					read++
				}
			}
		}
		return read == clients
	})
}

// stopHalfway connects clients that stop so many bytes into a write of 60 KB, and waits until the server has read them.
func stopHalfway(r *testServer, clients, sent int) {
	for i := range clients {
		r.dial().Send(longWrite(fmt.Sprint("stopped", i))[:sent])
	}
	waitUntilRead(r, clients)
}

// wantServed sends commands on connections of their own, and checks that each reaches the handler.
func wantServed(r *testServer, commands ...string) {
	r.t.Helper()
	for _, command := range commands {
		c := r.dial()
		c.Send(command)
		r.answer(r.nextRequest(), value)
		c.Want("value")
	}
}

// TestStoppedCommandsLeaveMemoryToOthers guards against clients that stop in the middle of large commands taking all memory, so
// that each read of other clients is rejected.
func TestStoppedCommandsLeaveMemoryToOthers(t *testing.T) {
	buffer := cap(append(make([]byte, readBufferSize), 0)) // held for one byte more than a read takes
	r := newTestServer(t, func(o *Options) { o.MaxBufferedBytes = int64(50 * buffer) })
	stopHalfway(r, 60, readBufferSize+1)
	wantServed(r, get("first"), get("second"), get("third"))
}

// TestStalledCommandGivesMemoryToLargeWrite guards against a large write being rejected for as long as stopped clients stay
// connected.
func TestStalledCommandGivesMemoryToLargeWrite(t *testing.T) {
	r := newTestServer(t, func(o *Options) { o.MaxBufferedBytes = 1 << 20 })
	stopHalfway(r, 60, 45<<10)
	r.After(time.Duration(stalledCommandTime) * time.Microsecond)
	wantServed(r, longWrite("first"), longWrite("second"), longWrite("third"))
}

// TestSlotsHoldNoMoreMemoryThanCounted guards against slots that grow beyond the bytes that the budget counts for them.
func TestSlotsHoldNoMoreMemoryThanCounted(t *testing.T) {
	const place = unsafe.Sizeof(&ReplySlot{}) * 5 / 4 // in the queue, which grows by a quarter
	if size := unsafe.Sizeof(ReplySlot{}) + place; size > slotBytes {
		t.Errorf("a slot holds %d bytes, want at most %d", size, slotBytes)
	}
	if size := unsafe.Sizeof(requestSlot{}) + place; size > requestSlotBytes {
		t.Errorf("a slot with a request holds %d bytes, want at most %d", size, requestSlotBytes)
	}
	t.Logf("%d and %d bytes", unsafe.Sizeof(ReplySlot{}), unsafe.Sizeof(requestSlot{}))
}

// TestPipeliningClientsLeaveMemoryToOthers guards against clients that pipeline many requests taking all memory.
func TestPipeliningClientsLeaveMemoryToOthers(t *testing.T) {
	const clients, pipelined, limit, requestBytes = 20, 100, 512 << 10, 2 << 10
	r := newTestServer(t, func(o *Options) { o.MaxBufferedBytes, o.RequestBytes = limit, requestBytes })
	for i := range clients {
		wire := ""
		for j := range pipelined {
			wire += get(fmt.Sprint("pipelined", i, "-", j))
		}
		r.dial().Send(wire)
	}
	waitUntilRead(r, clients)
	accepted := len(r.requests)
	if accepted*requestBytes > limit || accepted*requestBytes < limit/2 {
		t.Errorf("%d requests of %d bytes each were accepted with %d bytes of memory", accepted, requestBytes, limit)
	}
	for range accepted {
		r.nextRequest()
	}
	c := r.dial()
	c.Send(get("usual"))
	if usual := r.nextRequest(); usual.cmd.ID() != "usual" {
		t.Errorf("the handler got request %s, want the one of the usual client", usual.cmd.ID())
	}
}

// TestRepliesThatWaitAreBounded guards against commands that the server answers itself holding memory without end behind a
// request that gets no answer.
func TestRepliesThatWaitAreBounded(t *testing.T) {
	const clients, pipelined, limit = 20, 500, 64 << 10
	r := newTestServer(t, func(o *Options) { o.MaxBufferedBytes = limit })
	var connections []*routertest.Client
	for i := range clients {
		c := r.dial()
		c.Send(get(fmt.Sprint("first", i)))
		r.nextRequest()
		connections = append(connections, c)
	}
	for _, c := range connections {
		c.Send(strings.Repeat(words("PING"), pipelined))
	}
	waitUntilRead(r, clients)
	r.Do(func() {
		want := int64(limit + clients*(maxCommandsPerTurn*(slotBytes+len(pongReply))+shortageReadBytes))
		if held := r.server.BufferedBytes(); held > want {
			t.Errorf("%d bytes are held by replies that wait, want at most %d", held, want)
		}
	})
}

// TestBlockedReaderGivesMemoryToOthers guards against clients that leave large replies unread taking all memory.
func TestBlockedReaderGivesMemoryToOthers(t *testing.T) {
	const limit = 256 << 10
	r := newTestServer(t, func(o *Options) { o.MaxBufferedBytes = limit })
	large := "$65536\r\n" + strings.Repeat("v", resp.MaxValueBytes) + "\r\n"
	var blocked []*routertest.Client
	for range 8 {
		c := r.dial()
		c.SetReadBuffer(4 << 10)
		blocked = append(blocked, c)
	}
	answerLarge := func(c *routertest.Client, id string) {
		c.Send(get(id))
		r.answer(r.nextRequest(), large)
	}
	for round := range 100 { // more than the sockets buffer
		for i, c := range blocked {
			answerLarge(c, fmt.Sprint("blocked", i, "-", round))
		}
		held := int64(0)
		if r.Do(func() { held = r.server.BufferedBytes() }); held > limit/2 {
			break
		}
	}
	r.After(time.Duration(stalledWriteTime) * time.Microsecond)
	for i := range 5 {
		c := r.dial()
		answerLarge(c, fmt.Sprint("usual", i))
		if got := c.Line(); len(got) != resp.MaxValueBytes {
			t.Errorf("usual client got %.30q, want its value", got)
		}
	}
}
