package machine

import (
	"fmt"
	"net/netip"
	"syscall"
)

const (
	maxPacketBytes    = 2048 // longer datagrams are dropped
	maxPacketsPerTurn = 64
	burstPackets      = 30     // the socket pauses above this number of datagrams in burstWindow
	burstWindow       = 15_000 // length of the window and of the pause, in microseconds
)

// packetConn sends and receives datagrams over UDP.
type packetConn struct {
	m        *Real
	fd       int // negative once closed
	slot     slotRef
	addr     netip.AddrPort
	onPacket func(from string, b []byte)

	windowStart   Time
	windowPackets int // datagrams received in the window
	pause         *timer
}

// ListenPacket implements Machine.
func (m *Real) ListenPacket(addr string, onPacket func(from string, b []byte)) (PacketConn, error) {
	p, err := m.listenPacket(addr, onPacket)
	if err != nil {
		return nil, fmt.Errorf("listen for datagrams at %s: %w", addr, contractListenError(err))
	}
	return p, nil
}

func (m *Real) listenPacket(addr string, onPacket func(string, []byte)) (*packetConn, error) {
	ap, err := parseAddress(addr)
	if err != nil {
		return nil, err
	}
	p := &packetConn{m: m, onPacket: onPacket}
	err = m.retryShortage(func() (err error) {
		p.fd, err = m.boundSocket(ap, syscall.SOCK_DGRAM)
		return err
	})
	if err != nil {
		return nil, err
	}
	p.addr = localAddr(p.fd)
	p.slot = m.poll.allocate(p)
	p.watch()
	if m.packets == nil {
		m.packets = newReceiveBuffers(&m.kernel)
	}
	return p, nil
}

// event implements watcher.
func (p *packetConn) event(uint32) { p.pauseIfBusy(p.receiveAll()) }

// receiveAll passes up to about maxPacketsPerTurn waiting datagrams to onPacket and returns their number.
func (p *packetConn) receiveAll() (received int) {
	for received < maxPacketsPerTurn && p.fd >= 0 {
		n, err := p.m.packets.receive(p.fd)
		if err == syscall.EINTR {
			continue
		}
		if err != nil {
			return received // no more datagrams, or an error that this call cleared from the socket
		}
		for i := 0; i < n && p.fd >= 0; i++ {
			// A truncated datagram could be read as a complete one.
			if from, b, complete := p.m.packets.packet(i); complete {
				p.m.readClock()
				p.onPacket(from, b)
			}
		}
		if received += n; n < maxPacketsPerCall {
			return received
		}
	}
	return received
}

// pauseIfBusy stops watching the socket for burstWindow if datagrams arrive at a high rate. Waking the loop for each datagram
// would cost more than reading the datagrams.
func (p *packetConn) pauseIfBusy(received int) {
	now := p.m.Now()
	if now-p.windowStart > burstWindow {
		p.windowStart, p.windowPackets = now, 0
	}
	if p.windowPackets += received; p.windowPackets <= burstPackets || p.fd < 0 || p.pause != nil {
		return
	}
	p.m.poll.unwatch(p.fd)
	p.watchLater(burstWindow)
}

// watch registers the socket with the poller, or retries later if the kernel has no memory.
func (p *packetConn) watch() {
	if p.m.poll.watch(p.fd, eventIn, p.slot) != nil {
		p.watchLater(shortageRetryDelay)
	}
}

func (p *packetConn) watchLater(wait Time) {
	p.pause = p.m.at(p.m.Now()+wait, func() {
		p.pause = nil
		p.watch()
	})
}

// Addr implements PacketConn.
func (p *packetConn) Addr() string { return p.addr.String() }

// Send implements PacketConn.
func (p *packetConn) Send(to string, b []byte) error {
	if p.fd < 0 {
		return ErrClosed
	}
	ap, err := parseAddress(to)
	if err != nil {
		return err
	}
	if p.addr.Addr().Is6() && ap.Addr().Is4() {
		ap = netip.AddrPortFrom(netip.AddrFrom16(ap.Addr().As16()), ap.Port())
	}
	for {
		err := p.m.kernel.SendTo(p.fd, b, toSockaddr(ap))
		switch err {
		case nil:
			return nil
		case syscall.EINTR:
		case syscall.EAGAIN, syscall.ENOBUFS, syscall.ENOMEM:
			return ErrWait
		default:
			return fmt.Errorf("send to %s: %w", to, contractError("sendto", err))
		}
	}
}

// Close implements PacketConn.
func (p *packetConn) Close() {
	if p.fd < 0 {
		return
	}
	if p.pause != nil {
		p.pause.Stop()
	} else {
		p.m.poll.unwatch(p.fd)
	}
	p.m.poll.release(p.slot)
	p.closeDescriptor()
}

// closeDescriptor implements watcher.
func (p *packetConn) closeDescriptor() {
	syscall.Close(p.fd)
	p.fd = -1
}
