package machinetest

import (
	"bytes"
	"errors"
	"io/fs"
	"slices"

	"starlingwinch/internal/machine"
)

func timersInOrder(b *bench) {
	var fired []int
	want := []int{}
	b.call(func() {
		at := b.A.Now() + 2000
		for i := range 20 {
			want = append(want, i)
			b.A.At(at, func() {
				defer b.turn()()
				fired = append(fired, i)
			})
		}
	})
	b.wait("all timers", func() bool { return len(fired) == len(want) })
	if !slices.Equal(fired, want) {
		b.Errorf("fired in the order %v", fired)
	}
}

func timersNotEarly(b *bench) {
	fired := 0
	b.call(func() {
		for i := range 10 {
			at := b.A.Now() + machine.Time(1+700*(10-i))
			b.A.At(at, func() {
				defer b.turn()()
				fired++
				if now := b.A.Now(); now < at {
					b.Errorf("a timer for %d fired at %d", at, now)
				}
			})
		}
	})
	b.wait("all timers", func() bool { return fired == 10 })
}

func timersStopped(b *bench) {
	var last, fired bool
	var kept machine.Timer
	b.call(func() {
		stopped := b.A.At(b.A.Now()+1000, func() { b.Error("a stopped timer fired") })
		kept = b.A.At(b.A.Now()+1000, func() {
			defer b.turn()()
			fired = true
			kept.Stop()
		})
		b.A.At(b.A.Now()+2000, func() { last = true })
		stopped.Stop()
		stopped.Stop()
	})
	b.wait("the last timer", func() bool { return last })
	if !fired {
		b.Error("the timer beside the stopped one did not fire")
	}
	last = false
	b.call(func() {
		b.A.At(b.A.Now()+1000, func() { last = true })
		kept.Stop()
	})
	b.wait("a timer set before the Stop of one that has fired", func() bool { return last })
}

func timerInThePast(b *bench) {
	fired := false
	b.call(func() {
		b.A.At(b.A.Now()-1_000_000, func() {
			defer b.turn()()
			fired = true
		})
		if fired {
			b.Error("At called back at once")
		}
	})
	b.wait("the timer", func() bool { return fired })
}

func postsInOrder(b *bench) {
	var ran []int
	b.call(func() {
		b.A.Post(func() {
			defer b.turn()()
			ran = append(ran, 0)
			b.A.Post(func() { ran = append(ran, 2) })
		})
		b.A.Post(func() {
			defer b.turn()()
			ran = append(ran, 1)
		})
	})
	b.wait("all posts", func() bool { return len(ran) == 3 })
	if !slices.Equal(ran, []int{0, 1, 2}) {
		b.Errorf("ran in the order %v", ran)
	}
}

func workThenDone(b *bench) {
	worked, done := false, false
	b.call(func() {
		b.A.Work(func() { worked = true }, func() {
			defer b.turn()()
			done = true
			if !worked {
				b.Error("done came before the work")
			}
		})
		if done {
			b.Error("Work called done at once")
		}
	})
	b.wait("done", func() bool { return done })
}

func files(b *bench) {
	content := []byte("ten bytes.")
	name := b.PutFile(content)
	b.call(func() {
		if got, err := b.A.ReadFile(name, 10); err != nil || !bytes.Equal(got, content) {
			b.Errorf("ReadFile gave %q, %v", got, err)
		}
		if _, err := b.A.ReadFile(name, 9); err == nil {
			b.Error("a file longer than the bound was read")
		}
		if _, err := b.A.ReadFile(name+".none", 10); !errors.Is(err, fs.ErrNotExist) {
			b.Errorf("a file that is not there gave %v", err)
		}
	})
}

func signals(b *bench) {
	if b.Signal == nil {
		b.Skip("the rig sends no signals")
	}
	var got []machine.Signal
	b.Signal(machine.HangUp)
	b.call(func() {
		b.A.Signals(func(s machine.Signal) {
			defer b.turn()()
			got = append(got, s)
		})
	})
	b.wait("the signal from before", func() bool { return len(got) == 1 })
	b.Signal(machine.Terminate)
	b.wait("the second signal", func() bool { return len(got) == 2 })
	if !slices.Equal(got, []machine.Signal{machine.HangUp, machine.Terminate}) {
		b.Errorf("got %v", got)
	}
}
