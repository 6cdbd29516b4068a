// Package faultkernel makes system calls of a machine fail as their manual pages say that they may: for a moment or for
// a while, by chance drawn from a seed. It serves the machine's contract tests and trial builds of the router; no
// product build has it.
package faultkernel

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"starlingwinch/internal/machine"
)

// Rates say which calls fail and how often: each float is the probability for one call, 0 for never.
type Rates struct {
	ShortReads   float64 // a read takes fewer bytes than have come
	MaxReadBytes int     // upper bound of a short read, in bytes; 0 stands for 1
	ShortWrites  float64 // a send takes fewer bytes than there is room for
	Interrupted  float64 // a call that may be interrupted by a signal is (EINTR)
	Accept       float64 // accept4: ECONNABORTED, ENFILE, ENOBUFS, ENOMEM, EPROTO
	Socket       float64 // socket, and socketpair: ENFILE, ENOBUFS, ENOMEM
	Connect      float64 // connect: EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EAGAIN
	Register     float64 // epoll_ctl: ENOMEM, ENOSPC; epoll_create1 and eventfd2: ENFILE, ENOMEM
	Wake         float64 // write to the eventfd: EINTR, EAGAIN
	Memory       float64 // send and recv: ENOBUFS, ENOMEM
	Broken       float64 // send and recv on a connection that was dialed: it is broken, ETIMEDOUT or EHOSTUNREACH
	Disk         float64 // a change on the disk: ENOSPC, EIO; a content may be half written

	Stall float64 // the process stands still before a send, for up to 0.15 s

	Burst time.Duration // for how long a call goes on failing once it has failed for a shortage

	ClockStep  time.Duration // by which the system's clock is wrong
	ClockAfter time.Duration // how long after the start the wrong time begins
}

// source draws which calls fail. Calls come from the loop and from work beside it.
type source struct {
	mu     sync.Mutex
	random *rand.Rand
	rates  Rates
	until  map[string]time.Time // calls that go on failing, and until when
	dialed map[int]bool         // descriptors that were connected
	broken map[int]error        // descriptors whose connection was broken, with the error
}

// Wrap gives a kernel whose calls fail. Equal seeds draw the same sequence; which call gets which draw depends on the
// order of the calls, which is real time's.
func Wrap(k machine.Kernel, seed uint64, rates Rates) machine.Kernel {
	s := &source{random: rand.New(rand.NewPCG(seed, 1)), rates: rates, until: map[string]time.Time{},
		dialed: map[int]bool{}, broken: map[int]error{}}
	real := k
	s.wrapPolling(&k, real)
	s.wrapOpening(&k, real)
	s.wrapTransfers(&k, real)
	k.Wall = s.wall(real.Wall)
	k.Disk = faultyDisk{real.Disk, s}
	return k
}

// fails draws whether a call fails, and how.
func (s *source) fails(call string, probability float64, how ...error) error {
	if probability <= 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.until[call]) {
		return how[s.random.IntN(len(how))]
	}
	if s.random.Float64() >= probability {
		return nil
	}
	if s.rates.Burst > 0 {
		s.until[call] = time.Now().Add(s.rates.Burst)
	}
	return how[s.random.IntN(len(how))]
}

// interrupted draws whether a signal interrupts a call.
func (s *source) interrupted() bool {
	if s.rates.Interrupted <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < s.rates.Interrupted
}

