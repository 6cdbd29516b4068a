package machine_test

import (
	"flag"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/machine/faultkernel"
	"starlingwinch/internal/machine/machinetest"
)

var faultSeed = flag.Uint64("fault-seed", 1, "seed of the random failures of system calls")

// TestContractUnderFailingCalls checks the whole contract of the machine while system calls of one kind, or of all kinds, fail.
func TestContractUnderFailingCalls(t *testing.T) {
	for _, c := range []struct{ name, rates string }{
		{"short reads", "short_reads=0.3,read_most=200"},
		{"one byte at a time", "short_reads=1"},
		{"short writes", "short_writes=0.3"},
		{"interrupted", "interrupted=0.3"},
		{"accept", "accept=0.3,burst=5ms"},
		{"socket", "socket=0.3"},
		{"connect", "connect=0.3"},
		{"register", "register=0.3"},
		{"wake", "wake=0.5"},
		{"memory", "memory=0.1"},
		{"all", "short_reads=0.2,short_writes=0.2,interrupted=0.1,accept=0.1,socket=0.1,connect=0.1,register=0.1,wake=0.2,memory=0.05"},
	} {
		t.Run(c.name, func(t *testing.T) {
			seed := *faultSeed
			testContract(t, machinetest.ByCommand, func() machine.Kernel {
				seed++
				return faultyKernel(t, seed, c.rates)
			}, strings.Contains(c.rates, "memory"))
		})
	}
}

func faultyKernel(t *testing.T, seed uint64, text string) machine.Kernel {
	t.Helper()
	_, rates, err := faultkernel.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return faultkernel.Wrap(machine.RealKernel(), seed, rates)
}

// TestStartOutlastsFailingCalls opens everything that a router opens at startup while the first 20 system calls of each
// kind fail with temporary errors.
func TestStartOutlastsFailingCalls(t *testing.T) {
	const failures = 20
	temporaryErrors := []error{syscall.EINTR, syscall.EAGAIN, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}
	var failed [6]int
	fails := func(call int) error {
		if failed[call]++; failed[call] <= failures {
			return temporaryErrors[failed[call]%len(temporaryErrors)]
		}
		return nil
	}
	k, realKernel := machine.RealKernel(), machine.RealKernel()
	k.EpollCreate = func() (int, error) {
		if err := fails(0); err != nil {
			return -1, err
		}
		return realKernel.EpollCreate()
	}
	k.EventFD = func() (int, error) {
		if err := fails(1); err != nil {
			return -1, err
		}
		return realKernel.EventFD()
	}
	k.EpollCtl = func(epoll, op, fd int, event *syscall.EpollEvent) error {
		if err := fails(2); err != nil {
			return err
		}
		return realKernel.EpollCtl(epoll, op, fd, event)
	}
	k.Socket = func(family, kind int) (int, error) {
		if err := fails(3); err != nil {
			return -1, err
		}
		return realKernel.Socket(family, kind)
	}
	k.Bind = func(fd int, at syscall.Sockaddr) error {
		if err := fails(4); err != nil {
			return err
		}
		return realKernel.Bind(fd, at)
	}
	k.Listen = func(fd, backlog int) error {
		if err := fails(5); err != nil {
			return err
		}
		return realKernel.Listen(fd, backlog)
	}
	m, err := machine.New(machine.Options{Log: io.Discard, Kernel: &k})
	if err != nil {
		t.Fatal(err)
	}
	defer m.Stop()
	accepted, received, posted := false, false, false
	l, err := m.Listen("127.0.0.1:0", func(machine.Conn) machine.Handler {
		accepted = true
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	p, err := m.ListenPacket("127.0.0.1:0", func(string, []byte) { received = true })
	if err != nil {
		t.Fatal(err)
	}
	m.Dial(l.Addr(), 5_000_000, func(_ machine.Conn, err error) machine.Handler {
		if err != nil {
			t.Error(err)
		}
		return nil
	})
	if err := p.Send(p.Addr(), []byte("datagram")); err != nil {
		t.Error(err)
	}
	m.Post(func() { posted = true })
	if !runUntil(m, func() bool { return accepted && received && posted }) {
		t.Errorf("accepted a connection: %v, received a datagram: %v, ran the posted function: %v; want all true", accepted, received, posted)
	}
}

// TestPostWakesLoopThroughFailingWrites guards against a loop that sleeps forever because the write that wakes it was
// interrupted or failed temporarily, while no other event would wake it.
func TestPostWakesLoopThroughFailingWrites(t *testing.T) {
	for _, failure := range []error{syscall.EINTR, syscall.EAGAIN, syscall.EIO} {
		t.Run(fmt.Sprint(failure), func(t *testing.T) {
			k, realKernel := machine.RealKernel(), machine.RealKernel()
			var writes atomic.Int32
			waits := make(chan struct{}, 1)
			k.Write = func(fd int, b []byte) (int, error) {
				if writes.Add(1) <= 3 {
					return 0, failure
				}
				return realKernel.Write(fd, b)
			}
			k.EpollWait = func(epoll int, events []syscall.EpollEvent, milliseconds int) (int, error) {
				select {
				case waits <- struct{}{}:
				default:
				}
				return realKernel.EpollWait(epoll, events, milliseconds)
			}
			m, err := machine.New(machine.Options{Log: io.Discard, Kernel: &k})
			if err != nil {
				t.Fatal(err)
			}
			ended := make(chan struct{})
			go func() {
				m.Run()
				close(ended)
			}()
			<-waits // the loop is idle and about to wait without a timeout
			ran := make(chan struct{})
			m.Post(func() { close(ran) })
			select {
			case <-ran:
			case <-time.After(5 * time.Second):
				t.Error("the posted function did not run within 5 s")
			}
			m.Stop()
			select {
			case <-ended:
			case <-time.After(5 * time.Second):
				t.Error("Run did not return within 5 s of Stop")
			}
		})
	}
}
