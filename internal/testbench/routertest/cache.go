package routertest

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/redcon"
)

// Served is an answer that serves a request.
const Served = "*3\r\n$5\r\nvalue\r\n$3\r\nhit\r\n$-1\r\n"

// Cache is a cache server on loopback. It hands each whole command to the test.
type Cache struct {
	Commands chan Command
	Ended    chan struct{} // one for each connection that the router has ended

	ln net.Listener
}

// Command is one command that a Cache received.
type Command struct {
	Args []string
	Conn net.Conn
}

// Reply answers a command.
func (c Command) Reply(t testing.TB, wire string) {
	t.Helper()
	if _, err := io.WriteString(c.Conn, wire); err != nil {
		t.Errorf("the cache could not answer: %v", err)
	}
}

// NewCache starts a cache.
func NewCache(t testing.TB) *Cache {
	t.Helper()
	c := &Cache{Commands: make(chan Command, 1000), Ended: make(chan struct{}, 1000)}
	c.ln = listen(t, func(nc net.Conn) { go c.serve(nc) })
	return c
}

// Addr is the address that it listens on.
func (c *Cache) Addr() string { return c.ln.Addr().String() }

// serve reads the commands of a connection up to its end.
func (c *Cache) serve(nc net.Conn) {
	r := redcon.NewReader(nc)
	for {
		cmd, err := r.ReadCommand()
		if err != nil {
			c.Ended <- struct{}{}
			return
		}
		var args []string
		for _, a := range cmd.Args {
			args = append(args, string(a))
		}
		c.Commands <- Command{args, nc}
	}
}

// Answering has the cache serve the requests for which serves is true, and sends the ids of all others.
func (c *Cache) Answering(t testing.TB, serves func(id string) bool, others chan<- string) {
	c.Saying(t, func(id string) string {
		if serves(id) {
			return Served
		}
		others <- id
		return ""
	})
}

// Saying has the cache answer each request with answer(id), until the end of the test.
func (c *Cache) Saying(t testing.TB, answer func(id string) (wire string)) {
	over := make(chan struct{})
	t.Cleanup(func() { close(over) })
	go func() {
		for {
			select {
			case cmd := <-c.Commands:
				io.WriteString(cmd.Conn, answer(cmd.Args[2]))
			case <-over:
				return
			}
		}
	}()
}

// listen accepts connections until the end of the test.
func listen(t testing.TB, accept func(net.Conn)) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { nc.Close() })
			accept(nc)
		}
	}()
	return ln
}

// DeafCache accepts connections, hands them to the test and reads nothing.
func DeafCache(t testing.TB) (addr string, conns <-chan net.Conn) {
	t.Helper()
	in := make(chan net.Conn, 100)
	ln := listen(t, func(nc net.Conn) { in <- nc })
	return ln.Addr().String(), in
}

// Refusing returns an address on which no process listens.
func Refusing(t testing.TB) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	return ln.Addr().String()
}

// Unreachable returns an address at which no connection is established, as its queue is full.
func Unreachable(t testing.TB) string {
	t.Helper()
	addr, _ := fullQueue(t)
	return addr
}

// Late returns an address at which no connection is established until release is called. Then they are, as their handshakes
// are tried again after a second and then two, and each is handed to the test.
func Late(t testing.TB) (addr string, release func() <-chan net.Conn) {
	t.Helper()
	addr, fd := fullQueue(t)
	return addr, func() <-chan net.Conn {
		own, err := syscall.Dup(fd)
		if err != nil {
			t.Fatal(err)
		}
		f := os.NewFile(uintptr(own), addr)
		ln, err := net.FileListener(f)
		f.Close()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ln.Close() })
		conns := make(chan net.Conn, 100)
		go func() {
			for {
				nc, err := ln.Accept()
				if err != nil {
					return
				}
				conns <- nc
			}
		}()
		return conns
	}
}

// fullQueue returns an address whose queue is full, and its descriptor, which is closed at the end of the test.
func fullQueue(t testing.TB) (string, int) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	sa, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: sa.(*syscall.SockaddrInet4).Port}).String()
	for range 20 {
		nc, err := net.DialTimeout("tcp", addr, 300*time.Millisecond)
		var ne net.Error
		if errors.As(err, &ne) && ne.Timeout() {
			return addr, fd
		}
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
	}
	t.Fatal("the queue does not fill")
	return "", 0
}
