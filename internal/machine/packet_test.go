package machine

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

func TestDatagramsArriveWholeWithSender(t *testing.T) {
	r := newRig(t, Options{})
	for _, at := range loopbacks() {
		type datagram struct{ from, text string }
		got := make(chan datagram, 256)
		var a, b PacketConn
		r.do(func() {
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
			for i := range 100 { // more than a turn takes
				if err := b.Send(a.Addr(), fmt.Appendf(nil, "%d", i)); err != nil {
					t.Error(err)
				}
			}
			b.Send(a.Addr(), make([]byte, maxPacketBytes+1))
			b.Send(a.Addr(), []byte(strings.Repeat("x", maxPacketBytes)))
		})
		for i := range 100 {
			if d := await(t, "a datagram", got); d != (datagram{b.Addr(), fmt.Sprint(i)}) {
				t.Fatalf("%v came as number %d", d, i)
			}
		}
		if d := await(t, "the longest datagram", got); len(d.text) != maxPacketBytes {
			t.Errorf("%d bytes came of the longest, or a longer one was taken in", len(d.text))
		}
		r.do(func() {
			if err := b.Send("nowhere", nil); !errors.Is(err, errNoIP) {
				t.Errorf("an address that is none gives %v", err)
			}
			b.Close()
			b.Close()
			if err := b.Send(a.Addr(), nil); err != ErrClosed {
				t.Errorf("Send after Close gives %v", err)
			}
		})
	}
}

func TestPacketConnClosedInCallGetsNoNextDatagram(t *testing.T) {
	r := newRig(t, Options{})
	calls := 0
	r.do(func() {
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
	r.pass()
	r.do(func() {
		if calls != 1 {
			t.Errorf("%d calls came", calls)
		}
	})
}

func TestUnspecifiedAddressReceivesBothFamilies(t *testing.T) {
	if len(loopbacks()) < 2 {
		t.Skip("this machine has no IPv6")
	}
	r := newRig(t, Options{})
	from := make(chan string, 2)
	in := make(chan string, 2)
	var four PacketConn
	r.do(func() {
		all, err := r.ListenPacket("[::]:0", func(f string, b []byte) { from <- f })
		if err != nil {
			t.Error(err)
			return
		}
		four, err = r.ListenPacket("127.0.0.1:0", func(f string, b []byte) { in <- string(b) })
		if err != nil {
			t.Error(err)
			return
		}
		_, port, _ := strings.Cut(all.Addr(), "[::]:")
		if err := four.Send("127.0.0.1:"+port, []byte("x")); err != nil {
			t.Error(err)
		}
		if err := all.Send(four.Addr(), []byte("y")); err != nil {
			t.Error(err)
		}
	})
	if f := await(t, "a datagram over IPv4", from); f != four.Addr() {
		t.Errorf("it came from %s, not %s", f, four.Addr())
	}
	if s := await(t, "one back over IPv4", in); s != "y" {
		t.Errorf("%q came", s)
	}
}
