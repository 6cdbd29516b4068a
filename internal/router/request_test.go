package router

import (
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"starlingwinch/decide"
	"starlingwinch/internal/eventlog"
	"starlingwinch/internal/frontend"
	"starlingwinch/internal/limits"
	"starlingwinch/internal/resp"
	"starlingwinch/internal/testbench/routertest"
	"starlingwinch/internal/upstream"
)

func TestRequestServed(t *testing.T) {
	cache := newFakeCache(t)
	r := start(t, testConfig(t, routertest.SilentDiscovery(t), nil, host("c1", cache.Addr(), "in_service")), nil, nil)
	c := dial(t, r.addr)
	c.Send(words("PING"))
	c.Want("+PONG")
	c.Send(get("r1"))
	cmd := receive(t, cache.Commands, "command")
	if cmd.Args[0] != "C.GET" || cmd.Args[1] != "k1" || cmd.Args[2] != "r1" {
		t.Errorf("the cache was sent %q", cmd.Args)
	}
	cmd.Reply(t, served)
	c.Want("value")
	r.idle()
}

// TestAnswersFollowCommandOrder has a quick answer wait for those before it on its connection, and not for those of
// other connections.
func TestAnswersFollowCommandOrder(t *testing.T) {
	cache := newFakeCache(t)
	r := start(t, testConfig(t, routertest.SilentDiscovery(t), nil, host("c1", cache.Addr(), "in_service")), nil, nil)
	c := dial(t, r.addr)
	c.Send(get("r1") + get("r2") + words("PING"))
	first, second := receive(t, cache.Commands, "command"), receive(t, cache.Commands, "command")
	if first.Args[2] != "r1" {
		first, second = second, first
	}
	second.Reply(t, "*3\r\n$3\r\ntwo\r\n$-1\r\n$-1\r\n")
	other := dial(t, r.addr)
	other.Send(get("r3"))
	receive(t, cache.Commands, "command").Reply(t, served)
	other.Want("value")
	first.Reply(t, "*3\r\n$3\r\none\r\n$-1\r\n$-1\r\n")
	c.Want("one")
	c.Want("two")
	c.Want("+PONG")
	r.idle()
}

// TestPipelinedCommandsReadAtOnce reads all pipelined commands at once. One that was left unread behind slow ones
// would be taken too late for its deadline.
func TestPipelinedCommandsReadAtOnce(t *testing.T) {
	r := newRig(t, "127.0.0.1:1", nil) // answers nothing
	c := dial(t, r.addr)
	most := limits.Default().Clients.MaxPipelined / 2
	for i := range most {
		c.Send(get(fmt.Sprint("r", i)))
	}
	r.Until("all commands taken", func() bool { return r.r.openRequests == most })
}

// TestClientGoneStopsAttempt stops the attempt of a request whose client has gone.
func TestClientGoneStopsAttempt(t *testing.T) {
	cache := newFakeCache(t)
	r := start(t, testConfig(t, routertest.SilentDiscovery(t), nil, host("c1", cache.Addr(), "in_service")), nil, nil)
	c := dial(t, r.addr)
	c.Send(get("r1"))
	receive(t, cache.Commands, "command")
	c.Close()
	receive(t, cache.Ended, "end of the attempt's connection")
	r.idle()
}

// TestSlowReaderDoesNotDelayOthers has one client read nothing of many large answers.
func TestSlowReaderDoesNotDelayOthers(t *testing.T) {
	cache := newFakeCache(t)
	r := start(t, testConfig(t, routertest.SilentDiscovery(t), func(in map[string]any) {
		in["limits"].(map[string]any)["memory_mb"] = 4
	}, host("c1", cache.Addr(), "in_service")), nil, nil)
	large := "*3\r\n$65536\r\n" + strings.Repeat("v", resp.MaxValueBytes) + "\r\n$-1\r\n$-1\r\n"
	var large64 atomic.Int64
	cache.Saying(t, func(id string) string {
		if !strings.HasPrefix(id, "slow") {
			return served
		}
		large64.Add(1)
		return large
	})
	slow := dial(t, r.addr)
	slow.SetReadBuffer(4096)
	for i := range 64 {
		slow.Send(get(fmt.Sprint("slow", i)))
	}
	other := dial(t, r.addr)
	for range 50 {
		other.Send(get("quick"))
		if got := other.Line(); got != "value" && !strings.HasPrefix(got, "-") {
			t.Fatalf("answer %q", got)
		}
	}
	if large64.Load() == 0 {
		t.Error("the slow reader was not served at all")
	}
}

