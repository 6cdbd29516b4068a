package machine

import (
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Kernel holds the system calls that a real machine makes. Each field is named after its manual page and returns the errors
// that the page documents. Besides these calls, the machine closes and configures sockets directly, and the standard library
// makes calls for signals and worker processes.
//
// RealKernel returns the calls of Linux. Tests and trial builds pass a copy in which some calls fail (package faultkernel), so
// that the handling of an error can be tested without bringing the kernel into the failing state.
type Kernel struct {
	EpollCreate func() (fd int, err error)
	EpollCtl    func(epoll, op, fd int, event *syscall.EpollEvent) error
	// EpollPoll is epoll_wait without waiting. The call can't block, so that it bypasses the Go scheduler.
	EpollPoll func(epoll int, events []syscall.EpollEvent) (n int, err error)
	EpollWait func(epoll int, events []syscall.EpollEvent, milliseconds int) (n int, err error)
	// Poll is poll(2) on one descriptor, without waiting.
	Poll    func(fd int, events int16) (revents int16, err error)
	EventFD func() (fd int, err error)
	Write   func(fd int, b []byte) (n int, err error)

	Socket     func(family, kind int) (fd int, err error)
	SocketPair func() (ends [2]int, err error)
	Bind       func(fd int, at syscall.Sockaddr) error
	Listen     func(fd, backlog int) error
	Accept     func(fd int) (connection int, from syscall.Sockaddr, err error)
	Connect    func(fd int, to syscall.Sockaddr) error
	Recv       func(fd int, b []byte, flags int) (n int, err error)
	Send       func(fd int, b []byte) (n int, err error)
	SendTo     func(fd int, b []byte, to syscall.Sockaddr) error
	// Unread is the number of bytes that have arrived and are not read (ioctl SIOCINQ).
	Unread func(fd int) (n int, err error)
	// Undelivered is the number of bytes written that the peer has not acknowledged (ioctl SIOCOUTQ).
	Undelivered func(fd int) (n int, err error)
	// SinceLastReceived is the time since the last byte arrived, in whole milliseconds (TCP_INFO of tcp(7)).
	SinceLastReceived func(fd int) (time.Duration, error)
	// RecvMany is recvmmsg.
	RecvMany func(fd int, messages []Message) (n int, err error)

	// Wall is the system clock, which may step.
	Wall func() time.Time
	Disk Disk
}

// Message is a struct mmsghdr of recvmmsg(2).
type Message struct {
	header syscall.Msghdr
	n      uint32
	_      [4]byte
}

// RealKernel returns the system calls of Linux.
func RealKernel() Kernel {
	return Kernel{
		EpollCreate: func() (int, error) { return syscall.EpollCreate1(syscall.EPOLL_CLOEXEC) },
		EpollCtl:    syscall.EpollCtl,
		EpollPoll:   epollPoll,
		EpollWait:   syscall.EpollWait,
		Poll:        pollNow,
		EventFD:     eventFD,
		Write:       syscall.Write,
		Socket: func(family, kind int) (int, error) {
			return syscall.Socket(family, kind|syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC, 0)
		},
		SocketPair: func() ([2]int, error) {
			return syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
		},
		Bind:   syscall.Bind,
		Listen: syscall.Listen,
		Accept: func(fd int) (int, syscall.Sockaddr, error) {
			return syscall.Accept4(fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		},
		Connect: syscall.Connect,
		Recv: func(fd int, b []byte, flags int) (int, error) {
			return transfer(syscall.SYS_RECVFROM, fd, b, flags|syscall.MSG_DONTWAIT)
		},
		Send: func(fd int, b []byte) (int, error) {
			return transfer(syscall.SYS_SENDTO, fd, b, syscall.MSG_NOSIGNAL|syscall.MSG_DONTWAIT)
		},
		SendTo: func(fd int, b []byte, to syscall.Sockaddr) error {
			return syscall.Sendto(fd, b, syscall.MSG_DONTWAIT|syscall.MSG_NOSIGNAL, to)
		},
		Unread:            func(fd int) (int, error) { return unix.IoctlGetInt(fd, unix.SIOCINQ) },
		Undelivered:       func(fd int) (int, error) { return unix.IoctlGetInt(fd, unix.SIOCOUTQ) },
		SinceLastReceived: sinceLastReceived,
		RecvMany:          recvMany,
		Wall:              time.Now,
		Disk:              realDisk{},
	}
}

func eventFD() (int, error) {
	fd, _, errno := syscall.Syscall(syscall.SYS_EVENTFD2, 0, syscall.O_NONBLOCK|syscall.O_CLOEXEC, 0)
	if errno != 0 {
		return -1, errno
	}
	return int(fd), nil
}

func epollPoll(epoll int, events []syscall.EpollEvent) (int, error) {
	n, _, errno := syscall.RawSyscall6(syscall.SYS_EPOLL_PWAIT, uintptr(epoll),
		uintptr(unsafe.Pointer(unsafe.SliceData(events))), uintptr(len(events)), 0, 0, 0)
	if errno != 0 {
		return 0, errno
	}
	return int(n), nil
}

// pollFD is a struct pollfd of poll(2).
type pollFD struct {
	fd              int32
	events, revents int16
}

func pollNow(fd int, events int16) (int16, error) {
	p := pollFD{fd: int32(fd), events: events}
	var now syscall.Timespec
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PPOLL, uintptr(unsafe.Pointer(&p)), 1, uintptr(unsafe.Pointer(&now)), 0, 0, 0)
	if errno != 0 {
		return 0, errno
	}
	return p.revents, nil
}

// transfer makes a send or receive call on a connected socket.
func transfer(call uintptr, fd int, b []byte, flags int) (int, error) {
	n, _, errno := syscall.Syscall6(call, uintptr(fd),
		uintptr(unsafe.Pointer(unsafe.SliceData(b))), uintptr(len(b)), uintptr(flags), 0, 0)
	if errno != 0 {
		return 0, errno
	}
	return int(n), nil
}

func sinceLastReceived(fd int) (time.Duration, error) {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0, err
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, nil
}

func recvMany(fd int, messages []Message) (int, error) {
	n, _, errno := syscall.Syscall6(syscall.SYS_RECVMMSG, uintptr(fd), uintptr(unsafe.Pointer(unsafe.SliceData(messages))),
		uintptr(len(messages)), syscall.MSG_DONTWAIT, 0, 0)
	if errno != 0 {
		return 0, errno
	}
	return int(n), nil
}
