package snapshotstore

import (
	"reflect"
	"syscall"
	"testing"

	"starlingwinch/internal/machine"
)

// failingSyncDisk is a disk that fails to flush folders.
type failingSyncDisk struct{ machine.Disk }

func (failingSyncDisk) SyncFolder(string) error { return syscall.EIO }

// TestFailedSyncKeepsDurableGeneration checks that the last flushed state, or a later one, survives a power failure after writes
// whose renames could not be flushed. Such writes must not replace the last flushed state.
func TestFailedSyncKeepsDurableGeneration(t *testing.T) {
	for _, failures := range []int{1, 2, 3} {
		for losses := (powerLosses{}); ; {
			d := newHarness(t)
			d.mustOpen(startTime)
			d.mustWrite(stateOf(1), stateOf(1).At)
			durable := stateOf(2)
			d.mustWrite(durable, durable.At)
			flushed := folder + "/" + d.s.writeOrder[len(d.s.writeOrder)-1]
			before, _ := d.h.File(flushed)
			for n := range failures {
				var err error
				next := stateOf(3 + n)
				d.do(func(disk machine.Disk) { err = d.s.Write(failingSyncDisk{disk}, next, next.At, maxAge) })
				if err == nil {
					t.Fatal("a write whose rename was not flushed got no error")
				}
			}
			if after, _ := d.h.File(flushed); !reflect.DeepEqual(before, after) {
				t.Errorf("after %d unflushed writes: the last flushed state was replaced", failures)
			}
			d.h.Power(losses.surviving)
			d.restart()
			later := stateOf(9).At
			got, ok := d.mustOpen(later)
			if !ok || got.At < durable.At {
				t.Errorf("after %d unflushed writes and a power failure: got %+v, %v, want the last flushed state or a later one", failures, got, ok)
			}
			if !losses.next() || t.Failed() {
				break
			}
		}
	}
}
