package machinetest

import (
	"bytes"
	"errors"
	"io"

	"starlingwinch/internal/machine"
)

// end is one end of a connection under test; it reads all that comes, where reads is set.
type end struct {
	b        *bench
	conn     machine.Conn
	reads    bool
	got      []byte
	err      error  // of the last read, ErrWait aside
	told     int    // calls of Readable
	rest     []byte // of a short write
	writable func()
}

func (e *end) Readable() {
	defer e.b.turn()()
	e.told++
	if e.reads {
		e.readAll()
	}
}

func (e *end) Writable() {
	defer e.b.turn()()
	if len(e.rest) > 0 {
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
		e.rest = append(e.rest, s[n:]...)
		return
	}
	if n != len(s) || err != nil {
		e.b.Errorf("a Write of %d bytes gave %d, %v", len(s), n, err)
	}
}

func (e *end) writeRest() {
	n, err := e.conn.Write(e.rest)
	if e.rest = e.rest[n:]; err != nil {
		e.rest = nil
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
	e.b.wait("the rest of a write", func() bool { return len(e.rest) == 0 })
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

func addresses(b *bench) {
	near, far := b.pair(true)
	if near.conn.Local() != far.conn.Remote() || near.conn.Remote() != far.conn.Local() {
		b.Errorf("near: %s to %s; far: %s to %s", near.conn.Local(), near.conn.Remote(), far.conn.Local(), far.conn.Remote())
	}
}

func earlyBytes(b *bench) {
	var in *[]*end
	b.call(func() {
		var l machine.Listener
		l, in = b.listen(true)
		b.dial(l.Addr(), func(e *end) { e.write("hello") })
	})
	b.wait("the bytes", func() bool { return len(*in) == 1 && string((*in)[0].got) == "hello" })
}

// largeTransfer writes while nobody reads until a Write is short, and a megabyte at least.
func largeTransfer(b *bench) {
	const least, most = 1 << 20, 64 << 20
	near, far := b.pair(false)
	chunk := make([]byte, 0, 65521) // a prime, so that no buffer's size divides it
	for i := range cap(chunk) {
		chunk = append(chunk, byte(i*7>>3))
	}
	put, short := 0, 0
	push := func() {
		for put < least || short == 0 {
			left := chunk[put%len(chunk):]
			n, err := near.conn.Write(left)
			if err != nil {
				b.Fatalf("Write: %v", err)
			}
			put += n
			if n < len(left) {
				short++
				return
			}
			if put > most {
				b.Fatalf("%d bytes were taken though nobody reads", put)
			}
		}
		if err := near.conn.CloseWrite(); err != nil {
			b.Errorf("CloseWrite: %v", err)
		}
	}
	near.writable = push
	b.call(push)
	b.call(func() {
		far.reads = true
		far.readAll()
	})
	b.wait("the end", func() bool { return far.err == io.EOF })
	if len(far.got) != put {
		b.Fatalf("%d bytes came of %d", len(far.got), put)
	}
	for i := 0; i < put; i += len(chunk) {
		part := far.got[i:min(i+len(chunk), put)]
		if !bytes.Equal(part, chunk[:len(part)]) {
			b.Fatalf("other bytes came after %d than were sent", i)
		}
	}
}

func halfClose(b *bench) {
	near, far := b.pair(true)
	near.writeThen("question", func() {
		if err := near.conn.CloseWrite(); err != nil {
			b.Errorf("CloseWrite: %v", err)
		}
		if _, err := near.conn.Write([]byte("x")); err == nil {
			b.Error("a Write after CloseWrite was taken")
		}
	})
	b.wait("the end", func() bool { return far.err == io.EOF })
	if string(far.got) != "question" {
		b.Errorf("got %q", far.got)
	}
	far.writeThen("answer", far.conn.Close)
	b.wait("the answer", func() bool { return near.err == io.EOF })
	if string(near.got) != "answer" {
		b.Errorf("got %q", near.got)
	}
}

func closeIsEnd(b *bench) {
	near, far := b.pair(true)
	near.writeThen("last words", near.conn.Close)
	b.wait("the end", func() bool { return far.err != nil })
	if far.err != io.EOF || string(far.got) != "last words" {
		b.Errorf("got %q, %v", far.got, far.err)
	}
}

func closeUnread(b *bench) {
	near, far := b.pair(false)
	b.call(func() { near.write("nobody reads this") })
	b.wait("the bytes", func() bool { return far.told > 0 })
	b.call(far.conn.Close)
	b.wait("the end", func() bool { return near.err != nil })
	if near.err != io.EOF && near.err != machine.ErrReset {
		b.Errorf("the other side read %v", near.err)
	}
	ended := func() bool {
		_, err := near.conn.Write([]byte("x"))
		return err != nil
	}
	b.wait("an error of Write", ended)
}

func closeIsSilent(b *bench) {
	near, far := b.pair(true)
	b.call(func() {
		far.write("crosses the close")
		near.conn.Close()
		near.conn.Close()
		if _, err := near.conn.Read(make([]byte, 9)); err != machine.ErrClosed {
			b.Errorf("Read after Close gave %v", err)
		}
		if _, err := near.conn.Write([]byte("x")); err != machine.ErrClosed {
			b.Errorf("Write after Close gave %v", err)
		}
		if near.conn.Quiet() {
			b.Error("a closed connection is quiet")
		}
	})
	told := near.told
	b.wait("the end", func() bool { return far.err != nil })
	if near.told != told {
		b.Error("a handler was called after Close")
	}
}

func quiet(b *bench) {
	near, far := b.pair(false)
	b.call(func() {
		if !b.quiet(far.conn) {
			b.Error("a new connection is not quiet")
		}
		near.write("ab")
	})
	near.flushed()
	b.wait("the bytes", func() bool { return far.told > 0 })
	b.call(func() {
		if far.conn.Quiet() {
			b.Error("quiet though bytes wait")
		}
		far.readAll()
		far.reads = true
		if !b.TakesLess && (!far.conn.Quiet() || string(far.got) != "ab") {
			b.Errorf("not quiet after all was read: %q", far.got)
		}
	})
	b.wait("all of it", func() bool { return string(far.got) == "ab" })
	b.call(func() {
		if !b.quiet(far.conn) {
			b.Errorf("not quiet after all was read: %q", far.got)
		}
		near.conn.Close()
	})
	b.wait("the end", func() bool { return !far.conn.Quiet() })
	b.call(func() {
		far.readAll()
		if !b.TakesLess && far.err != io.EOF {
			b.Errorf("read %v in the call in which the end was seen", far.err)
		}
	})
	b.wait("the end to be read", func() bool { return far.err != nil })
	if far.err != io.EOF {
		b.Errorf("read %v", far.err)
	}
}

func endUnread(b *bench) {
	for how, leave := range map[string]func(machine.Conn){
		"closed":      machine.Conn.Close,
		"half closed": func(c machine.Conn) { c.CloseWrite() },
	} {
		near, far := b.pair(false)
		b.call(func() {
			if err := far.conn.End(); err != nil {
				b.Errorf("an open connection has ended: %v", err)
			}
			near.write("unread")
		})
		near.flushed()
		b.wait("the bytes", func() bool { return far.told > 0 })
		b.call(func() {
			if err := far.conn.End(); err != nil {
				b.Errorf("bytes are taken for the end: %v", err)
			}
			leave(near.conn)
		})
		b.wait("the end, "+how, func() bool { return far.conn.End() == io.EOF })
		b.call(func() {
			far.readAll()
			if !b.TakesLess && far.err == nil {
				b.Errorf("%s: read %q, and no end in the same call", how, far.got)
			}
		})
		far.reads = true
		b.wait("what was unread", func() bool { return far.err != nil })
		if string(far.got) != "unread" || far.err != io.EOF {
			b.Errorf("%s: read %q, %v after it", how, far.got, far.err)
		}
	}
	near, far := b.pair(false)
	b.call(func() { near.write("unread there") })
	near.flushed()
	b.wait("the bytes", func() bool { return far.told > 0 })
	b.call(func() {
		far.write("unread here")
		near.reads = false
	})
	b.wait("bytes there", func() bool { return near.told > 0 })
	b.call(near.conn.Close) // with bytes unread: it resets
	b.wait("the reset", func() bool { return far.conn.End() == machine.ErrReset })
}

func finished(b *bench) {
	for _, pause := range []bool{false, true} {
		var l machine.Listener
		var in *[]*end
		var near, late *end
		done := false
		b.call(func() {
			l, in = b.listen(true)
			l.Pause()
			near = b.dial(l.Addr(), nil)
		})
		b.wait("the connection", func() bool { return near.conn != nil })
		came := false
		b.call(func() {
			near.write("waits")
			b.B.At(b.B.Now()+20_000, func() { came = true })
		})
		b.wait("the connection in the queue", func() bool { return came })
		b.call(func() {
			if !pause {
				l.Resume()
			}
			l.Finish(func() {
				defer b.turn()()
				done = true
			})
			if done {
				b.Error("Finish called back at once")
			}
		})
		if pause {
			passed := false
			b.call(func() { b.B.At(b.B.Now()+20_000, func() { passed = true }) })
			b.wait("a while", func() bool { return passed })
			if done || len(*in) > 0 {
				b.Fatal("a paused listener went on")
			}
			b.call(l.Resume)
		}
		b.wait("the end of the listener", func() bool { return done })
		b.wait("the connection that waited", func() bool { return len(*in) == 1 && string((*in)[0].got) == "waits" })
		b.call(func() { late = b.dial(l.Addr(), nil) })
		b.wait("the refusal", func() bool { return late.err != nil })
	}
}

func notFinished(b *bench) {
	done, passed := false, false
	b.call(func() {
		l, _ := b.listen(true)
		l.Finish(func() { done = true })
		l.Close()
		b.B.At(b.B.Now()+20_000, func() { passed = true })
	})
	b.wait("a while", func() bool { return passed })
	if done {
		b.Error("a closed listener finished")
	}
}

func refused(b *bench) {
	var addr string
	b.call(func() {
		l, _ := b.listen(true)
		addr = l.Addr()
		l.Close()
	})
	var e *end
	b.call(func() { e = b.dial(addr, nil) })
	b.wait("the refusal", func() bool { return e.err != nil })
	if !errors.Is(e.err, machine.ErrRefused) {
		b.Errorf("got %v", e.err)
	}
}

func badAddress(b *bench) {
	var e *end
	b.call(func() {
		e = b.dial("no address", nil)
		if e.err != nil {
			b.Error("Dial called back at once")
		}
	})
	b.wait("the error", func() bool { return e.err != nil })
}

func cancelled(b *bench) {
	var other *end
	b.call(func() {
		l, _ := b.listen(true)
		d := b.A.Dial(l.Addr(), 5_000_000, func(machine.Conn, error) machine.Handler {
			b.Error("a cancelled Dial was told")
			return nil
		})
		other = b.dial(l.Addr(), nil)
		d.Cancel()
		d.Cancel()
	})
	b.wait("the other connection", func() bool { return other.conn != nil })
}

func timesOut(b *bench) {
	if b.Nowhere == "" {
		b.Skip("the rig has no address that gives no answer")
	}
	var got error
	b.call(func() {
		b.A.Dial(b.Nowhere, 200_000, func(_ machine.Conn, err error) machine.Handler {
			defer b.turn()()
			got = err
			return nil
		})
	})
	b.wait("the timeout", func() bool { return got != nil })
	if !errors.Is(got, machine.ErrTimeout) {
		b.Errorf("got %v", got)
	}
}

func paused(b *bench) {
	var l machine.Listener
	var in *[]*end
	var near *end
	b.call(func() {
		l, in = b.listen(true)
		l.Pause()
		near = b.dial(l.Addr(), nil)
	})
	b.wait("the connection", func() bool { return near.conn != nil })
	later := false
	b.call(func() {
		near.write("waits")
		b.B.At(b.B.Now()+20_000, func() { later = true })
	})
	b.wait("a while", func() bool { return later })
	if len(*in) != 0 {
		b.Fatal("a paused listener took a connection in")
	}
	b.call(func() {
		l.Resume()
		if len(*in) != 0 {
			b.Error("Resume called back at once")
		}
	})
	b.wait("the connection taken in", func() bool { return len(*in) == 1 && string((*in)[0].got) == "waits" })
}

func listenerClosed(b *bench) {
	var l machine.Listener
	var in *[]*end
	var near, late *end
	b.call(func() {
		l, in = b.listen(true)
		near = b.dial(l.Addr(), nil)
	})
	b.wait("the connection", func() bool { return len(*in) == 1 && near.conn != nil })
	b.call(func() {
		l.Close()
		l.Close()
		late = b.dial(l.Addr(), nil)
		near.write("still here")
	})
	b.wait("the refusal", func() bool { return late.err != nil })
	b.wait("bytes on what was taken in", func() bool { return string((*in)[0].got) == "still here" })
}

func addressInUse(b *bench) {
	b.call(func() {
		l, _ := b.listen(true)
		if _, err := b.B.Listen(l.Addr(), nil); !errors.Is(err, machine.ErrAddressInUse) {
			b.Errorf("an address that is listened at: %v", err)
		}
		if _, err := b.B.Listen("192.0.2.1:7000", nil); !errors.Is(err, machine.ErrAddressMissing) {
			b.Errorf("an address of another machine: %v", err)
		}
	})
}

// send sends a datagram as soon as the machine takes it.
func send(p machine.PacketConn, to, text string) error {
	for {
		if err := p.Send(to, []byte(text)); err != machine.ErrWait {
			return err
		}
	}
}

func datagrams(b *bench) {
	var near, far machine.PacketConn
	var got string
	b.call(func() {
		var err error
		far, err = b.B.ListenPacket(b.IPB+":0", func(from string, data []byte) {
			defer b.turn()()
			if err := send(far, from, "re: "+string(data)); err != nil {
				b.Errorf("Send: %v", err)
			}
		})
		if err != nil {
			b.Fatalf("ListenPacket: %v", err)
		}
		near, err = b.A.ListenPacket(b.IPA+":0", func(from string, data []byte) {
			defer b.turn()()
			got = string(data)
			if from != far.Addr() {
				b.Errorf("an answer came from %s, not %s", from, far.Addr())
			}
		})
		if err != nil {
			b.Fatalf("ListenPacket: %v", err)
		}
		if err := send(near, far.Addr(), "hello"); err != nil {
			b.Errorf("Send: %v", err)
		}
	})
	b.wait("the answer", func() bool { return got != "" })
	if got != "re: hello" {
		b.Errorf("got %q", got)
	}
	b.call(func() {
		near.Close()
		near.Close()
		if err := near.Send(far.Addr(), nil); err == nil {
			b.Error("a closed PacketConn sent")
		}
	})
}
