package sim

import (
	"errors"
	"io"
	"io/fs"
	"testing"

	"starlingwinch/internal/machine"
)

func TestDialTakesOneRoundTrip(t *testing.T) {
	f := newTestNetwork(t, HostOptions{}, HostOptions{})
	near := f.dial(Second)
	f.after(Second)
	if took := near.lastCall - Start; took != 2*Millisecond {
		t.Errorf("the dial took %d µs", took)
	}
}

func TestLinkSplitsAndJoinsWrites(t *testing.T) {
	f := newTestNetwork(t, HostOptions{}, HostOptions{})
	near, far := f.pair()
	pieces := 0
	far.onReadable = func(*testConn) { pieces++ }
	near.write(t, "ab")
	near.write(t, "cd")
	f.after(Second)
	if pieces != 1 {
		t.Errorf("two Writes of one instant came in %d pieces", pieces)
	}
	f.Link("c", "s").Split = 1
	near.write(t, "efgh")
	f.after(Second)
	if pieces != 3 {
		t.Errorf("a Write that is split came in %d pieces", pieces-1)
	}
	f.reads("the server", far, "abcdefgh", nil)
}

func TestHostKillResetsConnectionsAndRefusesDials(t *testing.T) {
	f := newTestNetwork(t, HostOptions{}, HostOptions{})
	near, far := f.pair()
	fired := false
	m := f.server.Machine()
	m.At(f.now+Millisecond, func() { fired = true })
	f.server.Kill()
	died := f.now
	f.after(10 * Millisecond)
	f.reads("the client", near, "", machine.ErrReset)
	if near.lastCall != died+Millisecond {
		t.Errorf("the reset came after %d µs", near.lastCall-died)
	}
	if fired || f.server.Pending() != 0 || f.server.Descriptors() != 0 || f.server.Alive() {
		t.Error("something of the process is left")
	}
	if late := f.dial(Second); true {
		f.after(10 * Millisecond)
		f.reads("a dial to the dead process", late, "", machine.ErrRefused)
	}
	far.conn.Close() // gives back what is gone already
	if !panics(func() { m.Now() }) {
		t.Error("a killed process can call its machine")
	}
	f.server.Restart()
	f.listen()
	f.pair()
}

func TestHostReturnResetsConnectionsFromBeforeVanish(t *testing.T) {
	f := newTestNetwork(t, HostOptions{}, HostOptions{})
	near, far := f.pair()
	f.server.Vanish()
	near.write(t, "lost")
	far.write(t, "lost")
	late := f.dial(500 * Millisecond)
	f.after(Second)
	f.reads("the client", near, "", nil)
	f.reads("the server", far, "", nil)
	f.reads("a dial to the vanished host", late, "", machine.ErrTimeout)

	f.server.Return()
	f.after(Second)
	f.reads("the client, before it sends", near, "", nil)
	near.write(t, "anybody?")
	f.after(Second)
	f.reads("the client", near, "", machine.ErrReset)
	f.reads("the server, which has not sent", far, "", nil)
	far.write(t, "anybody?")
	f.after(Second)
	f.reads("the server", far, "", machine.ErrReset)
	f.pair()
}

func TestDialThroughCutRetriesHandshake(t *testing.T) {
	f := newTestNetwork(t, HostOptions{}, HostOptions{})
	f.Cut("s", "c") // the answers are lost
	near := f.dial(5 * Second)
	f.after(500 * Millisecond)
	if near.conn != nil {
		t.Fatal("came up through a cut")
	}
	f.Heal("s", "c")
	f.after(5 * Second)
	if near.conn == nil || near.lastCall != Start+Second+2*Millisecond {
		t.Errorf("came up after %d µs, %v", near.lastCall-Start, near.err)
	}
}

func TestCutHoldsOneDirectionAndHealsInOrder(t *testing.T) {
	f := newTestNetwork(t, HostOptions{}, HostOptions{})
	near, far := f.pair()
	f.Cut("c", "s")
	near.write(t, "a")
	far.write(t, "other way")
	f.after(10 * Millisecond)
	f.reads("the server in the cut", far, "", nil)
	f.reads("the client", near, "other way", nil)

	near.write(t, "b")
	f.after(Millisecond / 2) // b is on its way when the cut ends, and would overtake a
	f.Slow("c", "s", 3, 0)   // which takes 3 ms
	f.Heal("c", "s")
	f.Slow("c", "s", 1, 0)
	near.write(t, "c")
	near.conn.CloseWrite()
	f.after(2 * Millisecond)
	f.reads("the server before the first is there", far, "", nil)
	f.after(10 * Millisecond)
	f.reads("the server", far, "abc", io.EOF)
}

