package snapshotstore

import (
	"errors"
	"io/fs"
	"path/filepath"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/snapshot"
)

// FileStatus is the result of Verify for one file.
type FileStatus struct {
	Name     string
	InUse    bool // a router reads the file at its start
	File     File
	Snapshot snapshot.Snapshot
	Rejected *RejectedError // nil for a valid file
}

// Verify reads the store's files in a folder without changing them. It rejects files that were written later than now, up to a
// small tolerance. The caller checks the maximum age and the router's name.
func Verify(d machine.Disk, folder string, now Time) []FileStatus {
	var statuses []FileStatus
	for i, name := range storeNames() {
		file, state, err := Read(d, filepath.Join(folder, name))
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		status := FileStatus{Name: name, InUse: i < len(slots), File: file, Snapshot: state}
		if !errors.As(err, &status.Rejected) && file.Written > now+maxClockStep {
			status.Rejected = reject(FromFuture, "by %s", FormatSpan(file.Written-now))
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// storeNames returns the names of all files of a store, except the lock. The slots come first.
func storeNames() []string {
	names := append(slots[:len(slots):len(slots)], temporaryName)
	for i := range maxSetAside {
		names = append(names, setAsideName(i))
	}
	return names
}