func TestPingWithoutCachesIsLoading(t *testing.T) {
	r := start(t, testConfig(t, routertest.SilentDiscovery(t), nil), nil, nil)
	c := dial(t, r.addr)
	c.Send(words("PING"))
	if got := c.Line(); !strings.HasPrefix(got, "-LOADING") {
		t.Errorf("answer %q", got)
	}
	c.Send(get("r1")) // no cache: the module refuses
	if got := c.Line(); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("answer %q", got)
	}
}

// TestOpenRequestsBounded rejects requests over the settings' bound before they reach the module, and counts them.
func TestOpenRequestsBounded(t *testing.T) {
	cache := newFakeCache(t)
	r := start(t, testConfig(t, routertest.SilentDiscovery(t), func(in map[string]any) {
		in["settings"].(map[string]any)["limits"].(map[string]any)["maxOpen"] = 1
	}, host("c1", cache.Addr(), "in_service")), nil, nil)
	c := dial(t, r.addr)
	c.Send(get("r1"))
	cmd := receive(t, cache.Commands, "command")
	other := dial(t, r.addr)
	other.Send(get("r2"))
	other.Want("-BUSY")
	r.Do(func() { wantCounted(t, r.r, eventlog.RequestRejected, reasonOpenRequests) })
	cmd.Reply(t, served)
	c.Want("value")
}

// TestDuplicateIDRefusedWhileRequestOpen refuses the name of an open request until all attempts of that request have
// ended.
func TestDuplicateIDRefusedWhileRequestOpen(t *testing.T) {
	cache := newFakeCache(t)
	r := newRig(t, cache.Addr(), nil)
	q := r.sendCommand(get("one"))
	r.send(q)
	cmd := receive(t, cache.Commands, "command")
	turnedAway := func(when string) {
		t.Helper()
		again := dial(t, r.addr)
		again.Send(get("one"))
		if got := again.Line(); !strings.HasPrefix(got, "-ERR ") {
			t.Errorf("%s: %q", when, got)
		}
	}
	turnedAway("while it is open")
	r.perform(decide.Reject{ID: q.id})
	q.client.Want("-BUSY")
	turnedAway("while an attempt is out")
	cmd.Reply(t, served)
	r.want(decide.Served)
	r.sendCommand(get("one")) // after its end
}

// TestFirstServedAttemptIsFinalAnswer answers with the first value alone.
func TestFirstServedAttemptIsFinalAnswer(t *testing.T) {
	for wire, want := range map[string]decide.Result{served: decide.Served, "-ERR failed\r\n": decide.Errored,
		"-BUSY\r\n": decide.Rejected} {
		cache := newFakeCache(t)
		r := newRig(t, cache.Addr(), nil)
		q := r.request()
		r.send(q)
		receive(t, cache.Commands, "command").Reply(t, wire)
		o := r.want(want)
		if o.ID != q.id || o.Attempt != 0 || o.Last != (want == decide.Served) || o.Miss {
			t.Errorf("%q: told %+v", wire, o)
		}
		if o.Last {
			q.client.Want("value")
		}
	}
}

// TestCommandForwardedUnchangedButDeadline forwards all options of a command but d as they came.
func TestCommandForwardedUnchangedButDeadline(t *testing.T) {
	cache := newFakeCache(t)
	r := newRig(t, cache.Addr(), nil)
	q := r.sendCommand(words("C.SET", "key", "id", "c=put,t=acme,d=20000,k=5c0f,size=12", "\x00\r\nVALUE"))
	r.Do(func() {
		r.r.perform(decide.Send{ID: q.id, Cache: "c1", AttemptDeadline: r.Now() + 10_000_000})
	})
	got := receive(t, cache.Commands, "command").Args
	if got[0] != "C.SET" || got[1] != "key" || got[2] != "id" || got[4] != "\x00\r\nVALUE" {
		t.Errorf("the cache was sent %q", got)
	}
	meta := strings.Split(got[3], ",")
	d, err := strconv.Atoi(strings.TrimPrefix(meta[2], "d="))
	meta[2] = "d"
	if strings.Join(meta, ",") != "c=put,t=acme,d,k=5c0f,size=12" || err != nil || d < 1 || d > 10_000 {
		t.Errorf("names and values %q", got[3])
	}
}

// TestFinalAnswerStopsHalfWrittenAttempt sends no more of an attempt once its request has its final answer; the
// attempt never ran.
func TestFinalAnswerStopsHalfWrittenAttempt(t *testing.T) {
	addr, conns := routertest.DeafCache(t)
	r := newRig(t, addr, nil)
	q := r.request()
	// The command on the wire is made huge: no socket takes it at once.
	r.Do(func() {
		request := r.r.requests[q.id]
		s := &attempt{router: r.r, request: request}
		s.Attempt = upstream.Attempt{Request: hugeWork{s}, SentAt: r.Now(), Deadline: request.deadline}
		request.attempts = append(request.attempts, s)
		request.attemptsInFlight++
		r.r.pool.Start("c1", &s.Attempt)
	})
	if _, err := receive(t, conns, "connection").Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	r.Do(func() {
		s := r.r.requests[q.id].attempts[0]
		if !s.Unwritten() {
			t.Error("it passes for written")
		}
		r.r.perform(decide.Reject{ID: q.id})
		if !s.Ended() {
			t.Error("it goes on")
		}
	})
	q.client.Want(strings.TrimSuffix(frontend.BusyReply, "\r\n"))
}

