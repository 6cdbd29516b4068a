package machine

import (
	"encoding/binary"
	"net/netip"
	"syscall"
	"unsafe"
)

// packetsACall is how many datagrams one call takes in. The danger: at a call for each, ten thousand of garbage a
// second cost a router a fifth of its quarter of a core.
const packetsACall = 16

// packets is what datagrams are received into, many at a time. The machine has one, as its loop is in one place.
type packets struct {
	kernel   *Kernel
	messages [packetsACall]Message
	pieces   [packetsACall]syscall.Iovec
	from     [packetsACall]syscall.RawSockaddrAny
	bytes    [packetsACall][packetMost]byte
	names    [packetsACall]named // senders that were seen last
}

// named is an address in words.
type named struct {
	addr netip.AddrPort
	text string
}

func newPackets(k *Kernel) *packets {
	p := &packets{kernel: k}
	for i := range p.messages {
		p.pieces[i].Base = &p.bytes[i][0]
		p.pieces[i].SetLen(packetMost)
		h := &p.messages[i].header
		h.Name, h.Iov, h.Iovlen = (*byte)(unsafe.Pointer(&p.from[i])), &p.pieces[i], 1
	}
	return p
}

// receive takes in what has come, up to packetsACall of it, without waiting.
func (p *packets) receive(fd int) (n int, err error) {
	for i := range p.messages {
		p.messages[i].header.Namelen = syscall.SizeofSockaddrAny
	}
	return p.kernel.RecvMany(fd, p.messages[:])
}

// at is the datagram that was received as number i, and its sender. whole is false where it was longer than what is taken in.
func (p *packets) at(i int) (from string, b []byte, whole bool) {
	m := &p.messages[i]
	return p.name(i), p.bytes[i][:m.n], m.header.Flags&syscall.MSG_TRUNC == 0
}

// name words a sender's address. Who sends often has been worded before.
func (p *packets) name(i int) string {
	addr := sender(&p.from[i])
	at := &p.names[(uint(addr.Port())+uint(addr.Addr().As16()[15]))%packetsACall]
	if at.addr != addr || at.text == "" {
		*at = named{addr, addr.String()}
	}
	return at.text
}

func sender(raw *syscall.RawSockaddrAny) netip.AddrPort {
	port := func(p *uint16) uint16 { return binary.BigEndian.Uint16((*[2]byte)(unsafe.Pointer(p))[:]) }
	switch raw.Addr.Family {
	case syscall.AF_INET:
		sa := (*syscall.RawSockaddrInet4)(unsafe.Pointer(raw))
		return netip.AddrPortFrom(netip.AddrFrom4(sa.Addr), port(&sa.Port))
	case syscall.AF_INET6:
		sa := (*syscall.RawSockaddrInet6)(unsafe.Pointer(raw))
		return plain(netip.AddrPortFrom(netip.AddrFrom16(sa.Addr), port(&sa.Port)))
	}
	return netip.AddrPort{}
}
