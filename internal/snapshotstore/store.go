package snapshotstore

import (
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/snapshot"
)

// File names in the folder. Besides these, the slots and the files set aside, the store accesses no files.
const (
	lockName      = "lock"
	temporaryName = "state.new" // the file during a write, before it is renamed
)

// slots are the possible names of state files. The store uses two of them. The others are for folders in which files of a newer
// program occupy the first names.
var slots = [...]string{"state.1", "state.2", "state.3", "state.4"}

// generations is the number of states in a folder: the latest and the previous state.
const generations = 2

// maxSetAside is the maximum number of files that are set aside. Without a limit, each start of a router on a faulty disk would
// add a file.
const maxSetAside = 8

func setAsideName(i int) string { return fmt.Sprintf("set-aside.%d", i+1) }

// Errors of a store that can't use its folder.
var (
	errNoSlot      = errors.New("no slot is free: all state files belong to a newer program or can't be renamed")
	errNotLocked   = errors.New("the folder's lock is not held")
	errLockRemoved = errors.New("the folder's lock was removed")
)

// Store reads and writes the state files of one folder. Its methods block on the disk and must not be called concurrently.
type Store struct {
	folder     string
	router     string            // name of the router that owns the states
	lock       machine.Lock      // nil while the folder is not locked
	writeOrder []string          // slots to write to, the next one first; set by Open and rotated by Write
	last       snapshot.Snapshot // the state read or written last; Write merges it into the next state
}

// New returns a store for a router and a folder. The store does not access the folder before Open.
func New(folder, router string) *Store { return &Store{folder: folder, router: router} }

func (s *Store) path(name string) string { return filepath.Join(s.folder, name) }

// candidate is a slot with a valid state.
type candidate struct {
	slot  string
	file  File
	state snapshot.Snapshot
}

// Open locks the folder and returns the latest valid state of the router. ok reports whether there is such a state. The notes
// name each rejected file and the reason. Open sets rejected files aside, except files of a newer program and files that
// can't be renamed. An error means that the folder can't be used.
func (s *Store) Open(d machine.Disk, now, maxAge Time) (state snapshot.Snapshot, ok bool, notes []string, err error) {
	s.Close()
	lock, err := d.Lock(s.path(lockName))
	if err != nil {
		return state, false, nil, err
	}
	s.lock = lock
	candidates, free, notes := s.scan(d, now, maxAge)
	latest := latestOf(candidates)
	s.assignSlots(candidates, free, latest)
	if len(s.writeOrder) == 0 {
		s.Close()
		return state, false, notes, errNoSlot
	}
	if latest < 0 {
		return state, false, notes, nil
	}
	s.last = candidates[latest].state
	return s.last, true, notes, nil
}

// scan reads all slots. It returns the slots with valid states, the free slots, and a note on each rejected file.
func (s *Store) scan(d machine.Disk, now, maxAge Time) (candidates []candidate, free, notes []string) {
	for _, slot := range slots {
		c, err := s.readSlot(d, slot, now, maxAge)
		switch {
		case err == nil:
			candidates = append(candidates, c)
		case errors.Is(err, fs.ErrNotExist):
			free = append(free, slot)
		default:
			note, freed := s.setAside(d, slot, err)
			notes = append(notes, note)
			if freed {
				free = append(free, slot)
			}
		}
	}
	return candidates, free, notes
}

// readSlot reads one slot. The error is a *RejectedError or wraps fs.ErrNotExist.
func (s *Store) readSlot(d machine.Disk, slot string, now, maxAge Time) (candidate, error) {
	file, state, err := Read(d, s.path(slot))
	if err != nil {
		return candidate{}, err
	}
	if rejected := file.Validate(s.router, now, maxAge); rejected != nil {
		return candidate{}, rejected
	}
	return candidate{slot: slot, file: file, state: state}, nil
}

// latestOf returns the index of the state with the latest time of writing, or -1 if there are no candidates.
func latestOf(candidates []candidate) int {
	latest := -1
	for i, c := range candidates {
		if latest < 0 || c.file.Written > candidates[latest].file.Written {
			latest = i
		}
	}
	return latest
}

