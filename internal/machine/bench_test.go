package machine

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

const echoChild = "MACHINE_ECHO_CHILD"

// TestMain also runs the echo server of the benchmarks, which serves until its standard input ends. The server is a
// separate process, so that the benchmarks do not count its processor time.
func TestMain(m *testing.M) {
	if RunNamedWorker(os.Args) {
		return
	}
	if os.Getenv(echoChild) == "" {
		os.Exit(m.Run())
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fmt.Println(ln.Addr())
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go io.Copy(struct{ io.Writer }{c}, struct{ io.Reader }{c})
		}
	}()
	io.Copy(io.Discard, os.Stdin)
}

// startEchoProcess starts the echo server in a child process and returns its address.
func startEchoProcess(b *testing.B) string {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), echoChild+"=1", "GOMAXPROCS=4")
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		in.Close()
		cmd.Wait()
	})
	addr, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		b.Fatal(err)
	}
	return strings.TrimSpace(addr)
}

// pinger is a Handler that sends a message, waits for the echo and then sends the next one.
type pinger struct {
	b            *testing.B
	m            *Real
	c            Conn
	buf          [128]byte
	got          int
	remaining    *int
	timeoutTimer Timer
}

func (p *pinger) ping() {
	p.timeoutTimer = p.m.At(p.m.Now()+1_000_000, func() { p.b.Error("no echo within a second") })
	if n, err := p.c.Write(p.buf[:64]); n != 64 || err != nil {
		p.b.Error(n, err)
		p.m.Stop()
	}
}

func (p *pinger) Readable() {
	for {
		n, err := p.c.Read(p.buf[64:])
		if err == ErrWait {
			return
		}
		if err != nil {
			p.b.Error(err)
			p.m.Stop()
			return
		}
		if p.got += n; p.got < 64 {
			continue
		}
		p.got = 0
		p.timeoutTimer.Stop()
		if *p.remaining--; *p.remaining <= 0 {
			p.m.Stop()
			return
		}
		p.ping()
	}
}

func (p *pinger) Writable() {}

// BenchmarkRoundTrip measures the time and this process's processor time for a round trip of 64 bytes. Each round
// trip has its own timer, like each request of a router.
func BenchmarkRoundTrip(b *testing.B) {
	for _, conns := range []int{1, 64} {
		b.Run(fmt.Sprintf("conns=%d", conns), func(b *testing.B) { roundTrips(b, conns) })
	}
}

func roundTrips(b *testing.B, conns int) {
	addr := startEchoProcess(b)
	m, err := New(Options{})
	if err != nil {
		b.Fatal(err)
	}
	remaining := b.N
	var all []*pinger
	for range conns {
		m.Dial(addr, 1_000_000, func(c Conn, err error) Handler {
			if err != nil {
				b.Error(err)
				m.Stop()
				return nil
			}
			p := &pinger{b: b, m: m, c: c, remaining: &remaining}
			if all = append(all, p); len(all) == conns {
				m.Post(func() {
					b.ResetTimer()
					before := processorTime()
					b.Cleanup(func() {
						b.ReportMetric(float64(processorTime()-before)/float64(b.N), "cpu-ns/op")
					})
					for _, p := range all {
						p.ping()
					}
				})
			}
			return p
		})
	}
	m.Run()
	b.StopTimer()
}

// processorTime returns the processor time that this process has consumed.
func processorTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkWork measures the time from a call of Work to its completion callback while the event loop is otherwise
// idle. On one processor the event loop must yield to the worker goroutine.
func BenchmarkWork(b *testing.B) {
	m, err := New(Options{})
	if err != nil {
		b.Fatal(err)
	}
	n := 0
	var submit func()
	submit = func() {
		if n++; n > b.N {
			m.Stop()
			return
		}
		m.Work(func() {}, submit)
	}
	m.Post(submit)
	before := processorTime()
	m.Run()
	b.ReportMetric(float64(processorTime()-before)/float64(b.N), "cpu-ns/op")
}
