package standin

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/rules"
)

// fakeRouter accepts connections and calls f to reply to each command.
type fakeRouter struct {
	l     *lab
	conns []*routerConn
	got   [][]string
	f     func(c *routerConn, args []string)
}

type routerConn struct {
	stream
	r *fakeRouter
	n int // number of commands received
}

func (c *routerConn) Writable() { c.flush() }
func (c *routerConn) Readable() {
	err := c.fill(maxCommandBytes)
	if len(c.received) >= maxCommandBytes {
		c.close()
	}
	for !c.closed {
		args, used, _ := readCommand(c.received)
		if used == 0 {
			break
		}
		var text []string
		for _, a := range args {
			text = append(text, string(a))
		}
		c.consume(used)
		c.n++
		c.r.got = append(c.r.got, text)
		c.r.f(c, text)
	}
	if err != nil {
		c.close()
	}
}

func (c *routerConn) reply(text string) { c.send([]byte(text)) }

// clients is a load client with a router in a lab.
type clients struct {
	*lab
	c      *Client
	router *fakeRouter
	notes  *notes
}

func newClients(t *testing.T, o ClientOptions, f func(c *routerConn, args []string)) *clients {
	t.Helper()
	l := newLab()
	s := &clients{lab: l, router: &fakeRouter{l: l, f: f}, notes: &notes{l: l}}
	ln, err := l.Listen("127.0.0.1:0", func(conn machine.Conn) machine.Handler {
		c := &routerConn{stream: stream{conn: conn}, r: s.router}
		s.router.conns = append(s.router.conns, c)
		return c
	})
	if err != nil {
		t.Fatal(err)
	}
	o.Classes, o.Tenant = steady(), "logbook"
	o.Keys = NewKeys(100, 1, 1, newTestRand(7))
	if o.Routers == nil {
		o.Routers = func() []Target { return []Target{{"r-1", ln.Addr()}} }
	}
	s.c = NewClient(l, o, NewWorkload(o.Classes, newTestRand(8)), newTestRand(9), s.notes)
	return s
}

func serve(c *routerConn, args []string) { c.reply("$1\r\nx\r\n") }

// Indexes of the classes.
const (
	lookup = 0
	add    = 2
)

func TestReplyIsOnTimeOrLate(t *testing.T) {
	s := newClients(t, ClientOptions{}, nil)
	wait := 400 * Millisecond
	s.router.f = func(c *routerConn, args []string) { s.At(s.now+wait, func() { serve(c, args) }) }
	s.c.Request(lookup, "k")
	s.run(t, Second)
	wait = 600 * Millisecond
	s.c.Request(lookup, "k")
	s.run(t, Second)
	got := s.c.Tallies()[lookup]
	if got.OnTime != 1 || got.Late != 1 || got.Requests != 2 || got.Earned != 3 || got.Offered != 4 || s.c.Open() != 0 {
		t.Errorf("%+v", *got)
	}
	if p := got.Latency.Quantile(0.5); p < 400*Millisecond || p > 480*Millisecond {
		t.Errorf("got a median of %d µs", p)
	}
	if len(s.router.conns) != 1 {
		t.Errorf("got %d connections for sequential requests", len(s.router.conns))
	}
}

func TestRequestWireFormat(t *testing.T) {
	s := newClients(t, ClientOptions{ValueSize: 100}, serve)
	s.c.Request(lookup, "k")
	s.c.Request(add, "k")
	s.run(t, Second)
	read, write := s.router.got[0], s.router.got[1]
	if len(read) != 4 || read[0] != "C.GET" || read[1] != "k" || len(read[2]) != 16 ||
		read[3] != "c=call-lookup,t=logbook,d=1200" {
		t.Errorf("read: %q", read)
	}
	if len(write) != 5 || write[0] != "C.SET" || len(write[4]) != 100 ||
		!strings.HasPrefix(write[3], "c=add-contact,t=logbook,d=1200,k=") {
		t.Errorf("write: %q", write)
	}
}

func TestRetryHasNewIDAndSameIdempotencyKey(t *testing.T) {
	s := newClients(t, ClientOptions{Retries: 2, RetryWait: Exponential, RetryWaitTime: 100 * Millisecond, MarkRetry: true}, nil)
	var at []Time
	s.router.f = func(c *routerConn, _ []string) {
		at = append(at, s.now)
		c.reply("-ERR failed\r\n")
	}
	s.c.Request(add, "k")
	s.run(t, 2*Second)
	if len(s.router.got) != 3 {
		t.Fatalf("got %d attempts, want 3", len(s.router.got))
	}
	idem := func(i int) string {
		_, k, _ := strings.Cut(s.router.got[i][3], "k=")
		return strings.TrimSuffix(k, ",r=1")
	}
	ids := map[string]bool{}
	for i, got := range s.router.got {
		ids[got[2]] = true
		if idem(i) != idem(0) || strings.HasSuffix(got[3], ",r=1") != (i > 0) {
			t.Errorf("attempt %d: got %q", i, got)
		}
	}
	if len(ids) != 3 {
		t.Error("two attempts have the same id")
	}
	near(t, "the first wait", at[1]-at[0], 100*Millisecond, 0)
	near(t, "the second wait", at[2]-at[1], 200*Millisecond, 0)
	if got := s.c.Tallies()[add]; got.Failed != 1 || got.Tries != 3 || got.Requests != 1 {
		t.Errorf("%+v", *got)
	}
}

