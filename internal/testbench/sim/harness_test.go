package sim

import (
	"testing"

	"starlingwinch/internal/machine"
)

// testConn is one end of a connection in a test; it reads all that arrives.
type testConn struct {
	conn            machine.Conn
	err             error // of the dial, or of the last read
	got             []byte
	lastCall        Time // time of the last call
	ignoresReadable bool // does not read
	writableCalls   int  // calls of Writable
	onReadable      func(p *testConn)
}

func (p *testConn) Readable() {
	p.lastCall = p.conn.(*Conn).world.now
	if !p.ignoresReadable {
		p.read()
	}
	if p.onReadable != nil {
		p.onReadable(p)
	}
}

func (p *testConn) read() {
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

func (p *testConn) Writable() { p.writableCalls++ }

func (p *testConn) write(t *testing.T, s string) {
	t.Helper()
	if n, err := p.conn.Write([]byte(s)); n != len(s) || err != nil {
		t.Fatalf("a Write of %d bytes gave %d, %v", len(s), n, err)
	}
}

// testNetwork is a server in zone s and a client in zone c, a latency of 1 ms apart, without chance.
type testNetwork struct {
	*testing.T
	*World
	server, client *Host
	listener       machine.Listener
	accepted       []*testConn // taken in by the server
}

const serverAddr = "10.0.0.1:80"

func newTestNetwork(t *testing.T, server, client HostOptions) *testNetwork {
	w := New(1)
	w.Near = Link{Latency: Millisecond}
	w.Far = w.Near
	server.Zone, client.Zone = "s", "c"
	f := &testNetwork{T: t, World: w}
	f.server = w.Host("server", "10.0.0.1", server)
	f.client = w.Host("client", "10.0.0.2", client)
	f.listen()
	return f
}

func (f *testNetwork) listen() {
	f.Helper()
	var err error
	f.listener, err = f.server.Machine().Listen(serverAddr, func(c machine.Conn) machine.Handler {
		p := &testConn{conn: c}
		f.accepted = append(f.accepted, p)
		return p
	})
	if err != nil {
		f.Fatal(err)
	}
}

func (f *testNetwork) dial(timeout Time) *testConn {
	p := &testConn{}
	f.client.Machine().Dial(serverAddr, timeout, func(c machine.Conn, err error) machine.Handler {
		p.conn, p.err = c, err
		p.lastCall = f.now
		return p
	})
	return p
}

// after runs the world for a span.
func (f *testNetwork) after(d Time) { f.World.Run(f.now + d) }

// pair is a connection that is up: near at the client, far at the server.
func (f *testNetwork) pair() (near, far *testConn) {
	f.Helper()
	near = f.dial(Second)
	f.after(10 * Millisecond)
	if near.conn == nil || len(f.accepted) == 0 {
		f.Fatalf("no connection came up: %v", near.err)
	}
	return near, f.accepted[len(f.accepted)-1]
}

// reads fails where a connection has not got these bytes and this error.
func (f *testNetwork) reads(who string, p *testConn, got string, err error) {
	f.Helper()
	if string(p.got) != got || p.err != err {
		f.Errorf("%s read %q, %v; want %q, %v", who, p.got, p.err, got, err)
	}
}