// assignSlots chooses the slots for writes. The slot with the latest state comes last, so that the latest state is replaced
// only after another state has been written.
func (s *Store) assignSlots(candidates []candidate, free []string, latest int) {
	s.writeOrder = nil
	for i, c := range candidates {
		if i != latest {
			s.writeOrder = append(s.writeOrder, c.slot)
		}
	}
	s.writeOrder = append(s.writeOrder, free...)
	others := generations
	if latest >= 0 {
		others--
	}
	s.writeOrder = s.writeOrder[:min(others, len(s.writeOrder))]
	if latest >= 0 {
		s.writeOrder = append(s.writeOrder, candidates[latest].slot)
	}
}

// Read reads a file, regardless of its router and age. The error is a *RejectedError or wraps fs.ErrNotExist.
func Read(d machine.Disk, path string) (File, snapshot.Snapshot, error) {
	b, err := d.Read(path, MaxFileBytes)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return File{}, snapshot.Snapshot{}, err
	case errors.Is(err, machine.ErrTooLong):
		return File{}, snapshot.Snapshot{}, reject(TooLarge, "more than %d bytes", MaxFileBytes)
	case errors.Is(err, machine.ErrNotRegularFile):
		return File{}, snapshot.Snapshot{}, reject(Irregular, "")
	case err != nil:
		return File{}, snapshot.Snapshot{}, reject(Unreadable, "%v", withoutPath(err))
	}
	file, err := Decode(b)
	if err != nil {
		return file, snapshot.Snapshot{}, err
	}
	state, err := snapshot.Decode(file.Sections)
	if err != nil {
		return file, snapshot.Snapshot{}, reject(Corrupt, "%v", err)
	}
	return file, state, nil
}

// setAside renames a rejected file, and returns a note and whether the slot is free. A file of a newer program, or a file that
// can't be renamed, is left in place, and its slot is not free. The first files that are set aside are never replaced: if there
// are already maxSetAside, the file replaces the last of them.
func (s *Store) setAside(d machine.Disk, slot string, cause error) (note string, freed bool) {
	note = slot + " is not used: " + cause.Error()
	var rejected *RejectedError
	if errors.As(cause, &rejected) && rejected.Reason == NewerVersion {
		return note + "; it stays", false
	}
	name := s.unusedSetAsideName(d)
	if err := d.Rename(s.path(slot), s.path(name)); err != nil {
		return fmt.Sprintf("%s; it can't be set aside: %v", note, withoutPath(err)), false
	}
	return note + "; set aside as " + name, true
}

// unusedSetAsideName returns the first unused name for a file that is set aside, or the last name if all are in use.
func (s *Store) unusedSetAsideName(d machine.Disk) string {
	for i := range maxSetAside {
		name := setAsideName(i)
		if _, err := d.Read(s.path(name), 0); errors.Is(err, fs.ErrNotExist) {
			return name
		}
	}
	return setAsideName(maxSetAside - 1)
}

// Write replaces the older of the two generations with a state. It writes and flushes the file under a temporary name and then
// renames the file, so that the folder holds the complete old or new state, even if the process or the power fails during the
// write.
func (s *Store) Write(d machine.Disk, state snapshot.Snapshot, now, maxAge Time) error {
	if s.lock == nil {
		return errNotLocked
	}
	if !s.lock.Holds() {
		s.Close() // the folder may have been recreated and locked by another process
		return errLockRemoved
	}
	state = snapshot.Merge(s.last, state, maxAge, snapshot.MaxEndpoints)
	b, err := Encode(File{Written: now, Router: s.router, Sections: snapshot.Encode(state)})
	if err != nil {
		return err
	}
	if err := s.replace(d, s.writeOrder[0], b); err != nil {
		return err
	}
	s.last = state
	// If the rename is not flushed, only the other generation is sure to survive a power failure. The next write must
	// therefore replace this generation again.
	if err := d.SyncFolder(s.folder); err != nil {
		return err
	}
	s.writeOrder = append(s.writeOrder[1:], s.writeOrder[0])
	return nil
}

// replace atomically replaces the content of a slot.
func (s *Store) replace(d machine.Disk, slot string, content []byte) error {
	temporary := s.path(temporaryName)
	// An interrupted write may have left a temporary file.
	if err := d.Remove(temporary); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if err := d.Create(temporary, content); err != nil {
		d.Remove(temporary) // a partial file may occupy space
		return err
	}
	return d.Rename(temporary, s.path(slot))
}

// Locked reports whether the store holds the folder's lock.
func (s *Store) Locked() bool { return s.lock != nil }

// Close releases the folder's lock. Without a lock, it has no effect.
func (s *Store) Close() {
	if s.lock != nil {
		s.lock.Release()
	}
	s.lock = nil
}