func TestRetryAfterCompliance(t *testing.T) {
	for _, compliance := range []float64{0, 1} {
		s := newClients(t, ClientOptions{Retries: 1, RetryAfterCompliance: compliance}, nil)
		var at []Time
		s.router.f = func(c *routerConn, _ []string) {
			at = append(at, s.now)
			c.reply("-BUSY 300\r\n")
		}
		s.c.Request(lookup, "k")
		s.run(t, 2*Second)
		if len(at) != 2 || at[1]-at[0] != Time(compliance)*300*Millisecond {
			t.Errorf("retry-after compliance %.0f: got attempts at %v", compliance, at)
		}
		if got := s.c.Tallies()[lookup]; got.Rejected != 1 {
			t.Errorf("%+v", *got)
		}
	}
}

func TestAttemptTimeoutFraction(t *testing.T) {
	s := newClients(t, ClientOptions{Retries: 1, AttemptTimeoutFraction: 0.5}, func(*routerConn, []string) {})
	s.c.Request(lookup, "k")
	s.run(t, 599*Millisecond+defaultGrace)
	s.notes.has(t, "left", 0)
	s.run(t, 2*Millisecond)
	s.notes.has(t, "left", 1)
	s.run(t, Second)
	s.notes.has(t, "left", 2)
	if got := s.c.Tallies()[lookup]; got.Lost != 1 || len(s.router.got) != 2 || s.c.Open() != 0 {
		t.Errorf("got %+v after %d attempts", *got, len(s.router.got))
	}
	if got := s.router.got[0][3]; !strings.HasSuffix(got, ",d=600") {
		t.Errorf("router received %q", got)
	}
	for i, c := range s.router.conns {
		if !c.closed {
			t.Errorf("connection %d is open, want closed", i)
		}
	}
}

func TestEarlyAbandonFraction(t *testing.T) {
	s := newClients(t, ClientOptions{EarlyAbandonFraction: 1}, func(*routerConn, []string) {})
	for range 20 {
		s.c.Request(lookup, "k")
	}
	s.run(t, 1199*Millisecond)
	if got := s.c.Tallies()[lookup]; got.Left < 18 {
		t.Errorf("got %d of 20 requests abandoned early", got.Left)
	}
}

func TestRequestResentWhenCloseCrossesIt(t *testing.T) {
	s := newClients(t, ClientOptions{}, nil)
	s.router.f = func(c *routerConn, args []string) {
		if c.n == 2 {
			c.close() // the close is in transit when the second request is sent
			return
		}
		serve(c, args)
	}
	s.c.Request(lookup, "k")
	s.run(t, Second)
	s.c.Request(lookup, "k")
	s.run(t, Second)
	got := s.c.Tallies()[lookup]
	if got.OnTime != 2 || got.Resent != 1 || got.Tries != 3 || s.router.got[1][2] == s.router.got[2][2] {
		t.Errorf("%+v", *got)
	}
	s.notes.has(t, "broken", 0)
	s.notes.has(t, "left", 1)
}

// TestCrossedRepeatIsCounted closes the connection of a resent request before the request is read, so that it is resent again.
func TestCrossedRepeatIsCounted(t *testing.T) {
	s := newClients(t, ClientOptions{}, nil)
	closes := 2
	s.router.f = func(c *routerConn, args []string) {
		if closes > 0 {
			closes--
			c.close()
			return
		}
		serve(c, args)
	}
	s.c.Request(lookup, "k")
	s.run(t, Second)
	if got := s.c.Tallies()[lookup]; got.OnTime != 1 || got.Resent != 2 || got.ResentAgain != 1 {
		t.Errorf("%+v", *got)
	}
}

func TestRequestLostWithConnection(t *testing.T) {
	s := newClients(t, ClientOptions{}, nil)
	s.router.f = func(c *routerConn, args []string) { s.At(s.now+100*Millisecond, c.close) }
	s.c.Request(lookup, "k")
	s.run(t, Second)
	s.notes.has(t, "broken", 1)
	if got := s.c.Tallies()[lookup]; got.Lost != 1 || got.Tries != 1 {
		t.Errorf("%+v", *got)
	}
}

