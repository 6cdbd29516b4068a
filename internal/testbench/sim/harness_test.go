package sim

import (
	"testing"

	"starlingwinch/internal/machine"
)

// party is one end of a connection in a test; it reads all that comes.
type party struct {
	conn  machine.Conn
	err   error // of the dial, or of the last read
	got   []byte
	told  Time // when it was last told of something
	deaf  bool // does not read
	room  int  // calls of Writable
	heard func(p *party)
}

func (p *party) Readable() {
	p.told = p.conn.(*Conn).world.now
	if !p.deaf {
		p.read()
	}
	if p.heard != nil {
		p.heard(p)
	}
}

func (p *party) read() {
	var b [4096]byte
	for {
		n, err := p.conn.Read(b[:])
		p.got = append(p.got, b[:n]...)
		if err == machine.ErrWait {
			return
		}
		if err != nil {
			p.err = err
			return
		}
	}
}

func (p *party) Writable() { p.room++ }

func (p *party) write(t *testing.T, s string) {
	t.Helper()
	if n, err := p.conn.Write([]byte(s)); n != len(s) || err != nil {
		t.Fatalf("a Write of %d bytes gave %d, %v", len(s), n, err)
	}
}

// field is a server in zone s and a client in zone c, a latency of 1 ms apart, without chance.
type field struct {
	*testing.T
	*World
	server, client *Host
	listener       machine.Listener
	in             []*party // taken in by the server
}

const serverAddr = "10.0.0.1:80"

func newField(t *testing.T, server, client HostOptions) *field {
	w := New(1)
	w.Near = Link{Latency: Millisecond}
	w.Far = w.Near
	server.Zone, client.Zone = "s", "c"
	f := &field{T: t, World: w}
	f.server = w.Host("server", "10.0.0.1", server)
	f.client = w.Host("client", "10.0.0.2", client)
	f.listen()
	return f
}

func (f *field) listen() {
	f.Helper()
	var err error
	f.listener, err = f.server.Machine().Listen(serverAddr, func(c machine.Conn) machine.Handler {
		p := &party{conn: c}
		f.in = append(f.in, p)
		return p
	})
	if err != nil {
		f.Fatal(err)
	}
}

func (f *field) dial(timeout Time) *party {
	p := &party{}
	f.client.Machine().Dial(serverAddr, timeout, func(c machine.Conn, err error) machine.Handler {
		p.conn, p.err = c, err
		p.told = f.now
		return p
	})
	return p
}

// after runs the world for a span.
func (f *field) after(d Time) { f.World.Run(f.now + d) }

// pair is a connection that is up: near at the client, far at the server.
func (f *field) pair() (near, far *party) {
	f.Helper()
	near = f.dial(Second)
	f.after(10 * Millisecond)
	if near.conn == nil || len(f.in) == 0 {
		f.Fatalf("no connection came up: %v", near.err)
	}
	return near, f.in[len(f.in)-1]
}

// reads fails where a party has not got these bytes and this error.
func (f *field) reads(who string, p *party, got string, err error) {
	f.Helper()
	if string(p.got) != got || p.err != err {
		f.Errorf("%s read %q, %v; want %q, %v", who, p.got, p.err, got, err)
	}
}
