package machinetest

import "starlingwinch/internal/machine"

// end is one end of a connection under test. It is the handler of its connection.
type end struct {
	b             *bench
	conn          machine.Conn
	reads         bool // Readable reads all available bytes
	got           []byte
	err           error  // of Dial, Spawn or the last read, without ErrWait
	readableCalls int    // number of calls of Readable
	unsent        []byte // rest of a short write
	writable      func() // called by Writable if unsent is empty
}

// Readable implements machine.Handler.
func (e *end) Readable() {
	defer e.b.enterCallback()()
	e.readableCalls++
	if e.reads {
		e.readAll()
	}
}

// Writable implements machine.Handler.
func (e *end) Writable() {
	defer e.b.enterCallback()()
	if len(e.unsent) > 0 {
		e.writeRest()
		return
	}
	if e.writable == nil && !e.b.TakesLess {
		e.b.Error("Writable was called without a short Write before")
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
			e.b.Error("Read returned neither bytes nor an error")
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
		e.b.Errorf("Write of %d bytes: got %d and error %v, want all bytes", len(s), n, err)
	}
}

func (e *end) writeRest() {
	n, err := e.conn.Write(e.unsent)
	if e.unsent = e.unsent[n:]; err != nil {
		e.unsent = nil
	}
}

// eventuallyQuiet returns Conn.HasNothingUnread. With short transfers it repeats the call, because the call may fail at times.
func (b *bench) eventuallyQuiet(c machine.Conn) bool {
	for range 100 {
		if c.HasNothingUnread() {
			return true
		}
		if !b.TakesLess {
			return false
		}
	}
	return false
}

// writeThen writes s and then calls then. Both happen in one call, except on a machine with short transfers, where then is
// called after all bytes were sent.
func (e *end) writeThen(s string, then func()) {
	e.b.Helper()
	if e.b.TakesLess {
		e.b.call(func() { e.write(s) })
		e.waitUntilFlushed()
		e.b.call(then)
		return
	}
	e.b.call(func() {
		e.write(s)
		then()
	})
}

// waitUntilFlushed waits until all written bytes were sent.
func (e *end) waitUntilFlushed() {
	e.b.Helper()
	e.b.wait("the rest of a write", func() bool { return len(e.unsent) == 0 })
}

// listen opens a listener at B and returns it with a list to which the ends of accepted connections are added.
func (b *bench) listen(reads bool) (machine.Listener, *[]*end) {
	b.Helper()
	ends := new([]*end)
	l, err := b.B.Listen(b.IPB+":0", func(c machine.Conn) machine.Handler {
		defer b.enterCallback()()
		e := &end{b: b, conn: c, reads: reads}
		*ends = append(*ends, e)
		return e
	})
	if err != nil {
		b.Fatalf("Listen: %v", err)
	}
	return l, ends
}

// dial connects A to an address. The result receives an error or a connection some turns later.
func (b *bench) dial(addr string, then func(*end)) *end {
	e := &end{b: b, reads: true}
	b.A.Dial(addr, 5_000_000, func(c machine.Conn, err error) machine.Handler {
		defer b.enterCallback()()
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

// pair returns the ends of an established connection: near at A, far at B.
func (b *bench) pair(farReads bool) (near, far *end) {
	b.Helper()
	var accepted *[]*end
	b.call(func() {
		var l machine.Listener
		l, accepted = b.listen(farReads)
		near = b.dial(l.Addr(), nil)
	})
	b.wait("the connection", func() bool { return near.conn != nil && len(*accepted) == 1 })
	return near, (*accepted)[0]
}
