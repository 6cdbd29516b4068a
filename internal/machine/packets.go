package machine

import (
	"encoding/binary"
	"net/netip"
	"syscall"
	"unsafe"
)

// maxPacketsPerCall limits the datagrams that one system call receives. One call for each datagram would make a flood of
// datagrams expensive.
const maxPacketsPerCall = 16

// receiveBuffers holds the buffers of recvmmsg(2). A machine needs one set, because only its loop makes the call.
type receiveBuffers struct {
	kernel   *Kernel
	messages [maxPacketsPerCall]Message
	vectors  [maxPacketsPerCall]syscall.Iovec
	from     [maxPacketsPerCall]syscall.RawSockaddrAny
	bytes    [maxPacketsPerCall][maxPacketBytes]byte
	senders  [maxPacketsPerCall]senderAddress // addresses of recent senders as text
}

// senderAddress caches the text of an address.
type senderAddress struct {
	addr netip.AddrPort
	text string
}

func newReceiveBuffers(k *Kernel) *receiveBuffers {
	p := &receiveBuffers{kernel: k}
	for i := range p.messages {
		p.vectors[i].Base = &p.bytes[i][0]
		p.vectors[i].SetLen(maxPacketBytes)
		h := &p.messages[i].header
		h.Name, h.Iov, h.Iovlen = (*byte)(unsafe.Pointer(&p.from[i])), &p.vectors[i], 1
	}
	return p
}

// receive reads up to maxPacketsPerCall datagrams without blocking.
func (p *receiveBuffers) receive(fd int) (n int, err error) {
	for i := range p.messages {
		p.messages[i].header.Namelen = syscall.SizeofSockaddrAny
	}
	return p.kernel.RecvMany(fd, p.messages[:])
}

// packet returns the i-th datagram received and its sender. complete is false if the datagram was truncated.
func (p *receiveBuffers) packet(i int) (from string, b []byte, complete bool) {
	m := &p.messages[i]
	return p.senderText(i), p.bytes[i][:m.n], m.header.Flags&syscall.MSG_TRUNC == 0
}

// senderText returns the sender's address as text, from a cache of recent senders.
func (p *receiveBuffers) senderText(i int) string {
	addr := sender(&p.from[i])
	at := &p.senders[(uint(addr.Port())+uint(addr.Addr().As16()[15]))%maxPacketsPerCall]
	if at.addr != addr || at.text == "" {
		*at = senderAddress{addr, addr.String()}
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
		return unmapAddress(netip.AddrPortFrom(netip.AddrFrom16(sa.Addr), port(&sa.Port)))
	}
	return netip.AddrPort{}
}