func TestConnectionStaysSilentAfterLongCut(t *testing.T) {
	f := newTestNetwork(t, HostOptions{}, HostOptions{})
	f.SilentAfter = 100 * Millisecond
	near, far := f.pair()
	f.Cut("c", "s")
	near.write(t, "given up")
	f.after(Second)
	f.Heal("c", "s")
	far.write(t, "too")
	f.after(10 * Second)
	f.reads("the server", far, "", nil)
	f.reads("the client", near, "", nil)
}

func TestSlowAppliesFactorAndExtra(t *testing.T) {
	f := newTestNetwork(t, HostOptions{}, HostOptions{})
	near, far := f.pair()
	f.Slow("c", "s", 4, 500)
	sent := f.now
	near.write(t, "x")
	f.after(Second)
	if took := far.lastCall - sent; took != 4500 {
		t.Errorf("took %d µs", took)
	}
}

func TestStallDefersEventsInOrder(t *testing.T) {
	f := newTestNetwork(t, HostOptions{}, HostOptions{})
	near, far := f.pair()
	m := f.server.Machine()
	var order []string
	m.At(f.now+2*Millisecond, func() { order = append(order, "timer") })
	far.onReadable = func(*testConn) { order = append(order, "bytes") }
	f.server.Stall(100 * Millisecond)
	over := f.now + 100*Millisecond
	near.write(t, "x")
	near.write(t, "y")
	stopped := m.At(f.now+3*Millisecond, func() { t.Error("a timer fired that was stopped before its turn") })
	m.At(f.now+Millisecond/2, func() { stopped.Stop() })
	f.after(99 * Millisecond)
	if len(order) != 0 {
		t.Errorf("%v while stalled", order)
	}
	f.after(Second)
	if len(order) != 2 || order[0] != "bytes" || order[1] != "timer" || far.lastCall != over {
		t.Errorf("%v, at %d", order, far.lastCall-over)
	}
	f.reads("the server", far, "xy", nil)
}

func TestStalledHandlerIsCalledOnce(t *testing.T) {
	f := newTestNetwork(t, HostOptions{}, HostOptions{})
	near, far := f.pair()
	told := 0
	far.onReadable = func(*testConn) { told++ }
	f.server.Stall(100 * Millisecond)
	near.write(t, "x")
	f.after(99 * Millisecond)
	near.write(t, "y") // arrives as the stall ends
	f.after(Second)
	f.reads("the server", far, "xy", nil)
	if told != 1 {
		t.Errorf("told %d times", told)
	}
}

func TestUnacceptedConnectionIsReset(t *testing.T) {
	for _, kill := range []bool{false, true} {
		f := newTestNetwork(t, HostOptions{}, HostOptions{})
		f.client.Silence(true)
		d := f.client.Machine().Dial(serverAddr, Second, func(machine.Conn, error) machine.Handler {
			t.Error("a dial was told that was given up")
			return nil
		})
		f.after(10 * Millisecond)
		if len(f.accepted) != 1 {
			t.Fatal("the connection did not come up")
		}
		if kill {
			f.client.Kill()
		} else {
			d.Cancel()
		}
		f.client.Silence(false)
		f.after(Second)
		f.reads("the server", f.accepted[0], "", machine.ErrReset)
		if f.client.Descriptors() != 0 {
			t.Errorf("%d descriptors are held", f.client.Descriptors())
		}
	}
}

func TestSilencedHostEstablishesConnectionsAndReceivesBytes(t *testing.T) {
	f := newTestNetwork(t, HostOptions{Window: 1000}, HostOptions{})
	f.server.Silence(true)
	near := f.dial(Second)
	f.after(10 * Millisecond)
	if near.conn == nil {
		t.Fatal("no connection came up")
	}
	if n, err := near.conn.Write(make([]byte, 1500)); n != 1000 || err != nil {
		t.Errorf("Write gave %d, %v, not the window", n, err)
	}
	f.after(Second)
	if len(f.accepted) != 0 || near.writableCalls != 0 {
		t.Error("a silent process ran")
	}
	f.server.Silence(false)
	f.after(Second)
	if len(f.accepted) != 1 || len(f.accepted[0].got) != 1000 || near.writableCalls != 1 {
		t.Errorf("%d connections taken in, %d calls of Writable", len(f.accepted), near.writableCalls)
	}
}

func TestHostRefusesSwallowsAndResetsDials(t *testing.T) {
	f := newTestNetwork(t, HostOptions{}, HostOptions{})
	f.server.RefuseAll(true)
	refused := f.dial(Second)
	f.after(Second)
	f.reads("a refused dial", refused, "", machine.ErrRefused)
	f.server.RefuseAll(false)

	f.server.SwallowDials(true)
	swallowed := f.dial(3 * Second)
	f.after(4 * Second)
	f.reads("a swallowed dial", swallowed, "", machine.ErrTimeout)
	f.server.SwallowDials(false)

	f.server.ResetOnAccept(true)
	reset := f.dial(Second)
	f.after(Second)
	if reset.conn == nil || len(f.accepted) != 0 {
		t.Error("the connection that is reset did not come up, or was taken in")
	}
	f.reads("a reset connection", reset, "", machine.ErrReset)
	f.server.ResetOnAccept(false)
	f.pair()
}

