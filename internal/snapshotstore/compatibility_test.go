package snapshotstore

import (
	"bytes"
	"os"
	"reflect"
	"testing"

	"starlingwinch/decide"
	"starlingwinch/internal/snapshot"
)

// TestDecodeReadsFilesOfEarlierRelease checks that a state file of release ea855d0 is decoded with all its figures, and that
// encoding the result gives the same bytes.
func TestDecodeReadsFilesOfEarlierRelease(t *testing.T) {
	written, err := os.ReadFile("testdata/ea855d0.state")
	if err != nil {
		t.Fatal(err)
	}
	file, err := Decode(written)
	if err != nil {
		t.Fatal(err)
	}
	if file.Router != "r-1" || file.Written != 1_750_000_000_000_000 {
		t.Errorf("got a file of router %q written at %d, want r-1 at 1750000000000000", file.Router, file.Written)
	}
	got, err := snapshot.Decode(file.Sections)
	if err != nil {
		t.Fatal(err)
	}
	if want := earlierState(); !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
	file.Sections = snapshot.Encode(got)
	if again, err := Encode(file); err != nil || !bytes.Equal(again, written) {
		t.Errorf("encoding again: error %v, got\n%x\nwant\n%x", err, again, written)
	}
}

// earlierState is the state in the file of the earlier release.
func earlierState() snapshot.Snapshot {
	const written Time = 1_750_000_000_000_000
	return snapshot.Snapshot{
		At: written - 3*second,
		Router: decide.Snapshot{
			OriginLimit: 12.5, OriginMissRatio: 0.125, RetryBudget: 7.75, ErrorRatio: 0.0625, LostRatio: 0.03125,
			Zones: []decide.ZoneSnapshot{{Name: "east", FailedConnections: 3}, {Name: "west", FailedConnections: 255}},
		},
		Caches: []snapshot.Endpoint{
			{
				EndpointSnapshot: decide.EndpointSnapshot{
					ID: "c1", StartedAt: written - 600*second, ConcurrencyLimit: 24.5, LateRatio: 0.25, ErrorRatio: 0.5,
					Healthy: true, Responsive: true, CachedKeys: []uint64{1, 0x9e3779b97f4a7c15, 1<<64 - 1},
				},
				At: written - second, KeysAt: written - 2*second,
			},
			{
				EndpointSnapshot: decide.EndpointSnapshot{ID: "c2", ConcurrencyLimit: 1, LateRatio: 1, ErrorRatio: 1, FailedHealthChecks: 7},
				At:               written - 4*second,
			},
			{
				EndpointSnapshot: decide.EndpointSnapshot{
					ID: "cache-\u00fcber-3", StartedAt: -5, ConcurrencyLimit: 0.1, Healthy: true, CachedKeys: []uint64{42},
				},
				At: written - 5*second, KeysAt: written - 6*second,
			},
			{
				EndpointSnapshot: decide.EndpointSnapshot{
					ID: "d4", StartedAt: 17, ConcurrencyLimit: 3e300, LateRatio: 0.1, ErrorRatio: 1e-300, FailedHealthChecks: 255,
					Responsive: true,
				},
				At: written,
			},
		},
	}
}
