package machinetest

import (
	"bytes"
	"io"

	"starlingwinch/internal/machine"
)

func connAddresses(b *bench) {
	near, far := b.pair(true)
	if near.conn.Local() != far.conn.Remote() || near.conn.Remote() != far.conn.Local() {
		b.Errorf("the ends disagree on their addresses: near has %s and %s, far has %s and %s",
			near.conn.Local(), near.conn.Remote(), far.conn.Local(), far.conn.Remote())
	}
}

func bytesBeforeAccept(b *bench) {
	var accepted *[]*end
	b.call(func() {
		var l machine.Listener
		l, accepted = b.listen(true)
		b.dial(l.Addr(), func(e *end) { e.write("hello") })
	})
	b.wait("the bytes", func() bool { return len(*accepted) == 1 && string((*accepted)[0].got) == "hello" })
}

// largeTransfer writes at least a megabyte, and until a Write is short, before the peer starts to read.
func largeTransfer(b *bench) {
	const least, most = 1 << 20, 64 << 20
	near, far := b.pair(false)
	chunk := make([]byte, 0, 65521) // a prime, so that no buffer's size divides it
	for i := range cap(chunk) {
		chunk = append(chunk, byte(i*7>>3))
	}
	written, short := 0, 0
	writeMore := func() {
		for written < least || short == 0 {
			left := chunk[written%len(chunk):]
			n, err := near.conn.Write(left)
			if err != nil {
				b.Fatalf("Write: %v", err)
			}
			written += n
			if n < len(left) {
				short++
				return
			}
			if written > most {
				b.Fatalf("Write accepted %d bytes without a short write while the peer read nothing", written)
			}
		}
		if err := near.conn.CloseWrite(); err != nil {
			b.Errorf("CloseWrite: %v", err)
		}
	}
	near.writable = writeMore
	b.call(writeMore)
	b.call(func() {
		far.reads = true
		far.readAll()
	})
	b.wait("the end of the stream", func() bool { return far.err == io.EOF })
	if len(far.got) != written {
		b.Fatalf("received %d bytes, want %d", len(far.got), written)
	}
	for i := 0; i < written; i += len(chunk) {
		part := far.got[i:min(i+len(chunk), written)]
		if !bytes.Equal(part, chunk[:len(part)]) {
			b.Fatalf("the chunk received at offset %d differs from the one sent", i)
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
			b.Error("Write after CloseWrite succeeded, want an error")
		}
	})
	b.wait("the end of the stream", func() bool { return far.err == io.EOF })
	if string(far.got) != "question" {
		b.Errorf("received %q, want %q", far.got, "question")
	}
	far.writeThen("answer", far.conn.Close)
	b.wait("the answer", func() bool { return near.err == io.EOF })
	if string(near.got) != "answer" {
		b.Errorf("received %q, want %q", near.got, "answer")
	}
}

func closeEndsPeer(b *bench) {
	near, far := b.pair(true)
	near.writeThen("last bytes", near.conn.Close)
	b.wait("the end", func() bool { return far.err != nil })
	if far.err != io.EOF || string(far.got) != "last bytes" {
		b.Errorf("received %q and error %v, want %q and EOF", far.got, far.err, "last bytes")
	}
}

func closeWithUnreadBytes(b *bench) {
	near, far := b.pair(false)
	b.call(func() { near.write("unread") })
	b.wait("the bytes", func() bool { return far.readableCalls > 0 })
	b.call(far.conn.Close)
	b.wait("the end", func() bool { return near.err != nil })
	if near.err != io.EOF && near.err != machine.ErrReset {
		b.Errorf("the peer read error %v, want EOF or ErrReset", near.err)
	}
	writeFails := func() bool {
		_, err := near.conn.Write([]byte("x"))
		return err != nil
	}
	b.wait("an error from Write", writeFails)
}

