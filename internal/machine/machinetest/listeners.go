package machinetest

import (
	"errors"

	"starlingwinch/internal/machine"
)

func listenerFinish(b *bench) {
	for _, pause := range []bool{false, true} {
		var l machine.Listener
		var accepted *[]*end
		var near, late *end
		done := false
		b.call(func() {
			l, accepted = b.listen(true)
			l.Pause()
			near = b.dial(l.Addr(), nil)
		})
		b.wait("the connection", func() bool { return near.conn != nil })
		queued := false
		b.call(func() {
			near.write("waits")
			b.B.At(b.B.Now()+20_000, func() { queued = true })
		})
		b.wait("the connection in the queue", func() bool { return queued })
		b.call(func() {
			if !pause {
				l.Resume()
			}
			l.Finish(func() {
				defer b.enterCallback()()
				done = true
			})
			if done {
				b.Error("Finish called done before it returned")
			}
		})
		if pause {
			passed := false
			b.call(func() { b.B.At(b.B.Now()+20_000, func() { passed = true }) })
			b.wait("20 ms to pass", func() bool { return passed })
			if done || len(*accepted) > 0 {
				b.Fatal("a paused listener accepted a connection or finished")
			}
			b.call(l.Resume)
		}
		b.wait("the end of the listener", func() bool { return done })
		b.wait("the connection that waited", func() bool { return len(*accepted) == 1 && string((*accepted)[0].got) == "waits" })
		b.call(func() { late = b.dial(l.Addr(), nil) })
		b.wait("the refusal", func() bool { return late.err != nil })
	}
}

func listenerCloseBeforeFinish(b *bench) {
	done, passed := false, false
	b.call(func() {
		l, _ := b.listen(true)
		l.Finish(func() { done = true })
		l.Close()
		b.B.At(b.B.Now()+20_000, func() { passed = true })
	})
	b.wait("20 ms to pass", func() bool { return passed })
	if done {
		b.Error("done of Finish was called after Close")
	}
}

func listenerPaused(b *bench) {
	var l machine.Listener
	var accepted *[]*end
	var near *end
	b.call(func() {
		l, accepted = b.listen(true)
		l.Pause()
		near = b.dial(l.Addr(), nil)
	})
	b.wait("the connection", func() bool { return near.conn != nil })
	later := false
	b.call(func() {
		near.write("waits")
		b.B.At(b.B.Now()+20_000, func() { later = true })
	})
	b.wait("20 ms to pass", func() bool { return later })
	if len(*accepted) != 0 {
		b.Fatal("a paused listener accepted a connection")
	}
	b.call(func() {
		l.Resume()
		if len(*accepted) != 0 {
			b.Error("Resume called accept before it returned")
		}
	})
	b.wait("the accepted connection", func() bool { return len(*accepted) == 1 && string((*accepted)[0].got) == "waits" })
}

func listenerClosed(b *bench) {
	var l machine.Listener
	var accepted *[]*end
	var near, late *end
	b.call(func() {
		l, accepted = b.listen(true)
		near = b.dial(l.Addr(), nil)
	})
	b.wait("the connection", func() bool { return len(*accepted) == 1 && near.conn != nil })
	b.call(func() {
		l.Close()
		l.Close()
		late = b.dial(l.Addr(), nil)
		near.write("after the close")
	})
	b.wait("the refusal", func() bool { return late.err != nil })
	b.wait("the bytes on the accepted connection", func() bool { return string((*accepted)[0].got) == "after the close" })
}

func listenErrors(b *bench) {
	b.call(func() {
		l, _ := b.listen(true)
		if _, err := b.B.Listen(l.Addr(), nil); !errors.Is(err, machine.ErrAddressInUse) {
			b.Errorf("Listen at an address in use: got error %v, want ErrAddressInUse", err)
		}
		if _, err := b.B.Listen("192.0.2.1:7000", nil); !errors.Is(err, machine.ErrAddressNotAvailable) {
			b.Errorf("Listen at an address of another machine: got error %v, want ErrAddressNotAvailable", err)
		}
	})
}
