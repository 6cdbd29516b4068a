package frontend

import (
	"strings"
	"testing"

	"starlingwinch/decide"
	"starlingwinch/internal/resp"
)

// TestMalformedCommands: what is wrong is answered and never sent on; where the bytes can't be
// told apart any more, the connection ends.
func TestMalformedCommands(t *testing.T) {
	r := newRig(t, nil)
	for _, c := range []struct {
		wire string
		ends bool
	}{
		{words("FLUSHALL"), false},
		{words("C.GET"), false},
		{words("C.GET", "k", "id"), false},
		{words("C.GET", "k", "id", "c=read"), false},
		{words("C.GET", "k", "id", "d=10"), false},
		{words("C.GET", "k", "id", "c=read,d=x"), false},
		{words("C.GET", "k", "id", "c=read,d=-1"), false},
		{words("C.GET", "k", "id", "c=read,d=1,d=2"), false},
		{words("C.GET", "", "id", "c=read,d=10"), false},
		{words("C.GET", "k", "id", "c=read,d=10", "value"), false},
		{words("C.SET", "k", "id", "c=put,d=10"), false},
		{words("C.GET", "k", "id", "c=none,d=10"), false},
		{words("C.GET", "k", "id", "c=read,c=read,d=10"), false},
		{words("C.GET", "k", "id", "c=read,d=+10"), false},
		{words("C.GET", "k", "", "c=read,d=10"), false},
		{"C.GET k id c=read,d=10\r\n", false},
		{words("C.GET", strings.Repeat("k", resp.MaxWordBytes+1), "id", "c=read,d=10"), true},
		{"*+1\r\n$4\r\nPING\r\n", true},
		{"*-1\r\n", true},
		{"* 1\r\n", true},
		{"*1\r\n$04\r\nPING\r\n", true},
		{"*5\r\n$5\r\nC.SET\r\n$1\r\nk\r\n$1\r\ni\r\n$9\r\nc=put,d=9\r\n$60000000\r\n", true},
		{strings.Repeat("x", resp.MaxWordBytes+1), true},
		{"\x00\xff\x01", true},
		{"FLUSHALL\r\n", false},
		{"*1\r\n$-2\r\n", true},
		{"*1\r\n$9223372036854775807\r\n", true},
		{"*x\r\n", true},
		{"*1\r\n!3\r\n", true},
		{"$4 PING\r\n", true},
		{"*2\r\n$5\r\nC.GETXX", true},
		{"*5\r\n$5\r\nC.SET\r\n$70000\r\n" + strings.Repeat("x", 2*resp.MaxCommandBytes), true},
	} {
		cl := r.dial()
		cl.Send(c.wire)
		if got := cl.Line(); !strings.HasPrefix(got, "-ERR ") {
			t.Errorf("%.60q: answer %q", c.wire, got)
		}
		if c.ends {
			cl.WantClosed()
		} else {
			cl.Send(words("PING"))
			cl.Want("+PONG")
		}
		cl.Close()
	}
	r.none()
	r.empty()
}

// TestVerbAndEffectAreTwoThings: the settings may call a read unsafe or keyed, and a write safe. Where a keyed class comes
// without its key, no cache could drop a repeat, and it counts as unsafe.
func TestVerbAndEffectAreTwoThings(t *testing.T) {
	classes := []decide.Class{{Name: "safe", Semantics: decide.Idempotent}, {Name: "keyed", Semantics: decide.IdempotentByKey}, {Name: "once"}}
	for _, c := range []struct {
		meta            string
		unsafe, unkeyed bool
	}{
		{"c=safe,d=9", false, false}, {"c=keyed,d=9,k=1", false, false}, {"c=keyed,d=9", true, true}, {"c=keyed,d=9,k=", true, true},
		{"c=once,d=9", true, false}, {"c=once,d=9,k=1", true, false},
	} {
		for _, args := range [][]string{{"C.GET", "k", "i", c.meta}, {"C.SET", "k", "i", c.meta, "value"}} {
			var words [][]byte
			for _, a := range args {
				words = append(words, []byte(a))
			}
			var cmd Command
			if err := cmd.Parse(words, 50, classes); err != nil {
				t.Errorf("%v: %v", args, err)
			}
			if cmd.NonIdempotent != c.unsafe || cmd.IdempotencyKeyMissing != c.unkeyed || cmd.Write != (args[0] == "C.SET") {
				t.Errorf("%v: unsafe %t, without its key %t, write %t", args, cmd.NonIdempotent, cmd.IdempotencyKeyMissing, cmd.Write)
			}
		}
	}
}

// TestTimeIsCutAtWhatTheClassAllows, its own and no other's.
func TestTimeIsCutAtWhatTheClassAllows(t *testing.T) {
	classes := []decide.Class{{Name: "short", Semantics: decide.Idempotent, ClientTimeout: 1_200_000},
		{Name: "long", Semantics: decide.Idempotent, ClientTimeout: 3_000_000}}
	for class, want := range map[string]decide.Time{"short": 1_200_000, "long": 3_000_000} {
		args := [][]byte{[]byte("C.GET"), []byte("k"), []byte("i"), []byte("c=" + class + ",d=9000")}
		var cmd Command
		err := cmd.Parse(args, 50, classes)
		if err != nil || cmd.Timeout != want {
			t.Errorf("%s waits %d, %v", class, cmd.Timeout, err)
		}
	}
}

