package gossip

import (
	"fmt"
	"testing"
)

// newLargeView returns a view with the given number of other members, which has not settled.
func newLargeView(b *testing.B, members int) *View {
	c := testConfig()
	for i := range members {
		c.Peers = append(c.Peers, fmt.Sprintf("10.1.%d.%d:7946", i/200, 1+i%200))
	}
	v, err := New(c)
	if err != nil {
		b.Fatal(err)
	}
	for i := range members {
		d := datagram{header: header{kind: ping, name: fmt.Sprintf("m%d", i), boot: 7, sequence: 1, incarnation: c.Start}, nonce: 1}
		v.Handle(Time(i+1), &DatagramReceived{From: c.Peers[2+i], Data: d.append(nil)})
	}
	return v
}

// BenchmarkGarbage measures the handling of an unreadable datagram by a view of 300 other members.
func BenchmarkGarbage(b *testing.B) {
	v := newLargeView(b, 300)
	data := make([]byte, 200)
	data[0], data[1] = version, byte(ping)
	for n := range b.N {
		v.Handle(Time(1000+n), &DatagramReceived{From: "10.1.0.1:7946", Data: data})
	}
}

// BenchmarkUnknownSender measures the handling of a readable datagram from an unknown address.
func BenchmarkUnknownSender(b *testing.B) {
	v := newLargeView(b, 300)
	data := (&datagram{header: header{kind: ping, name: "x", boot: 9, sequence: 1, incarnation: 1_796_000_000_000}, nonce: 3}).append(nil)
	for n := range b.N {
		v.Handle(Time(1000+n), &DatagramReceived{From: "10.9.9.9:1", Data: data})
	}
}

// BenchmarkPing measures the handling of a member's ping, including the acknowledgement.
func BenchmarkPing(b *testing.B) {
	v := newLargeView(b, 300)
	for n := range b.N {
		d := datagram{header: header{kind: ping, name: "m0", boot: 7, sequence: uint64(n + 2), incarnation: 1_796_000_000_000}, nonce: 3}
		v.Handle(Time(1000+n), &DatagramReceived{From: v.cfg.Peers[2], Data: d.append(nil)})
	}
}
