package gossip

import (
	"fmt"
	"testing"
)

// large is a view of so many members that have settled with nobody.
func large(b *testing.B, members int) *View {
	c := testConfig()
	for i := range members {
		c.Peers = append(c.Peers, fmt.Sprintf("10.1.%d.%d:7946", i/200, 1+i%200))
	}
	f, err := New(c)
	if err != nil {
		b.Fatal(err)
	}
	for i := range members {
		d := datagram{header: header{kind: ping, name: fmt.Sprintf("m%d", i), boot: 7, seq: 1, incarnation: c.Start}, nonce: 1}
		f.Handle(Time(i+1), &DatagramReceived{From: c.Peers[2+i], Data: d.append(nil)})
	}
	return f
}

// BenchmarkGarbage is what an unreadable datagram costs a view of three hundred.
func BenchmarkGarbage(b *testing.B) {
	f := large(b, 300)
	data := make([]byte, 200)
	data[0], data[1] = version, byte(ping)
	for n := range b.N {
		f.Handle(Time(1000+n), &DatagramReceived{From: "10.1.0.1:7946", Data: data})
	}
}

// BenchmarkStranger is what a readable one from nobody's address costs.
func BenchmarkStranger(b *testing.B) {
	f := large(b, 300)
	data := (&datagram{header: header{kind: ping, name: "x", boot: 9, seq: 1, incarnation: 1_796_000_000_000}, nonce: 3}).append(nil)
	for n := range b.N {
		f.Handle(Time(1000+n), &DatagramReceived{From: "10.9.9.9:1", Data: data})
	}
}

// BenchmarkPing is what a member's probe costs, with the answer.
func BenchmarkPing(b *testing.B) {
	f := large(b, 300)
	for n := range b.N {
		d := datagram{header: header{kind: ping, name: "m0", boot: 7, seq: uint64(n + 2), incarnation: 1_796_000_000_000}, nonce: 3}
		f.Handle(Time(1000+n), &DatagramReceived{From: f.cfg.Peers[2], Data: d.append(nil)})
	}
}
