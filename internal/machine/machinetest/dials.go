package machinetest

import (
	"errors"

	"starlingwinch/internal/machine"
)

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