func TestConnReset(t *testing.T) {
	f := newTestNetwork(t, HostOptions{}, HostOptions{})
	near, far := f.pair()
	far.write(t, "half an ans")
	far.conn.(interface{ Reset() }).Reset()
	f.after(Second)
	f.reads("the client", near, "half an ans", machine.ErrReset)
	if f.server.Descriptors() != 1 {
		t.Errorf("the server holds %d descriptors", f.server.Descriptors())
	}
}

func TestCloseWithUnreadBytesResets(t *testing.T) {
	f := newTestNetwork(t, HostOptions{}, HostOptions{})
	near, far := f.pair()
	far.ignoresReadable = true
	near.write(t, "unread")
	f.after(10 * Millisecond)
	far.conn.Close()
	f.after(10 * Millisecond)
	f.reads("the client", near, "", machine.ErrReset)

	near, far = f.pair()
	far.conn.Close()
	near.write(t, "crosses the end")
	f.after(10 * Millisecond)
	f.reads("the client whose bytes crossed the end", near, "", machine.ErrReset)
}

func TestDropIdleConnsResetsLaterWrites(t *testing.T) {
	f := newTestNetwork(t, HostOptions{}, HostOptions{})
	near, far := f.pair()
	f.server.DropIdleConns(false)
	f.after(Second)
	if !near.conn.HasNothingUnread() || !far.conn.HasNothingUnread() {
		t.Error("forgetting was seen before anything was sent")
	}
	near.write(t, "x")
	f.after(Second)
	f.reads("the client", near, "", machine.ErrReset)
	f.reads("the server", far, "", nil)

	near, far = f.pair()
	f.server.DropIdleConns(true)
	near.write(t, "x")
	f.after(Second)
	f.reads("the client of one forgotten in silence", near, "", nil)
	f.reads("the server of one forgotten in silence", far, "", nil)
}

func TestFullBacklogDropsOrRefusesDials(t *testing.T) {
	for _, refuse := range []bool{false, true} {
		f := newTestNetwork(t, HostOptions{Backlog: 2, RefuseFull: refuse}, HostOptions{})
		f.listener.Pause()
		f.dial(Second)
		f.dial(Second)
		f.after(10 * Millisecond)
		third := f.dial(500 * Millisecond)
		f.after(Second)
		want := machine.ErrTimeout
		if refuse {
			want = machine.ErrRefused
		}
		f.reads("the third dial", third, "", want)
		f.listener.Resume()
		f.after(Second)
		if len(f.accepted) != 2 {
			t.Errorf("%d connections taken in", len(f.accepted))
		}
	}
}

func TestDescriptorLimitFailsDialsAndDelaysAccepts(t *testing.T) {
	f := newTestNetwork(t, HostOptions{Descriptors: 2}, HostOptions{Descriptors: 3})
	a, b, c := f.dial(Second), f.dial(Second), f.dial(Second)
	d := f.dial(Second)
	if d.err != nil {
		t.Error("the dial was told at once")
	}
	f.after(Second)
	if d.err != machine.ErrDescriptors || f.client.Descriptors() != 3 {
		t.Errorf("got %v, holding %d", d.err, f.client.Descriptors())
	}
	if a.conn == nil || b.conn == nil || c.conn == nil {
		t.Fatal("the kernel took no connections in")
	}
	if len(f.accepted) != 1 || f.server.Descriptors() != 2 {
		t.Fatalf("%d connections taken in, holding %d", len(f.accepted), f.server.Descriptors())
	}
	if _, err := f.server.Machine().ReadFile("x", 1); err != machine.ErrDescriptors {
		t.Errorf("ReadFile gave %v", err)
	}
	f.accepted[0].conn.Close()
	if len(f.accepted) != 1 {
		t.Error("Close called accept")
	}
	f.after(Second)
	if len(f.accepted) != 2 || f.server.Descriptors() != 2 {
		t.Errorf("%d connections taken in, holding %d", len(f.accepted), f.server.Descriptors())
	}
}

