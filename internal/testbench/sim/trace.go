package sim

import (
	"encoding/binary"
	"math/bits"
)

// Event is one event as a timeline shows it.
type Event struct {
	At   Time
	Kind Kind
	Host string // on which it happens; empty for a script's
	Conn uint64 // number of the connection's end; 0 where it is none
	Peer string // address of the other side
	Data []byte // what arrives; valid during the call only
	Err  error  // of a dial
}

// record adds an event to the trace and passes it to OnEvent.
func (w *World) record(ev *event) {
	w.steps++
	host := ev.owner()
	w.acting = host
	h := mix(w.trace, uint64(ev.at))
	about := uint64(ev.kind)
	if host != nil {
		about |= host.id << 8
	}
	if ev.conn != nil {
		about |= ev.conn.id << 32
	}
	h = mix(h, about)
	if len(ev.data) > 0 {
		h = mixBytes(h, ev.data)
	}
	w.trace = h
	if w.OnEvent != nil {
		w.notifyObserver(ev, host)
	}
}

// notifyObserver calls OnEvent.
func (w *World) notifyObserver(ev *event, host *Host) {
	e := Event{At: ev.at, Kind: ev.kind, Data: ev.data, Err: ev.err, Peer: ev.from}
	if host != nil {
		e.Host = host.name
	}
	if ev.conn != nil {
		e.Conn = ev.conn.id
		e.Peer = ev.conn.remote
	}
	if ev.dial != nil && ev.dial.conn != nil {
		e.Conn = ev.dial.conn.id
		e.Peer = ev.dial.conn.remote
	}
	w.OnEvent(e)
}

// owner is the host on which the event happens.
func (ev *event) owner() *Host {
	switch {
	case ev.target != nil:
		return ev.target.host
	case ev.conn != nil:
		return ev.conn.host
	case ev.dial != nil:
		return ev.dial.hostOf(ev.kind)
	}
	return ev.host
}

// mix folds a number into a hash by a multiplication of 128 bits, as wyhash does.
func mix(h, x uint64) uint64 {
	hi, lo := bits.Mul64(h^x^0x9e3779b97f4a7c15, 0xa0761d6478bd642f)
	return hi ^ lo ^ bits.RotateLeft64(x, 29)
}

// mixBytes folds bytes into a hash.
func mixBytes(h uint64, b []byte) uint64 {
	h = mix(h, uint64(len(b)))
	for len(b) >= 8 {
		h = mix(h, binary.LittleEndian.Uint64(b))
		b = b[8:]
	}
	var last uint64
	for _, x := range b {
		last = last<<8 | uint64(x)
	}
	return mix(h, last)
}
