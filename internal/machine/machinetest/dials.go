package machinetest

import (
	"errors"

	"starlingwinch/internal/machine"
)

func dialRefused(b *bench) {
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
		b.Errorf("got error %v, want ErrRefused", e.err)
	}
}

func dialInvalidAddress(b *bench) {
	var e *end
	b.call(func() {
		e = b.dial("invalid address", nil)
		if e.err != nil {
			b.Error("Dial called done before it returned")
		}
	})
	b.wait("the error", func() bool { return e.err != nil })
}

func dialCancelled(b *bench) {
	var other *end
	b.call(func() {
		l, _ := b.listen(true)
		d := b.A.Dial(l.Addr(), 5_000_000, func(machine.Conn, error) machine.Handler {
			b.Error("done was called after Cancel")
			return nil
		})
		other = b.dial(l.Addr(), nil)
		d.Cancel()
		d.Cancel()
	})
	b.wait("the other connection", func() bool { return other.conn != nil })
}

func dialTimeout(b *bench) {
	if b.Nowhere == "" {
		b.Skip("the rig has no address that never answers")
	}
	var got error
	b.call(func() {
		b.A.Dial(b.Nowhere, 200_000, func(_ machine.Conn, err error) machine.Handler {
			defer b.enterCallback()()
			got = err
			return nil
		})
	})
	b.wait("the timeout", func() bool { return got != nil })
	if !errors.Is(got, machine.ErrTimeout) {
		b.Errorf("got error %v, want ErrTimeout", got)
	}
}