func TestTruncatedReplyFails(t *testing.T) {
	s := newClients(t, ClientOptions{}, func(c *routerConn, _ []string) {
		c.reply("$10\r\nhalf")
		c.close()
	})
	s.c.Request(lookup, "k")
	s.run(t, Second)
	s.notes.has(t, "broken", 0)
	s.notes.has(t, "answered failed", 1)
}

func TestSecondReplyIsReported(t *testing.T) {
	s := newClients(t, ClientOptions{}, func(c *routerConn, _ []string) { c.reply("$1\r\nx\r\n$1\r\nx\r\n") })
	s.c.Request(lookup, "k")
	s.run(t, Second)
	s.notes.has(t, "answered served", 2)
	if got := s.c.Tallies()[lookup]; got.OnTime != 1 {
		t.Errorf("%+v", *got)
	}
}

func TestClientConnectionsOpenedWhenBusyOrPipelined(t *testing.T) {
	for _, c := range []struct {
		pipeline float64
		want     int
	}{{0, 10}, {1, 1}} {
		s := newClients(t, ClientOptions{Pipeline: c.pipeline}, nil)
		s.router.f = func(c *routerConn, args []string) { s.At(s.now+100*Millisecond, func() { serve(c, args) }) }
		for range 10 {
			s.c.Request(lookup, "k")
		}
		s.run(t, Second)
		if got := s.c.Tallies()[lookup]; len(s.router.conns) != c.want || got.OnTime != 10 {
			t.Errorf("pipeline %.0f: %d connections, %+v", c.pipeline, len(s.router.conns), *got)
		}
	}
}

func TestAbandonResendsOtherRequestsOfConnection(t *testing.T) {
	s := newClients(t, ClientOptions{Pipeline: 1}, nil)
	s.router.f = func(c *routerConn, args []string) {
		if len(s.router.conns) > 1 {
			serve(c, args)
		}
	}
	s.c.Request(lookup, "k")
	s.run(t, 500*Millisecond)
	s.c.Request(lookup, "k")
	s.run(t, Second)
	if got := s.c.Tallies()[lookup]; got.Lost != 1 || got.Late != 1 {
		t.Errorf("%+v", *got)
	}
}

func TestRequestsEndWithoutRouters(t *testing.T) {
	for _, routers := range [][]Target{nil, {{"r-9", "127.0.0.1:9"}}} {
		s := newClients(t, ClientOptions{Routers: func() []Target { return routers }}, nil)
		s.c.Request(lookup, "k")
		s.run(t, 2*Second)
		if got := s.c.Tallies()[lookup]; got.Lost != 1 || s.c.Open() != 0 {
			t.Errorf("%+v", *got)
		}
		s.notes.has(t, "left", 0)
	}
}

func TestArrivalRateBurstsAndClassFractions(t *testing.T) {
	s := newClients(t, ClientOptions{Rate: 200, BurstEvery: 10 * Second, BurstFor: Second, BurstTimes: 6}, serve)
	s.c.Start()
	s.run(t, 100*Second)
	s.c.Stop()
	s.run(t, 5*Second)
	sum := 0
	for _, got := range s.c.Tallies() {
		sum += got.Requests
	}
	if want := 200 * 150; sum < want*95/100 || sum > want*105/100 {
		t.Errorf("got %d requests, want about %d", sum, want)
	}
	if got := float64(s.c.Tallies()[add].Requests) / float64(sum); got < 0.02 || got > 0.032 {
		t.Errorf("got a fraction of %.3f for add-contact", got)
	}
	if got := Service(s.c.Tallies()); got != 1 || s.c.Open() != 0 {
		t.Errorf("got service %.3f, %d open requests", got, s.c.Open())
	}
}

func TestKeysDrawZipf(t *testing.T) {
	rng := newTestRand(1)
	k := NewKeys(1000, 1, 1, rng)
	count := map[string]int{}
	for range 100_000 {
		count[k.Draw(rng)]++
	}
	// The sum of 1/i up to 1000 is 7.485.
	if got := count[k.Name(0)]; got < 12_900 || got > 13_800 {
		t.Errorf("got the first key %d times in 100000 draws", got)
	}
	if got := k.Popular(2); got[1] != k.Name(0) {
		t.Error("most popular key is not last")
	}
	k.Heat(1, 0.2)
	hot := 0
	for range 100_000 {
		if k.Draw(rng) == k.Name(1000) {
			hot++
		}
	}
	if hot < 19_000 || hot > 21_000 {
		t.Errorf("got the hot key %d times in 100000 draws", hot)
	}
}

