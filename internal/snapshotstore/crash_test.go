package snapshotstore

import (
	"fmt"
	"reflect"
	"testing"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/snapshot"
	"starlingwinch/internal/testbench/sim"
)

// powerLosses enumerates the possible outcomes of a power failure: for each change that was not flushed, how much of it
// survives.
type powerLosses struct {
	survived, maxSurvived []int // for each change, in order
	index                 int   // of the next change
}

// surviving implements sim.Leaves.
func (l *powerLosses) surviving(_ string, most int) int {
	if l.index == len(l.survived) {
		l.survived, l.maxSurvived = append(l.survived, 0), append(l.maxSurvived, most)
	}
	l.index++
	return l.survived[l.index-1]
}

// next advances to the next combination. It reports false after the last combination.
func (l *powerLosses) next() bool {
	l.index = 0
	for i := len(l.survived) - 1; i >= 0; i-- {
		if l.survived[i] < l.maxSurvived[i] {
			l.survived[i]++
			l.survived, l.maxSurvived = l.survived[:i+1], l.maxSurvived[:i+1]
			return true
		}
	}
	return false
}

// folderWith returns a harness with a number of stored generations, and the state that was written last.
func folderWith(t *testing.T, generations int) (*harness, snapshot.Snapshot) {
	d := newHarness(t)
	d.mustOpen(startTime)
	var old snapshot.Snapshot
	for n := 1; n <= generations; n++ {
		old = stateOf(n)
		d.mustWrite(old, old.At)
	}
	return d, old
}

// checkRestart starts another process. The process must read the complete old or new state without notes, and must be able to
// write. checkRestart reports whether the process read the new state.
func checkRestart(t *testing.T, d *harness, old, next snapshot.Snapshot, generations int, what string) (isNew bool) {
	t.Helper()
	d.restart()
	got, ok := d.mustOpen(next.At + second)
	isNew = ok && reflect.DeepEqual(got, next)
	isOld := ok && generations > 0 && reflect.DeepEqual(got, old) || !ok && generations == 0
	if !isNew && !isOld {
		t.Fatalf("%s: got %+v, %v, want the old or the new state", what, got, ok)
	}
	later := stateOf(9)
	d.mustWrite(later, later.At)
	d.restart()
	if got, ok := d.mustOpen(later.At); !ok || !reflect.DeepEqual(got, later) {
		t.Fatalf("%s: after another write got %+v, %v, want the state of that write", what, got, ok)
	}
	if files := d.h.Files(folder); len(files) > 4 {
		t.Fatalf("%s: got %d files, want at most 4: %v", what, len(files), files)
	}
	return isNew
}

// TestWriteIsAtomicAtEveryCrashPoint checks that an interrupted write leaves the complete old or new state. It kills the process
// or cuts the power at each step and each byte of a write. After a power failure, each combination of unflushed changes may
// survive.
func TestWriteIsAtomicAtEveryCrashPoint(t *testing.T) {
	crashPoints, newStates := 0, 0
	for generations := range 3 {
		d, _ := folderWith(t, generations)
		next, firstStep := stateOf(5), d.h.DiskSteps()
		d.mustWrite(next, next.At)
		steps := d.h.DiskSteps() - firstStep
		size := len(encodeFile(t, router, next, next.At))
		for step := range steps + 1 {
			for part := 0; part <= size; part++ {
				cut := sim.Cut{Step: step, Part: part}
				interruptedWrite := func() (*harness, snapshot.Snapshot) {
					d, old := folderWith(t, generations)
					d.h.CutDisk(cut)
					err := d.write(next, next.At)
					if done := step == steps; done != (err == nil) {
						t.Fatalf("step %d of %d: got error %v, want an error before the last step only", step, steps, err)
					}
					return d, old
				}
				what := fmt.Sprintf("%d generations, %+v", generations, cut)
				d, old := interruptedWrite()
				d.h.CutDisk(sim.Cut{Step: 1 << 30}) // SIGKILL: unflushed writes survive
				crashPoints++
				if checkRestart(t, d, old, next, generations, what) {
					newStates++
				}
				for losses := (powerLosses{}); ; {
					d, old := interruptedWrite()
					d.h.Power(losses.surviving)
					crashPoints++
					if checkRestart(t, d, old, next, generations, fmt.Sprint(what, " power failure ", losses.survived)) {
						newStates++
					} else if step == steps {
						t.Fatalf("%s: a state that was written completely is lost in a power failure", what)
					}
					// A content whose write was cut at each byte is tested with three surviving lengths only: no
					// byte, some bytes, and all bytes.
					for i, most := range losses.maxSurvived {
						if most > 2 && part < size && losses.survived[i] > 0 && losses.survived[i] < most-1 {
							losses.survived[i] = most - 1
						}
					}
					if !losses.next() {
						break
					}
				}
				if !isContentStep(t, generations, next, step) {
					break // the step has no parts
				}
			}
		}
	}
	if crashPoints < 5000 || newStates == 0 || newStates == crashPoints {
		t.Errorf("got %d crash points, %d with the new state, want at least 5000 and some with each state", crashPoints, newStates)
	}
}

// isContentStep reports whether a step writes the content of a file. Only such a step can be done in part.
func isContentStep(t *testing.T, generations int, next snapshot.Snapshot, step int) bool {
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

// TestWriteKilledAtRandomTimes checks that a process finds a complete state after each kill, and never an older state than the
// process before.
func TestWriteKilledAtRandomTimes(t *testing.T) {
	d := newHarness(t)
	last := 0
	for n := 1; n <= 500; n++ {
		d.restart()
		got, ok := d.mustOpen(startTime + Time(n)*second)
		if ok {
			if at := int(got.Router.OriginLimit); at < last || !reflect.DeepEqual(got, stateOf(at)) {
				t.Fatalf("kill %d: got %+v, want a complete state not older than state %d", n, got, last)
			} else {
				last = at
			}
		} else if last > 0 {
			t.Fatalf("kill %d: got no state, want one not older than state %d", n, last)
		}
		next := stateOf(n)
		d.h.Machine().OnDisk(func(disk machine.Disk) { d.s.Write(disk, next, next.At, maxAge) }, func() {})
		d.h.Kill()
		if files := d.h.Files(folder); len(files) > 4 {
			t.Fatalf("kill %d: got %d files, want at most 4: %v", n, len(files), files)
		}
	}
	if last < 100 {
		t.Errorf("got state %d of 500 as the last, want at least 100: too few writes succeeded", last)
	}
}