// hugeWork is a sending whose command no socket takes at once.
type hugeWork struct{ *attempt }

func (w hugeWork) Encode(b []byte, _ Time) []byte { return append(b, make([]byte, 64<<20)...) }

// TestQueuedAttemptOfFinishedRequestNotSent checks a queued attempt once more before its first byte.
func TestQueuedAttemptOfFinishedRequestNotSent(t *testing.T) {
	for name, end := range map[string]func(*rig, sentRequest){
		"refused":   func(r *rig, q sentRequest) { r.perform(decide.Reject{ID: q.id}) },
		"failed":    func(r *rig, q sentRequest) { r.perform(decide.Fail{ID: q.id}) },
		"cancelled": func(r *rig, q sentRequest) { r.perform(decide.Cancel{ID: q.id, Attempt: 0}) },
		"departed":  func(r *rig, q sentRequest) { q.client.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			cache := newFakeCache(t)
			r := newRig(t, cache.Addr(), func(c *Config) { c.Settings.Routers = 1000 })
			var busy []routertest.Command
			for range limits.Default().Caches.MinConnections {
				r.send(r.request())
				busy = append(busy, receive(t, cache.Commands, "command"))
			}
			q := r.request()
			r.send(q)
			end(r, q)
			r.want(decide.NotSent)
			for _, cmd := range busy {
				cmd.Reply(t, served)
				r.want(decide.Served)
			}
			r.send(r.sendCommand(get("last")))
			if got := receive(t, cache.Commands, "command"); got.Args[2] != "last" {
				t.Errorf("the cache was sent %q", got.Args)
			}
		})
	}
}

// TestClientTimeoutBoundedBySettings bounds the timeout that a command claims by the longest client timeout of the
// settings.
func TestClientTimeoutBoundedBySettings(t *testing.T) {
	r := newRig(t, "127.0.0.1:1", nil)
	q := r.sendCommand(words("C.GET", "k", "id", "c=read,d=2000000000"))
	r.Do(func() {
		if d := r.r.requests[q.id].deadline; d > r.Now()+20_000_000 {
			t.Errorf("deadline %d at %d", d, r.Now())
		}
	})
}

// TestIdleClientsClosedForNewOnes closes idle clients where new ones need their descriptors.
func TestIdleClientsClosedForNewOnes(t *testing.T) {
	cache := newFakeCache(t)
	cfg := testConfig(t, routertest.SilentDiscovery(t), func(in map[string]any) {
		in["limits"].(map[string]any)["sockets"] = minSockets
	}, host("c1", cache.Addr(), "in_service"))
	r := start(t, cfg, nil, nil)
	busy := dial(t, r.addr)
	busy.Send(get("r1"))
	cmd := receive(t, cache.Commands, "command")
	most, _ := cfg.Limits.descriptorQuotas()
	var all []*routertest.Client
	for range 4 * most {
		c := dial(t, r.addr)
		c.Send(words("PING"))
		c.Want("+PONG")
		all = append(all, c)
	}
	all[0].WantClosed()
	cmd.Reply(t, served) // one with work in hand is left alone
	busy.Want("value")
}

// TestOperatorLimitsApply applies the limits of the operators' file on both sides.
func TestOperatorLimitsApply(t *testing.T) {
	cfg := testConfig(t, routertest.SilentDiscovery(t), nil)
	cfg.OperatorLimits.Clients.MaxConsecutiveErrors = 2
	cfg.OperatorLimits.Clients.CommandTime = 100 * time.Millisecond
	r := start(t, cfg, nil, nil)
	flood := dial(t, r.addr)
	flood.Send(strings.Repeat("NOTHING\r\n", 3))
	for range 2 {
		if got := flood.Line(); !strings.HasPrefix(got, "-ERR ") {
			t.Errorf("answer %q", got)
		}
	}
	flood.WantClosed()
	halting := dial(t, r.addr)
	began := time.Now()
	halting.Send("*1\r\n")
	if got := halting.Line(); !strings.Contains(got, "does not go on") {
		t.Errorf("answer %q", got)
	}
	if took := time.Since(began); took >= limits.Default().Clients.CommandTime {
		t.Errorf("a command that stops was waited for %s", took)
	}
}