// shortened draws how many of n bytes a call is given, from 1 on.
func (s *source) shortened(n int, probability float64, most int) int {
	if probability <= 0 || n < 2 {
		return n
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.random.Float64() >= probability {
		return n
	}
	return 1 + s.random.IntN(min(n-1, max(1, most)))
}

func (s *source) wrapPolling(k *machine.Kernel, real machine.Kernel) {
	k.EpollCreate = func() (int, error) {
		if err := s.fails("epoll_create1", s.rates.Register, syscall.ENFILE, syscall.ENOMEM); err != nil {
			return -1, err
		}
		return real.EpollCreate()
	}
	k.EventFD = func() (int, error) {
		if err := s.fails("eventfd2", s.rates.Register, syscall.ENFILE, syscall.ENOMEM); err != nil {
			return -1, err
		}
		return real.EventFD()
	}
	k.EpollCtl = func(epoll, op, fd int, event *syscall.EpollEvent) error {
		if op == syscall.EPOLL_CTL_ADD {
			if err := s.fails("epoll_ctl", s.rates.Register, syscall.ENOMEM, syscall.ENOSPC); err != nil {
				return err
			}
		}
		return real.EpollCtl(epoll, op, fd, event)
	}
	k.EpollPoll = func(epoll int, events []syscall.EpollEvent) (int, error) {
		if s.interrupted() {
			return 0, syscall.EINTR
		}
		return real.EpollPoll(epoll, events)
	}
	k.EpollWait = func(epoll int, events []syscall.EpollEvent, milliseconds int) (int, error) {
		if s.interrupted() {
			return 0, syscall.EINTR
		}
		return real.EpollWait(epoll, events, milliseconds)
	}
	k.Write = func(fd int, b []byte) (int, error) {
		if err := s.fails("write", s.rates.Wake, syscall.EINTR, syscall.EAGAIN); err != nil {
			return 0, err
		}
		return real.Write(fd, b)
	}
}

func (s *source) wrapOpening(k *machine.Kernel, real machine.Kernel) {
	k.Socket = func(family, kind int) (int, error) {
		if err := s.fails("socket", s.rates.Socket, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM); err != nil {
			return -1, err
		}
		fd, err := real.Socket(family, kind)
		s.forget(fd)
		return fd, err
	}
	k.SocketPair = func() ([2]int, error) {
		if err := s.fails("socketpair", s.rates.Socket, syscall.ENFILE, syscall.ENOMEM); err != nil {
			return [2]int{-1, -1}, err
		}
		ends, err := real.SocketPair()
		s.forget(ends[0])
		return ends, err
	}
	k.Accept = func(fd int) (int, syscall.Sockaddr, error) {
		if s.interrupted() {
			return -1, nil, syscall.EINTR
		}
		if err := s.fails("accept4", s.rates.Accept, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO,
			syscall.ECONNABORTED); err != nil {
			return -1, nil, err
		}
		connection, from, err := real.Accept(fd)
		s.forget(connection)
		return connection, from, err
	}
	k.Connect = func(fd int, to syscall.Sockaddr) error {
		if err := s.fails("connect", s.rates.Connect, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENOBUFS,
			syscall.EAGAIN); err != nil {
			return err
		}
		s.mu.Lock()
		s.dialed[fd] = true
		s.mu.Unlock()
		return real.Connect(fd, to)
	}
}

// forget drops what was known of a descriptor's former owner.
func (s *source) forget(fd int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.dialed, fd)
	delete(s.broken, fd)
}

func (s *source) wrapTransfers(k *machine.Kernel, real machine.Kernel) {
	k.Recv = func(fd int, b []byte, flags int) (int, error) {
		if err := s.transferFails("recv", fd); err != nil {
			return 0, err
		}
		return real.Recv(fd, b[:s.shortened(len(b), s.rates.ShortReads, s.rates.MaxReadBytes)], flags)
	}
	k.Send = func(fd int, b []byte) (int, error) {
		s.hold()
		if err := s.transferFails("send", fd); err != nil {
			return 0, err
		}
		return real.Send(fd, b[:s.shortened(len(b), s.rates.ShortWrites, len(b))])
	}
	k.SendTo = func(fd int, b []byte, to syscall.Sockaddr) error {
		if s.interrupted() {
			return syscall.EINTR
		}
		if err := s.fails("sendto", s.rates.Memory, syscall.ENOBUFS, syscall.ENOMEM); err != nil {
			return err
		}
		return real.SendTo(fd, b, to)
	}
	k.RecvMany = func(fd int, messages []machine.Message) (int, error) {
		if s.interrupted() {
			return 0, syscall.EINTR
		}
		return real.RecvMany(fd, messages)
	}
}

// longestHold is for how long a process may stand still.
const longestHold = 150 * time.Millisecond

// hold draws whether the process stands still, and does so.
func (s *source) hold() {
	if s.rates.Stall <= 0 {
		return
	}
	s.mu.Lock()
	holds := s.random.Float64() < s.rates.Stall
	span := time.Duration(s.random.Int64N(int64(longestHold)))
	s.mu.Unlock()
	if holds {
		time.Sleep(span)
	}
}

// transferFails draws whether a call on a connected socket fails.
func (s *source) transferFails(call string, fd int) error {
	if s.interrupted() {
		return syscall.EINTR
	}
	if err := s.fails(call, s.rates.Memory, syscall.ENOBUFS, syscall.ENOMEM); err != nil {
		return err
	}
	if s.rates.Broken <= 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.broken[fd]; err != nil {
		return err
	}
	if !s.dialed[fd] || s.random.Float64() >= s.rates.Broken {
		return nil
	}
	s.broken[fd] = []error{syscall.ETIMEDOUT, syscall.EHOSTUNREACH}[s.random.IntN(2)]
	syscall.Shutdown(fd, syscall.SHUT_RDWR) // the other side must see it too
	return s.broken[fd]
}

// wall is the system's clock, which steps.
func (s *source) wall(real func() time.Time) func() time.Time {
	start := time.Now()
	return func() time.Time {
		now := real()
		if s.rates.ClockStep != 0 && time.Since(start) >= s.rates.ClockAfter {
			now = now.Add(s.rates.ClockStep)
		}
		return now
	}
}
