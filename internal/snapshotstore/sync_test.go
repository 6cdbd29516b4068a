package snapshotstore

import (
	"reflect"
	"syscall"
	"testing"

	"starlingwinch/internal/machine"
)

// unsynced is a disk whose folders can't be flushed.
type unsynced struct{ machine.Disk }

func (unsynced) SyncFolder(string) error { return syscall.EIO }

// TestFailedSyncKeepsDurableGeneration checks that a loss of power after writes whose names could not be flushed leaves the
// last state that was flushed, or a later one.
func TestFailedSyncKeepsDurableGeneration(t *testing.T) {
	for _, failures := range []int{1, 2, 3} {
		for c := (choices{}); ; {
			d := newHarness(t)
			d.mustOpen(now0)
			d.mustWrite(stateOf(1), stateOf(1).At)
			durable := stateOf(2)
			d.mustWrite(durable, durable.At)
			flushed := folder + "/" + d.s.order[len(d.s.order)-1]
			before, _ := d.h.File(flushed)
			for n := range failures {
				var err error
				next := stateOf(3 + n)
				d.do(func(disk machine.Disk) { err = d.s.Write(unsynced{disk}, next, next.At, oldest) })
				if err == nil {
					t.Fatal("a write that was not flushed is reported as done")
				}
			}
			if after, _ := d.h.File(flushed); !reflect.DeepEqual(before, after) {
				t.Errorf("after %d writes that were not flushed the last flushed state is replaced", failures)
			}
			d.h.Power(c.leaves)
			d.restart()
			later := stateOf(9).At
			got, ok := d.mustOpen(later)
			if !ok || got.At < durable.At {
				t.Errorf("%d writes were not flushed, and a loss of power leaves %v: %+v", failures, ok, got)
			}
			if !c.next() || t.Failed() {
				break
			}
		}
	}
}