func noCallbackAfterClose(b *bench) {
	near, far := b.pair(true)
	b.call(func() {
		far.write("sent during the close")
		near.conn.Close()
		near.conn.Close()
		if _, err := near.conn.Read(make([]byte, 9)); err != machine.ErrClosed {
			b.Errorf("Read after Close: got error %v, want ErrClosed", err)
		}
		if _, err := near.conn.Write([]byte("x")); err != machine.ErrClosed {
			b.Errorf("Write after Close: got error %v, want ErrClosed", err)
		}
		if near.conn.HasNothingUnread() {
			b.Error("HasNothingUnread of a closed connection: got true, want false")
		}
	})
	callsBefore := near.readableCalls
	b.wait("the end", func() bool { return far.err != nil })
	if near.readableCalls != callsBefore {
		b.Error("the handler was called after Close")
	}
}

func connQuiet(b *bench) {
	near, far := b.pair(false)
	b.call(func() {
		if !b.eventuallyQuiet(far.conn) {
			b.Error("HasNothingUnread of a new connection: got false, want true")
		}
		near.write("ab")
	})
	near.waitUntilFlushed()
	b.wait("the bytes", func() bool { return far.readableCalls > 0 })
	b.call(func() {
		if far.conn.HasNothingUnread() {
			b.Error("HasNothingUnread with unread bytes: got true, want false")
		}
		far.readAll()
		far.reads = true
		if !b.TakesLess && (!far.conn.HasNothingUnread() || string(far.got) != "ab") {
			b.Errorf("HasNothingUnread after reading %q: got false, want true after \"ab\"", far.got)
		}
	})
	b.wait("all bytes", func() bool { return string(far.got) == "ab" })
	b.call(func() {
		if !b.eventuallyQuiet(far.conn) {
			b.Errorf("HasNothingUnread after reading %q: got false, want true after \"ab\"", far.got)
		}
		near.conn.Close()
	})
	b.wait("the end", func() bool { return !far.conn.HasNothingUnread() })
	b.call(func() {
		far.readAll()
		if !b.TakesLess && far.err != io.EOF {
			b.Errorf("read after HasNothingUnread reported the end: got error %v, want EOF", far.err)
		}
	})
	b.wait("the read of the end", func() bool { return far.err != nil })
	if far.err != io.EOF {
		b.Errorf("read at the end: got error %v, want EOF", far.err)
	}
}

func endBeforeUnreadBytes(b *bench) {
	for how, endConn := range map[string]func(machine.Conn){
		"closed":      machine.Conn.Close,
		"half closed": func(c machine.Conn) { c.CloseWrite() },
	} {
		near, far := b.pair(false)
		b.call(func() {
			if err := far.conn.EndError(); err != nil {
				b.Errorf("End of an open connection: got %v, want nil", err)
			}
			near.write("unread")
		})
		near.waitUntilFlushed()
		b.wait("the bytes", func() bool { return far.readableCalls > 0 })
		b.call(func() {
			if err := far.conn.EndError(); err != nil {
				b.Errorf("End with unread bytes and no end: got %v, want nil", err)
			}
			endConn(near.conn)
		})
		b.wait("the end, "+how, func() bool { return far.conn.EndError() == io.EOF })
		b.call(func() {
			far.readAll()
			if !b.TakesLess && far.err == nil {
				b.Errorf("%s: read %q without the end in the same call", how, far.got)
			}
		})
		far.reads = true
		b.wait("the read of the end after the unread bytes", func() bool { return far.err != nil })
		if string(far.got) != "unread" || far.err != io.EOF {
			b.Errorf("%s: read %q and error %v, want %q and EOF", how, far.got, far.err, "unread")
		}
	}
	near, far := b.pair(false)
	b.call(func() { near.write("unread at far") })
	near.waitUntilFlushed()
	b.wait("the bytes", func() bool { return far.readableCalls > 0 })
	b.call(func() {
		far.write("unread at near")
		near.reads = false
	})
	b.wait("the bytes at near", func() bool { return near.readableCalls > 0 })
	b.call(near.conn.Close) // resets the connection, as bytes are unread
	b.wait("the reset", func() bool { return far.conn.EndError() == machine.ErrReset })
}
