package machine

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"syscall"
)

// parseAddress parses an IP address and a port. An IPv4-mapped IPv6 address becomes an IPv4 address. An address with a zone is
// rejected.
func parseAddress(addr string) (netip.AddrPort, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil || ap.Addr().Zone() != "" {
		return netip.AddrPort{}, fmt.Errorf("%q: %w", addr, errNoIP)
	}
	return unmapAddress(ap), nil
}

func unmapAddress(ap netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
}

// socket opens a non-blocking socket of the address's family. Child processes do not inherit the socket.
func (m *Real) socket(ap netip.AddrPort, kind int) (int, error) {
	family := syscall.AF_INET6
	if ap.Addr().Is4() {
		family = syscall.AF_INET
	}
	return m.kernel.Socket(family, kind)
}

// boundSocket opens a socket boundSocket to an address. The IPv6 address of all interfaces accepts IPv4 peers too.
func (m *Real) boundSocket(ap netip.AddrPort, kind int) (int, error) {
	fd, err := m.socket(ap, kind)
	if err != nil {
		return -1, os.NewSyscallError("socket", err)
	}
	if ap.Addr().Is6() {
		only := 1
		if ap.Addr().IsUnspecified() {
			only = 0
		}
		syscall.SetsockoptInt(fd, syscall.IPPROTO_IPV6, syscall.IPV6_V6ONLY, only)
	}
	if kind == syscall.SOCK_STREAM {
		syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	}
	if err := m.kernel.Bind(fd, toSockaddr(ap)); err != nil {
		syscall.Close(fd)
		return -1, os.NewSyscallError("bind", err)
	}
	return fd, nil
}

func toSockaddr(ap netip.AddrPort) syscall.Sockaddr {
	if ap.Addr().Is4() {
		return &syscall.SockaddrInet4{Port: int(ap.Port()), Addr: ap.Addr().As4()}
	}
	return &syscall.SockaddrInet6{Port: int(ap.Port()), Addr: ap.Addr().As16()}
}

// fromSockaddr converts an IP socket address. It returns the zero AddrPort for other addresses.
func fromSockaddr(sa syscall.Sockaddr) netip.AddrPort {
	switch sa := sa.(type) {
	case *syscall.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(sa.Addr), uint16(sa.Port))
	case *syscall.SockaddrInet6:
		return unmapAddress(netip.AddrPortFrom(netip.AddrFrom16(sa.Addr), uint16(sa.Port)))
	}
	return netip.AddrPort{}
}

// localAddr returns a socket's local address, or the zero AddrPort if the kernel reports none.
func localAddr(fd int) netip.AddrPort {
	sa, err := syscall.Getsockname(fd)
	if err != nil {
		return netip.AddrPort{}
	}
	return fromSockaddr(sa)
}

// contractError maps an error of the kernel to a sentinel error of this package, if there is one, and otherwise adds the name of
// the system call.
func contractError(call string, err error) error {
	var errno syscall.Errno
	if !errors.As(err, &errno) || err != error(errno) {
		return err // a sentinel error, or an error that already names its call
	}
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return ErrRefused
	case errors.Is(err, syscall.ETIMEDOUT):
		return ErrTimeout
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return ErrReset
	case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE):
		return ErrDescriptors
	}
	return os.NewSyscallError(call, err)
}

// retryInterrupted repeats a system call while a signal interrupts it.
func retryInterrupted(call func() error) error {
	for {
		if err := call(); err != syscall.EINTR {
			return err
		}
	}
}

// recv is recv(2) on a connected socket, repeated while a signal interrupts it.
func (m *Real) recv(fd int, b []byte, flags int) (int, error) {
	for {
		if n, err := m.kernel.Recv(fd, b, flags); err != syscall.EINTR {
			return n, err
		}
	}
}

// send is send(2) on a connected socket, repeated while a signal interrupts it.
func (m *Real) send(fd int, b []byte) (int, error) {
	for {
		if n, err := m.kernel.Send(fd, b); err != syscall.EINTR {
			return n, err
		}
	}
}
