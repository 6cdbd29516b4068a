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

// TestMain is also the other side of the benchmarks: a process of its own, so that its processor time is not
// counted, which echoes until its standard input ends.
func TestMain(m *testing.M) {
	if PlayWorker(os.Args) {
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

func echoProcess(b *testing.B) string {
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

// pinger sends one message, waits for its echo, and sends the next.
type pinger struct {
	b    *testing.B
	m    *Real
	c    Conn
	buf  [128]byte
	got  int
	left *int
	late Timer
}

func (p *pinger) ping() {
	p.late = p.m.At(p.m.Now()+1_000_000, func() { p.b.Error("no echo within a second") })
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
		p.late.Stop()
		if *p.left--; *p.left <= 0 {
			p.m.Stop()
			return
		}
		p.ping()
	}
}

func (p *pinger) Writable() {}

// BenchmarkRoundTrip is the price of a round trip of 64 bytes, each under a timer of its own as a router's
// requests are: its time and this process's processor time.
func BenchmarkRoundTrip(b *testing.B) {
	for _, conns := range []int{1, 64} {
		b.Run(fmt.Sprintf("conns=%d", conns), func(b *testing.B) { roundTrips(b, conns) })
	}
}

func roundTrips(b *testing.B, conns int) {
	addr := echoProcess(b)
	m, err := New(Options{})
	if err != nil {
		b.Fatal(err)
	}
	left := b.N
	var all []*pinger
	for range conns {
		m.Dial(addr, 1_000_000, func(c Conn, err error) Handler {
			if err != nil {
				b.Error(err)
				m.Stop()
				return nil
			}
			p := &pinger{b: b, m: m, c: c, left: &left}
			if all = append(all, p); len(all) == conns {
				m.Post(func() {
					b.ResetTimer()
					before := used()
					b.Cleanup(func() {
						b.ReportMetric(float64(used()-before)/float64(b.N), "cpu-ns/op")
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

// used is the processor time of this process.
func used() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkWork is how long a thing that is done beside the loop takes there and back, where the loop has nothing
// else to do: on one processor the loop must make room.
func BenchmarkWork(b *testing.B) {
	m, err := New(Options{})
	if err != nil {
		b.Fatal(err)
	}
	n := 0
	var again func()
	again = func() {
		if n++; n > b.N {
			m.Stop()
			return
		}
		m.Work(func() {}, again)
	}
	m.Post(again)
	before := used()
	m.Run()
	b.ReportMetric(float64(used()-before)/float64(b.N), "cpu-ns/op")
}