func TestHostileClientHarms(t *testing.T) {
	for _, harm := range []Harm{BadBytes, EndlessLine, HalfCommand, SilentClient, Abandons, NeverReads} {
		s := newClients(t, ClientOptions{}, serve)
		h := NewHostile(s.lab, HostileOptions{Harm: harm, Every: Second, Class: steady()[0], Keys: s.c.options.Keys,
			Routers: s.c.options.Routers, HoldFor: 10 * Second}, newTestRand(3), s.notes)
		h.Start()
		s.run(t, 500*Millisecond)
		open, asked := 1, 0
		switch harm {
		case EndlessLine:
			open = 0 // the router has closed the connection
		case Abandons:
			open, asked = 0, abandonedReads
		case NeverReads:
			asked = unreadReads
		}
		if h.Open() != open || s.notes.count("asked call-lookup") != asked || len(s.router.conns) != 1 {
			t.Errorf("%s: got %d open connections, %d requests", harm, h.Open(), s.notes.count("asked call-lookup"))
		}
		gone := "left"
		if harm == NeverReads { // the connection stays open
			gone = "forgone"
		}
		s.notes.has(t, gone, asked)
		h.Stop()
		s.run(t, 20*Second)
		if h.Open() != 0 || !s.router.conns[0].closed {
			t.Errorf("%s: got open connections after Stop, want none", harm)
		}
	}
}

func TestReadReply(t *testing.T) {
	for _, c := range []struct {
		in   string
		kind rules.Answer
		used int
		bad  bool
	}{
		{"$1\r\nx\r\n", rules.Served, 7, false},
		{"*2\r\n$1\r\nx\r\n:1\r\n", rules.Served, 15, false},
		{"$-1\r\n", rules.Failed, 5, false},
		{"*1\r\n$-1\r\n", rules.Failed, 9, false},
		{"*0\r\n", rules.Failed, 4, false},
		{"+OK\r\n", rules.Failed, 5, false},
		{"-BUSYBODY\r\n", rules.Failed, 11, false},
		{"-BUSY\r\n", rules.Refused, 7, false},
		{"-BUSY 20\r\n", rules.Refused, 10, false},
		{"$5\r\nhal", rules.Failed, 0, false},
		{"$1\r\nxx\r\n", rules.Failed, 0, true},
		{"?\r\n", rules.Failed, 0, true},
		{"*1\r\n*1\r\n*1\r\n*1\r\n*1\r\n*1\r\n", rules.Failed, 0, true},
		{strings.Repeat("-", 600), rules.Failed, 0, true},
	} {
		a, used, err := readReply([]byte(c.in))
		if used != c.used || (err != nil) != c.bad || used > 0 && a.kind != c.kind {
			t.Errorf("%.30q: %s, used %d, %v", c.in, a.kind, used, err)
		}
	}
}

func FuzzReadAnswer(f *testing.F) {
	for _, seed := range []string{"$1\r\nx\r\n", "*2\r\n$1\r\nx\r\n*0\r\n", "-BUSY 12\r\n", "*-1\r\n", "$-1\r\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		a, used, err := readReply(b)
		if used > len(b) || err != nil && used != 0 {
			t.Fatalf("%q: used %d, %v", b, used, err)
		}
		if used == 0 {
			return
		}
		again, n, err := readReply(b[:used])
		if again != a || n != used || err != nil {
			t.Fatalf("%q: parsed as %v, then as %v", b, a, again)
		}
	})
}

func TestDefaultRouterSettings(t *testing.T) {
	s := DefaultRouterSettings()
	s.Name, s.Listen, s.Discovery = "r-1", "127.0.0.1:1", "127.0.0.1:2"
	var got struct {
		Name     string
		Limits   map[string]float64
		Settings struct {
			Categories []map[string]any
			Limits     map[string]any
			Rules      map[string]float64
		}
	}
	if err := json.Unmarshal(s.JSON(), &got); err != nil {
		t.Fatal(err)
	}
	set := got.Settings
	text := fmt.Sprint(set.Categories[2]["keyTtl"], set.Rules["drainGrace"],
		set.Limits["maxAttempts"], len(set.Categories))
	expect(t, "effect", fmt.Sprint(set.Categories[2]["effect"]), "idempotency_key")
	expect(t, "figures", text, "1.2e+06 1e+06 3 4")
}

func TestPipelinedRequestDeadlineExtended(t *testing.T) {
	s := newClients(t, ClientOptions{Pipeline: 1}, nil)
	s.router.f = func(c *routerConn, args []string) { s.At(s.now+2500*Millisecond, func() { serve(c, args) }) }
	const page = lookup + 1
	s.c.Request(page, "k")
	s.c.Request(lookup, "k")
	s.run(t, 4*Second)
	if got := s.c.Tallies()[lookup]; len(s.router.conns) != 1 || got.Late != 1 || got.Lost != 0 {
		t.Errorf("%d connections, %+v", len(s.router.conns), *got)
	}
}
