package snapshotstore

import (
	"errors"
	"io/fs"
	"path/filepath"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/snapshot"
)

// Row is one file of a folder, as Verify finds it.
type Row struct {
	Name     string
	InUse    bool // a router reads it when it starts
	File     File
	Snapshot snapshot.Snapshot
	Rejected *RejectedError // nil for a valid one
}

// Verify reads the files of a folder that belong to a store, and changes nothing. A file that was written later than now is
// rejected; its age and the router's name are for the caller to judge.
func Verify(d machine.Disk, folder string, now Time) []Row {
	var rows []Row
	for i, name := range storeNames() {
		file, state, err := Read(d, filepath.Join(folder, name))
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		row := Row{Name: name, InUse: i < len(slots), File: file, Snapshot: state}
		if !errors.As(err, &row.Rejected) && file.Written > now+maxClockStep {
			row.Rejected = reject(FromFuture, "by %s", FormatSpan(file.Written-now))
		}
		rows = append(rows, row)
	}
	return rows
}

// storeNames returns the names that a store gives its files, the slots first.
func storeNames() []string {
	names := append(slots[:len(slots):len(slots)], temporaryName)
	for i := range maxSetAside {
		names = append(names, setAsideName(i))
	}
	return names
}
