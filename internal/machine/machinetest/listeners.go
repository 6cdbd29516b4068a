package machinetest

import (
	"errors"

	"starlingwinch/internal/machine"
)

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
