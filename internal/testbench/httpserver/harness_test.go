package httpserver

import (
	"errors"
	"strings"
	"testing"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/sim"
)

// field is a server on one host of a virtual network and clients on another.
type field struct {
	*testing.T
	world  *sim.World
	client *sim.Host
	server *Server
	addr   string
	calls  []*Exchange // in the order in which they came
	handle func(*Exchange)
}

func newField(t *testing.T, o Options) *field {
	t.Helper()
	f := &field{T: t, world: sim.New(1)}
	f.client = f.world.Host("client", "10.0.0.2", sim.HostOptions{Descriptors: 4096})
	host := f.world.Host("server", "10.0.0.1", sim.HostOptions{})
	f.server = New(host.Machine(), o, func(x *Exchange) {
		f.calls = append(f.calls, x)
		if f.handle != nil {
			f.handle(x)
		}
	})
	f.handle = echo
	var err error
	if f.addr, err = f.server.Open("10.0.0.1:80"); err != nil {
		t.Fatal(err)
	}
	return f
}

// echo answers with what was asked.
func echo(x *Exchange) {
	x.Answer(Text(200, x.Request.Method+" "+x.Request.URL.RequestURI()+" "+string(x.Body)))
}

func (f *field) after(d Time) { f.world.Run(f.world.Now() + d) }

// caller is a client's end of a connection; it reads all that comes, unless it is deaf.
type caller struct {
	f    *field
	conn machine.Conn
	got  strings.Builder
	read int
	deaf bool
	end  error
}

func (f *field) dial() *caller {
	f.Helper()
	c := &caller{f: f}
	f.client.Machine().Dial(f.addr, second, func(conn machine.Conn, err error) machine.Handler {
		c.conn, c.end = conn, err
		return c
	})
	f.after(second / 10)
	if c.conn == nil {
		f.Fatalf("no connection came up: %v", c.end)
	}
	return c
}

func (c *caller) Writable() {}

func (c *caller) Readable() {
	var b [8192]byte
	for !c.deaf && c.end == nil {
		n, err := c.conn.Read(b[:])
		c.read += n
		if c.got.Len() < 1<<20 {
			c.got.Write(b[:n])
		}
		if errors.Is(err, machine.ErrWait) {
			return
		}
		c.end = err
	}
}

// send sends text and waits a while.
func (c *caller) send(text string) *caller {
	c.f.Helper()
	for len(text) > 0 {
		n, err := c.conn.Write([]byte(text))
		if err != nil {
			c.f.Fatalf("a write failed: %v", err)
		}
		text = text[n:]
		c.f.after(second / 10)
	}
	return c
}

// take is what has come since the last call.
func (c *caller) take() string {
	s := c.got.String()
	c.got.Reset()
	return s
}

// says fails where what has come does not begin with and hold these.
func (c *caller) says(begin string, hold ...string) {
	c.f.Helper()
	got := c.take()
	if !strings.HasPrefix(got, begin) {
		c.f.Errorf("got %.200q, want it to begin with %q", got, begin)
	}
	for _, h := range hold {
		if !strings.Contains(got, h) {
			c.f.Errorf("got %.300q, want %q in it", got, h)
		}
	}
}
