package snapshotstore

import (
	"fmt"
	"reflect"
	"testing"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/snapshot"
	"starlingwinch/internal/testbench/sim"
)

// choices enumerates what a loss of power may leave.
type choices struct {
	took, of []int
	at       int
}

func (c *choices) leaves(_ string, most int) int {
	if c.at == len(c.took) {
		c.took, c.of = append(c.took, 0), append(c.of, most)
	}
	c.at++
	return c.took[c.at-1]
}

// next moves on to the next combination. It reports false after the last one.
func (c *choices) next() bool {
	c.at = 0
	for i := len(c.took) - 1; i >= 0; i-- {
		if c.took[i] < c.of[i] {
			c.took[i]++
			c.took, c.of = c.took[:i+1], c.of[:i+1]
			return true
		}
	}
	return false
}

// folderWith returns a folder with so many generations; the last state that was written is the old one.
func folderWith(t *testing.T, generations int) (*harness, snapshot.Snapshot) {
	d := newHarness(t)
	d.mustOpen(now0)
	var old snapshot.Snapshot
	for n := 1; n <= generations; n++ {
		old = stateOf(n)
		d.mustWrite(old, old.At)
	}
	return d, old
}

// checkRestart starts another process. It must find the old state or the new one, whole and without notes, and must be able to write.
func checkRestart(t *testing.T, d *harness, old, next snapshot.Snapshot, generations int, what string) (isNew bool) {
	t.Helper()
	d.restart()
	got, ok := d.mustOpen(next.At + second)
	isNew = ok && reflect.DeepEqual(got, next)
	isOld := ok && generations > 0 && reflect.DeepEqual(got, old) || !ok && generations == 0
	if !isNew && !isOld {
		t.Fatalf("%s: found %v: %+v", what, ok, got)
	}
	later := stateOf(9)
	d.mustWrite(later, later.At)
	d.restart()
	if got, ok := d.mustOpen(later.At); !ok || !reflect.DeepEqual(got, later) {
		t.Fatalf("%s: what is written afterwards is not found: %+v", what, got)
	}
	if files := d.h.Files(folder); len(files) > 4 {
		t.Fatalf("%s: %d files: %v", what, len(files), files)
	}
	return isNew
}

// TestWriteIsAtomicAtEveryCrashPoint kills the process, or cuts its power, at each step and each byte of a write; what was not
// flushed is there or not, part by part. The next process must find the old state or the new one, whole.
func TestWriteIsAtomicAtEveryCrashPoint(t *testing.T) {
	points, news := 0, 0
	for generations := range 3 {
		d, _ := folderWith(t, generations)
		next, began := stateOf(5), d.h.DiskSteps()
		d.mustWrite(next, next.At)
		steps := d.h.DiskSteps() - began
		size := len(encoded(t, router, next, next.At))
		for step := range steps + 1 {
			for part := 0; part <= size; part++ {
				cut := sim.Cut{Step: step, Part: part}
				killed := func() (*harness, snapshot.Snapshot) {
					d, old := folderWith(t, generations)
					d.h.CutDisk(cut)
					err := d.write(next, next.At)
					if done := step == steps; done != (err == nil) {
						t.Fatalf("step %d of %d: %v", step, steps, err)
					}
					return d, old
				}
				what := fmt.Sprintf("%d generations, %+v", generations, cut)
				d, old := killed()
				d.h.CutDisk(sim.Cut{Step: 1 << 30}) // SIGKILL: what was written is there for others
				points++
				if checkRestart(t, d, old, next, generations, what) {
					news++
				}
				for c := (choices{}); ; {
					d, old := killed()
					d.h.Power(c.leaves)
					points++
					if checkRestart(t, d, old, next, generations, fmt.Sprint(what, " power ", c.took)) {
						news++
					} else if step == steps {
						t.Fatalf("%s: a state that was written is lost with the power", what)
					}
					// Of a content that ends at each byte, what is left is looked at in three places.
					for i := range c.of {
						if c.of[i] > 2 && part < size && c.took[i] > 0 && c.took[i] < c.of[i]-1 {
							c.took[i] = c.of[i] - 1
						}
					}
					if !c.next() {
						break
					}
				}
				if !contentStep(t, generations, next, step) {
					break // the part is no matter
				}
			}
		}
	}
	if points < 5000 || news == 0 || news == points {
		t.Errorf("%d crash points, %d of them left the new state", points, news)
	}
}

// contentStep reports whether a step writes a content: only then a part of it can be there.
func contentStep(t *testing.T, generations int, next snapshot.Snapshot, step int) bool {
	partial := 0
	for _, part := range []int{0, 1} {
		d, _ := folderWith(t, generations)
		d.h.CutDisk(sim.Cut{Step: step, Part: part})
		d.write(next, next.At)
		if b, ok := d.h.File(folder + "/" + temporaryName); ok && len(b) == 1 {
			partial++
		}
	}
	return partial == 1
}

// TestWriteKilledAtRandomTimes checks that a whole state is found after each kill.
func TestWriteKilledAtRandomTimes(t *testing.T) {
	d := newHarness(t)
	last := 0
	for n := 1; n <= 500; n++ {
		d.restart()
		got, ok := d.mustOpen(now0 + Time(n)*second)
		if ok {
			if at := int(got.Router.OriginLimit); at < last || !reflect.DeepEqual(got, stateOf(at)) {
				t.Fatalf("kill %d: found %+v, the last known to be written is %d", n, got, last)
			} else {
				last = at
			}
		} else if last > 0 {
			t.Fatalf("kill %d: nothing is found", n)
		}
		next := stateOf(n)
		d.h.Machine().OnDisk(func(disk machine.Disk) { d.s.Write(disk, next, next.At, oldest) }, func() {})
		d.h.Kill()
		if files := d.h.Files(folder); len(files) > 4 {
			t.Fatalf("kill %d: %d files: %v", n, len(files), files)
		}
	}
	if last < 100 {
		t.Errorf("the last state found is %d of 500: hardly any write came through", last)
	}
}
