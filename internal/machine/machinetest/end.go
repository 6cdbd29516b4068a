package machinetest

import "starlingwinch/internal/machine"

// end is one end of a connection under test; it reads all that comes, where reads is set.
type end struct {
	b             *bench
	conn          machine.Conn
	reads         bool
	got           []byte
	err           error  // of the last read, ErrWait aside
	readableCalls int    // calls of Readable
	unsent        []byte // of a short write
	writable      func()
}

// Readable implements machine.Handler.
func (e *end) Readable() {
	defer e.b.turn()()
	e.readableCalls++
	if e.reads {
		e.readAll()
	}
}

// Writable implements machine.Handler.
func (e *end) Writable() {
	defer e.b.turn()()
	if len(e.unsent) > 0 {
		e.writeRest()
		return
	}
	if e.writable == nil && !e.b.TakesLess {
		e.b.Error("Writable came though no Write was short")
		return
	}
	if e.writable != nil {
		e.writable()
	}
}

// readAll reads up to ErrWait or another error.
func (e *end) readAll() {
	var buf [3000]byte
	for {
		n, err := e.conn.Read(buf[:])
		e.got = append(e.got, buf[:n]...)
		switch {
		case err == nil && n == 0:
			e.b.Error("Read gave neither bytes nor an error")
			return
		case err == nil:
		case err == machine.ErrWait:
			return
		default:
			e.err = err
			return
		}
	}
}

func (e *end) write(s string) {
	e.b.Helper()
	n, err := e.conn.Write([]byte(s))
	if e.b.TakesLess && err == nil {
		e.unsent = append(e.unsent, s[n:]...)
		return
	}
	if n != len(s) || err != nil {
		e.b.Errorf("a Write of %d bytes gave %d, %v", len(s), n, err)
	}
}

func (e *end) writeRest() {
	n, err := e.conn.Write(e.unsent)
	if e.unsent = e.unsent[n:]; err != nil {
		e.unsent = nil
	}
}

// quiet is Conn.Quiet. A machine that takes less at times may not be able to look.
func (b *bench) quiet(c machine.Conn) bool {
	for range 100 {
		if c.Quiet() {
			return true
		}
		if !b.TakesLess {
			return false
		}
	}
	return false
}

// writeThen writes and then does something else in the same call, unless the machine may take less: then what was written goes out
// first.
func (e *end) writeThen(s string, then func()) {
	e.b.Helper()
	if e.b.TakesLess {
		e.b.call(func() { e.write(s) })
		e.flushed()
		e.b.call(then)
		return
	}
	e.b.call(func() {
		e.write(s)
		then()
	})
}

// flushed has what was written go out whole.
func (e *end) flushed() {
	e.b.Helper()
	e.b.wait("the rest of a write", func() bool { return len(e.unsent) == 0 })
}

// listen has the ends that come in at B put into a list, each ready to read.
func (b *bench) listen(reads bool) (machine.Listener, *[]*end) {
	b.Helper()
	ends := new([]*end)
	l, err := b.B.Listen(b.IPB+":0", func(c machine.Conn) machine.Handler {
		defer b.turn()()
		e := &end{b: b, conn: c, reads: reads}
		*ends = append(*ends, e)
		return e
	})
	if err != nil {
		b.Fatalf("Listen: %v", err)
	}
	return l, ends
}

// dial connects A to an address. The result has an error or a connection some turns later.
func (b *bench) dial(addr string, then func(*end)) *end {
	e := &end{b: b, reads: true}
	b.A.Dial(addr, 5_000_000, func(c machine.Conn, err error) machine.Handler {
		defer b.turn()()
		e.conn, e.err = c, err
		if err != nil {
			return nil
		}
		if then != nil {
			then(e)
		}
		return e
	})
	return e
}

// pair is a connection that is up at both ends: near at A, far at B.
func (b *bench) pair(farReads bool) (near, far *end) {
	b.Helper()
	var in *[]*end
	b.call(func() {
		var l machine.Listener
		l, in = b.listen(farReads)
		near = b.dial(l.Addr(), nil)
	})
	b.wait("the connection", func() bool { return near.conn != nil && len(*in) == 1 })
	return near, (*in)[0]
}
