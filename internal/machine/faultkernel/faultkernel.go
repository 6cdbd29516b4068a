// Package faultkernel makes the system calls of a machine fail with errors that their manual pages document, once or for some
// time, at random from a seed. It serves the machine's contract tests and trial builds of the router. Product builds do not
// include it.
package faultkernel

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"starlingwinch/internal/machine"
)

// Rates configures which calls fail and how often. Each float is the probability for one call; 0 means never.
type Rates struct {
	ShortReads   float64 // a read returns fewer bytes than are available
	MaxReadBytes int     // maximum size of a short read, in bytes; 0 means 1
	ShortWrites  float64 // a send accepts fewer bytes than the buffer has space for
	Interrupted  float64 // an interruptible call is interrupted by a signal (EINTR)
	Accept       float64 // accept4: ECONNABORTED, ENFILE, ENOBUFS, ENOMEM, EPROTO
	Socket       float64 // socket, and socketpair: ENFILE, ENOBUFS, ENOMEM
	Connect      float64 // connect: EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EAGAIN
	Register     float64 // epoll_ctl: ENOMEM, ENOSPC; epoll_create1 and eventfd2: ENFILE, ENOMEM
	Wake         float64 // write to the eventfd: EINTR, EAGAIN
	Memory       float64 // send and recv: ENOBUFS, ENOMEM
	Broken       float64 // send and recv on a dialed connection: it breaks with ETIMEDOUT or EHOSTUNREACH
	Disk         float64 // a change on the disk: ENOSPC, EIO; Create may write half of the content

	Stall float64 // the loop is suspended before a send, for up to 0.15 s

	Burst time.Duration // how long a call keeps failing after it failed for a shortage

	ClockStep  time.Duration // by which the system clock is wrong
	ClockAfter time.Duration // time from the start to the step
}

// source draws which calls fail. The loop and work outside the loop use it concurrently.
type source struct {
	mu     sync.Mutex
	random *rand.Rand
	rates  Rates
	until  map[string]time.Time // calls that keep failing, and until when
	dialed map[int]bool         // descriptors on which connect was called
	broken map[int]error        // descriptors of broken connections, with the error
}

// Wrap returns a kernel whose calls fail at the given rates. Equal seeds give the same sequence of draws, but the assignment of
// draws to calls depends on the order of the calls, which varies in real time.
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

// fails draws whether a call fails, and returns one of the errors if it does.
func (s *source) fails(call string, probability float64, causes ...error) error {
	if probability <= 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.until[call]) {
		return causes[s.random.IntN(len(causes))]
	}
	if s.random.Float64() >= probability {
		return nil
	}
	if s.rates.Burst > 0 {
		s.until[call] = time.Now().Add(s.rates.Burst)
	}
	return causes[s.random.IntN(len(causes))]
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

// shortened draws how many of n bytes a call may transfer, at least 1.
func (s *source) shortened(n int, probability float64, maxBytes int) int {
	if probability <= 0 || n < 2 {
		return n
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.random.Float64() >= probability {
		return n
	}
	return 1 + s.random.IntN(min(n-1, max(1, maxBytes)))
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

// forget removes the state of a descriptor's former owner.
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
		s.stall()
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

// maxStall is the maximum time for which the loop is suspended.
const maxStall = 150 * time.Millisecond

// stall draws whether to suspend the loop, and sleeps if so.
func (s *source) stall() {
	if s.rates.Stall <= 0 {
		return
	}
	s.mu.Lock()
	stalls := s.random.Float64() < s.rates.Stall
	span := time.Duration(s.random.Int64N(int64(maxStall)))
	s.mu.Unlock()
	if stalls {
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
	syscall.Shutdown(fd, syscall.SHUT_RDWR) // makes the peer see the broken connection too
	return s.broken[fd]
}

// wall returns the system clock with the configured step.
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
