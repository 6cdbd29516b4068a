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
				defer b.enterCallback()()
				fired = append(fired, i)
			})
		}
	})
	b.wait("all timers", func() bool { return len(fired) == len(want) })
	if !slices.Equal(fired, want) {
		b.Errorf("fired in the order %v, want %v", fired, want)
	}
}

func timersNeverEarly(b *bench) {
	fired := 0
	b.call(func() {
		for i := range 10 {
			at := b.A.Now() + machine.Time(1+700*(10-i))
			b.A.At(at, func() {
				defer b.enterCallback()()
				fired++
				if now := b.A.Now(); now < at {
					b.Errorf("a timer set for %d fired early, at %d", at, now)
				}
			})
		}
	})
	b.wait("all timers", func() bool { return fired == 10 })
}

func stoppedTimers(b *bench) {
	var last, fired bool
	var stoppedWhenFired machine.Timer
	b.call(func() {
		stopped := b.A.At(b.A.Now()+1000, func() { b.Error("a stopped timer fired") })
		stoppedWhenFired = b.A.At(b.A.Now()+1000, func() {
			defer b.enterCallback()()
			fired = true
			stoppedWhenFired.Stop()
		})
		b.A.At(b.A.Now()+2000, func() { last = true })
		stopped.Stop()
		stopped.Stop()
	})
	b.wait("the last timer", func() bool { return last })
	if !fired {
		b.Error("the timer that was not stopped before it was due did not fire")
	}
	last = false
	b.call(func() {
		b.A.At(b.A.Now()+1000, func() { last = true })
		stoppedWhenFired.Stop()
	})
	b.wait("a timer set before Stop of a fired timer", func() bool { return last })
}

func timerInThePast(b *bench) {
	fired := false
	b.call(func() {
		b.A.At(b.A.Now()-1_000_000, func() {
			defer b.enterCallback()()
			fired = true
		})
		if fired {
			b.Error("At called the function before it returned")
		}
	})
	b.wait("the timer", func() bool { return fired })
}

func postsInOrder(b *bench) {
	var ran []int
	b.call(func() {
		b.A.Post(func() {
			defer b.enterCallback()()
			ran = append(ran, 0)
			b.A.Post(func() { ran = append(ran, 2) })
		})
		b.A.Post(func() {
			defer b.enterCallback()()
			ran = append(ran, 1)
		})
	})
	b.wait("all posted functions", func() bool { return len(ran) == 3 })
	if !slices.Equal(ran, []int{0, 1, 2}) {
		b.Errorf("ran in the order %v, want [0 1 2]", ran)
	}
}

func workBeforeDone(b *bench) {
	worked, done := false, false
	b.call(func() {
		b.A.Work(func() { worked = true }, func() {
			defer b.enterCallback()()
			done = true
			if !worked {
				b.Error("done was called before the end of the work")
			}
		})
		if done {
			b.Error("Work called done before it returned")
		}
	})
	b.wait("done", func() bool { return done })
}

func readFile(b *bench) {
	content := []byte("ten bytes.")
	name := b.PutFile(content)
	b.call(func() {
		if got, err := b.A.ReadFile(name, 10); err != nil || !bytes.Equal(got, content) {
			b.Errorf("ReadFile: got %q and error %v, want %q", got, err, content)
		}
		if _, err := b.A.ReadFile(name, 9); err == nil {
			b.Error("ReadFile of a file longer than the limit succeeded, want an error")
		}
		if _, err := b.A.ReadFile(name+".none", 10); !errors.Is(err, fs.ErrNotExist) {
			b.Errorf("ReadFile of a missing file: got error %v, want ErrNotExist", err)
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
		b.A.OnSignal(func(s machine.Signal) {
			defer b.enterCallback()()
			got = append(got, s)
		})
	})
	b.wait("the signal sent before the handler was set", func() bool { return len(got) == 1 })
	b.Signal(machine.Terminate)
	b.wait("the second signal", func() bool { return len(got) == 2 })
	if !slices.Equal(got, []machine.Signal{machine.HangUp, machine.Terminate}) {
		b.Errorf("got signals %v, want HangUp and Terminate", got)
	}
}