// TestHTTPIsClosed. The danger: a page in a browser posts to the router's address; line by line its
// header is skipped as bad commands, and the command in its body is carried out.
func TestHTTPIsClosed(t *testing.T) {
	r := newRig(t, nil)
	for _, head := range []string{"POST / HTTP/1.1\r\n", "GET / HTTP/1.1\r\n", "Host: here\r\n", "post /\r\n"} {
		c := r.dial()
		c.Send(head + "\r\n" + get("r1"))
		if got := c.Line(); !strings.HasPrefix(got, "-ERR Protocol error") {
			t.Errorf("%q: %q", head, got)
		}
		c.WantClosed()
	}
	r.none()
}

// TestFloodOfBadCommands ends with the connection, and others are served meanwhile.
func TestFloodOfBadCommands(t *testing.T) {
	r := newRig(t, nil)
	bad, good := r.dial(), r.dial()
	most := r.f.o.Limits.MaxConsecutiveErrors
	bad.Send(strings.Repeat(words("C.GET", "k", "id", "c=none,d=10"), most))
	for range most {
		if got := bad.Line(); !strings.HasPrefix(got, "-ERR ") {
			t.Errorf("answer %q", got)
		}
	}
	bad.WantClosed()
	good.Send(get("r1"))
	r.answer(r.next(), value)
	good.Want("value")
}

// FuzzParseCommand: what is taken has a class, a bounded time and goes on as it came but for d.
func FuzzParseCommand(f *testing.F) {
	f.Add([]byte(get("r1")))
	f.Add([]byte(words("C.SET", "k", "id", "c=put,t=a,d=9,k=5c,size=1", "value")))
	f.Add([]byte(words("C.GET", "k", "id", ",,d=5,c=read,=,h=-1")))
	f.Fuzz(func(t *testing.T, wire []byte) {
		args, used, err := resp.NextCommand(wire)
		if err != nil || used == 0 || len(args) == 0 {
			return
		}
		var cmd, next Command
		if err := cmd.Parse(args, used, classes); err != nil {
			return
		}
		if cmd.Timeout < 0 || cmd.Timeout > 20_000_000 || cmd.Cost < 0 || cmd.ID() == "" {
			t.Fatalf("taken: %+v", cmd)
		}
		out := cmd.Encode(nil, cmd.Timeout)
		again, n, err := resp.NextCommand(out)
		if err != nil || n != len(out) {
			t.Fatalf("what goes on can't be read: %q", out)
		}
		err = next.Parse(again, n, classes)
		if err != nil || next.Class != cmd.Class || next.Tenant != cmd.Tenant || next.KeyHash != cmd.KeyHash ||
			next.Cost != cmd.Cost || next.Write != cmd.Write || next.Timeout > max(cmd.Timeout, 1000) {
			t.Fatalf("%+v went on as %+v, %v", cmd, next, err)
		}
	})
}

func TestRetriesAreMarkedByTheirClients(t *testing.T) {
	for meta, want := range map[string]bool{"c=read,d=10,r=1": true, "c=read,d=10,r=0": false, "c=read,d=10": false} {
		args := [][]byte{[]byte("C.GET"), []byte("k"), []byte("id"), []byte(meta)}
		var c Command
		err := c.Parse(args, 40, classes)
		if err != nil || c.Retry != want {
			t.Errorf("%s: retry %v, %v", meta, c.Retry, err)
		}
	}
}

func TestSlotKnowsItsClientsAddressAndItsConnectionsFirstRequest(t *testing.T) {
	r := newRig(t, nil)
	one, two := r.dial(), r.dial()
	one.Send(get("r1"))
	first := r.next()
	one.Send(get("r2"))
	second := r.next()
	two.Send(get("r3"))
	third := r.next()
	if !first.FirstOnConnection || second.FirstOnConnection || !third.FirstOnConnection {
		t.Errorf("first on their connections: %v, %v, %v", first.FirstOnConnection, second.FirstOnConnection, third.FirstOnConnection)
	}
	if first.Client() != third.Client() || first.Client() != addressHash("127.0.0.1:1") {
		t.Error("clients of one address are told apart by their ports")
	}
	if addressHash("127.0.0.1:1") == addressHash("127.0.0.2:1") || addressHash("[::1]:7") != addressHash("[::1]:8") {
		t.Error("addresses are not told by their IP addresses alone")
	}
	for _, a := range []asked{first, second, third} {
		r.answer(a, value)
	}
	var accepted int
	r.Do(func() { accepted = r.f.Accepted() })
	if accepted != 2 {
		t.Errorf("%d connections came in, by the front's count", accepted)
	}
}