func TestLinkLosesRepeatsAndReordersDatagrams(t *testing.T) {
	f := newTestNetwork(t, HostOptions{}, HostOptions{})
	var got []byte
	_, err := f.server.Machine().ListenPacket(serverAddr, func(_ string, b []byte) { got = append(got, b...) })
	if err != nil {
		t.Fatal(err)
	}
	pc, err := f.client.Machine().ListenPacket("10.0.0.2:0", func(string, []byte) {})
	if err != nil {
		t.Fatal(err)
	}
	send := func() int {
		got = nil
		for i := range 100 {
			if err := pc.Send(serverAddr, []byte{byte(i)}); err != nil {
				t.Fatal(err)
			}
		}
		f.after(Second)
		return len(got)
	}
	l := f.Link("c", "s")
	if n := send(); n != 100 {
		t.Errorf("%d of 100 came over a link without faults", n)
	}
	l.Loss = 0.5
	if n := send(); n < 20 || n > 80 {
		t.Errorf("%d of 100 came with half of them lost", n)
	}
	l.Loss, l.Twice = 0, 1
	if n := send(); n != 200 {
		t.Errorf("%d came of 100 that are doubled", n)
	}
	l.Twice, l.Late, l.LateBy = 0, 0.5, 10*Millisecond
	send()
	overtaken := 0
	for i := 1; i < len(got); i++ {
		if got[i] < got[i-1] {
			overtaken++
		}
	}
	if overtaken == 0 {
		t.Error("none was overtaken")
	}
	f.Cut("c", "s")
	if n := send(); n != 0 {
		t.Errorf("%d came through a cut", n)
	}
}

func TestStalledProcessQueuesBoundedDatagrams(t *testing.T) {
	f := newTestNetwork(t, HostOptions{}, HostOptions{})
	n := 0
	f.server.Machine().ListenPacket(serverAddr, func(string, []byte) { n++ })
	pc, _ := f.client.Machine().ListenPacket("10.0.0.2:0", func(string, []byte) {})
	f.server.Stall(Second)
	for range 2 * maxQueuedDatagrams {
		pc.Send(serverAddr, []byte("x"))
	}
	f.after(2 * Second)
	if n != maxQueuedDatagrams {
		t.Errorf("%d datagrams were kept", n)
	}
}

func TestStepClockMovesWallOnly(t *testing.T) {
	w := New(1)
	h := w.Host("a", "10.0.0.1", HostOptions{ClockOffset: -5})
	m := h.Machine()
	if m.Wall() != m.Now()-5 {
		t.Errorf("Wall is off by %d", m.Wall()-m.Now())
	}
	h.StepClock(-Second)
	if m.Now() != Start || m.Wall() != Start-5-Second {
		t.Errorf("Now %d, Wall %d", m.Now()-Start, m.Wall()-Start)
	}
}

func TestFilesSurviveRestartAndFail(t *testing.T) {
	w := New(1)
	h := w.Host("a", "10.0.0.1", HostOptions{})
	h.PutFile("conf", []byte("x"))
	m := h.Restart()
	if b, err := m.ReadFile("conf", 10); string(b) != "x" || err != nil {
		t.Errorf("got %q, %v", b, err)
	}
	h.FailFile("conf", fs.ErrPermission)
	if _, err := m.ReadFile("conf", 10); !errors.Is(err, fs.ErrPermission) {
		t.Errorf("got %v", err)
	}
	h.RemoveFile("conf")
	if _, err := m.ReadFile("conf", 10); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("got %v", err)
	}
}

func TestSentAtOfBytesHeldByCut(t *testing.T) {
	f := newTestNetwork(t, HostOptions{}, HostOptions{})
	near, far := f.pair()
	f.Cut("c", "s")
	near.write(t, "ab")
	first := f.now
	f.after(3 * Second)
	near.write(t, "cd")
	second := f.now
	f.after(Second)
	f.Heal("c", "s")
	f.after(Second)
	f.reads("the server", far, "abcd", nil)
	c := far.conn.(*Conn)
	for i, want := range []Time{first, first, second, second} {
		if got := c.SentAt(uint64(i)); got != want {
			t.Errorf("byte %d was written at %d, it tells %d", i, want-first, got-first)
		}
	}
	for i := range 3 * maxSendTimes {
		near.write(t, "x")
		f.after(10 * Millisecond)
		if got, want := c.SentAt(uint64(4+i)), f.now-10*Millisecond; got != want {
			t.Fatalf("byte %d was written at %d, it tells %d", 4+i, want, got)
		}
	}
	if len(c.sendTimes) > maxSendTimes || c.SentAt(0) > f.now {
		t.Errorf("%d marks are held", len(c.sendTimes))
	}
}

// TestConnEndedAfterEndArrives, whatever holds it up on its way.
func TestConnEndedAfterEndArrives(t *testing.T) {
	f := newTestNetwork(t, HostOptions{}, HostOptions{})
	near, _ := f.pair()
	conn := near.conn.(*Conn)
	f.Cut("c", "s")
	near.conn.Close()
	f.after(Second)
	if conn.Ended() {
		t.Error("the end has crossed a cut")
	}
	f.Heal("c", "s")
	f.after(Second)
	if !conn.Ended() {
		t.Error("the end has not come after the heal")
	}
}
