package frontend

import (
	"fmt"
	"strings"
	"testing"
)

func TestBusyRoundsUp(t *testing.T) {
	for wait, want := range map[Time]string{0: "-BUSY\r\n", 1: "-BUSY 1\r\n", 1000: "-BUSY 1\r\n",
		1001: "-BUSY 2\r\n", 600_000: "-BUSY 600\r\n"} {
		if got := string(AppendBusy(nil, wait)); got != want {
			t.Errorf("%d: %q, want %q", wait, got, want)
		}
	}
}

// crowded is a front whose places are all in use by clients that wait for an answer.
func crowded(t *testing.T) (*rig, []asked) {
	r := newRig(t, func(o *Options) { o.MaxConnections, o.RetryAfter = 3, 70_000 })
	var waiting []asked
	for i := range 3 {
		r.dial().Send(get(fmt.Sprint("busy", i)))
		waiting = append(waiting, r.next())
	}
	return r, waiting
}

// TestOneTooManyIsRefusedAtOnce. The danger: a client for which there is no place waits in the
// kernel's queue until its time is over, and nobody has told it to go elsewhere.
func TestOneTooManyIsRefusedAtOnce(t *testing.T) {
	r, _ := crowded(t)
	for i := range 2 * surplusMost {
		c := r.dial()
		c.Send(get(fmt.Sprint("late", i)) + get("behind"))
		c.Want("-BUSY 70")
		c.WantClosed()
	}
	r.none()
}

// TestOneTooManyThatSaysNothingIsClosed soon, so that it does not stand in the others' way.
func TestOneTooManyThatSaysNothingIsClosed(t *testing.T) {
	r, _ := crowded(t)
	silent, half := r.dial(), r.dial()
	half.Send("*4\r\n$5\r\nC.G")
	silent.WantClosed()
	half.WantClosed()
	r.none()
}

// TestOneTooManyIsServedOnceThereIsAPlace.
func TestOneTooManyIsServedOnceThereIsAPlace(t *testing.T) {
	r, waiting := crowded(t)
	late := r.dial()
	late.Send(words("PING"))
	late.Want("+PONG") // it is in, as one too many
	r.answer(waiting[0], value)
	r.Do(func() {
		waiting[0].client.close()
		if r.f.lists[surplus].first != nil {
			t.Error("it is one too many though there is a place")
		}
	})
	late.Send(get("late"))
	a := r.next()
	if !strings.HasPrefix(a.cmd.ID(), "late") {
		t.Errorf("asked for %s", a.cmd.ID())
	}
	r.answer(a, value)
	late.Want("value")
}
