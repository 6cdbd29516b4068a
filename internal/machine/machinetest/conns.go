package machinetest

import (
	"bytes"
	"io"

	"starlingwinch/internal/machine"
)

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
	b.wait("the bytes", func() bool { return far.readableCalls > 0 })
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
	told := near.readableCalls
	b.wait("the end", func() bool { return far.err != nil })
	if near.readableCalls != told {
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
	b.wait("the bytes", func() bool { return far.readableCalls > 0 })
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
		b.wait("the bytes", func() bool { return far.readableCalls > 0 })
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
	b.wait("the bytes", func() bool { return far.readableCalls > 0 })
	b.call(func() {
		far.write("unread here")
		near.reads = false
	})
	b.wait("bytes there", func() bool { return near.readableCalls > 0 })
	b.call(near.conn.Close) // with bytes unread: it resets
	b.wait("the reset", func() bool { return far.conn.End() == machine.ErrReset })
}
