package loopback

import (
	"net"
	"net/netip"
	"strconv"
	"syscall"
)

// port is a port of 127.0.0.1 that is held for a router over all its processes.
//
// While a router is down, one of the many connections of a run could otherwise get its port, and the restart would fail.
// A socket that is bound and does not listen keeps the port from being dealt out, and with SO_REUSEADDR on both
// sides the router can listen at it all the same.
type port struct {
	fd   int
	addr string
}

func reservePort() (*port, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	p := &port{fd: fd}
	if err := p.bind(); err != nil {
		p.release()
		return nil, err
	}
	return p, nil
}

func (p *port) bind() error {
	if err := syscall.SetsockoptInt(p.fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return err
	}
	if err := syscall.Bind(p.fd, &syscall.SockaddrInet4{Addr: netip.MustParseAddr("127.0.0.1").As4()}); err != nil {
		return err
	}
	at, err := syscall.Getsockname(p.fd)
	if err != nil {
		return err
	}
	p.addr = net.JoinHostPort("127.0.0.1", strconv.Itoa(at.(*syscall.SockaddrInet4).Port))
	return nil
}

func (p *port) release() { _ = syscall.Close(p.fd) }
