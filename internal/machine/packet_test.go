package machine

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

func TestDatagramsArriveWholeWithSender(t *testing.T) {
	r := startLoop(t, Options{})
	for _, at := range loopbackAddresses() {
		type datagram struct{ from, text string }
		got := make(chan datagram, 256)
		var a, b PacketConn
		r.runInLoop(func() {
			var err error
			a, err = r.ListenPacket(at, func(from string, p []byte) { got <- datagram{from, string(p)} })
			if err != nil {
				t.Error(err)
				return
			}
			b, err = r.ListenPacket(at, func(string, []byte) {})
			if err != nil {
				t.Error(err)
				return
			}
			for i := range 100 { // more than the machine receives in one turn
				if err := b.Send(a.Addr(), fmt.Appendf(nil, "%d", i)); err != nil {
					t.Error(err)
				}
			}
			b.Send(a.Addr(), make([]byte, maxPacketBytes+1))
			b.Send(a.Addr(), []byte(strings.Repeat("x", maxPacketBytes)))
		})
		for i := range 100 {
			if d := await(t, "a datagram", got); d != (datagram{b.Addr(), fmt.Sprint(i)}) {
				t.Fatalf("datagram %d: got %v, want text %d from %s", i, d, i, b.Addr())
			}
		}
		if d := await(t, "the longest datagram", got); len(d.text) != maxPacketBytes {
			t.Errorf("longest datagram: got %d bytes, want %d, and none of the longer datagram", len(d.text), maxPacketBytes)
		}
		r.runInLoop(func() {
			if err := b.Send("nowhere", nil); !errors.Is(err, errNoIP) {
				t.Errorf("Send to an invalid address: got error %v, want errNoIP", err)
			}
			b.Close()
			b.Close()
			if err := b.Send(a.Addr(), nil); err != ErrClosed {
				t.Errorf("Send after Close: got error %v, want ErrClosed", err)
			}
		})
	}
}

func TestPacketConnClosedInCallGetsNoNextDatagram(t *testing.T) {
	r := startLoop(t, Options{})
	calls := 0
	r.runInLoop(func() {
		var p PacketConn
		p, err := r.ListenPacket("127.0.0.1:0", func(string, []byte) {
			calls++
			p.Close()
		})
		if err != nil {
			t.Error(err)
			return
		}
		p.Send(p.Addr(), []byte("one"))
		p.Send(p.Addr(), []byte("two"))
	})
	r.waitTurns()
	r.runInLoop(func() {
		if calls != 1 {
			t.Errorf("got %d calls, want 1", calls)
		}
	})
}

func TestUnspecifiedAddressReceivesBothFamilies(t *testing.T) {
	if len(loopbackAddresses()) < 2 {
		t.Skip("the host has no IPv6")
	}
	r := startLoop(t, Options{})
	from := make(chan string, 2)
	replies := make(chan string, 2)
	var ipv4 PacketConn
	r.runInLoop(func() {
		all, err := r.ListenPacket("[::]:0", func(f string, b []byte) { from <- f })
		if err != nil {
			t.Error(err)
			return
		}
		ipv4, err = r.ListenPacket("127.0.0.1:0", func(f string, b []byte) { replies <- string(b) })
		if err != nil {
			t.Error(err)
			return
		}
		_, port, _ := strings.Cut(all.Addr(), "[::]:")
		if err := ipv4.Send("127.0.0.1:"+port, []byte("x")); err != nil {
			t.Error(err)
		}
		if err := all.Send(ipv4.Addr(), []byte("y")); err != nil {
			t.Error(err)
		}
	})
	if f := await(t, "a datagram over IPv4", from); f != ipv4.Addr() {
		t.Errorf("got sender %s, want %s", f, ipv4.Addr())
	}
	if s := await(t, "the reply over IPv4", replies); s != "y" {
		t.Errorf("got reply %q, want \"y\"", s)
	}
}
