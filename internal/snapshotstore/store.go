package snapshotstore

import (
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/snapshot"
)

// Names in the folder. The store touches no others.
const (
	lockName      = "lock"
	temporaryName = "state.new" // a file while it is written
)

// slots are the names that a state may have. Two of them are used; the others are for folders in which a newer program's
// files have the first names.
var slots = [...]string{"state.1", "state.2", "state.3", "state.4"}

// generations is the number of states that a folder holds: the latest, and the one before it.
const generations = 2

// maxSetAside is the number of files that are set aside. Without a bound, each start of a router on a bad disk adds one.
const maxSetAside = 8

func setAsideName(i int) string { return fmt.Sprintf("set-aside.%d", i+1) }

// What the store reports where it can't use its folder.
var (
	errNoSlot      = errors.New("no place is left beside the files that are not this program's")
	errNotLocked   = errors.New("the folder's lock is not held")
	errLockRemoved = errors.New("the folder's lock was removed")
)

// Store is one folder. Its calls wait for the disk, and the caller makes them one after another.
type Store struct {
	folder string
	router string            // whose states are read and written
	lock   machine.Lock      // nil while the folder is not locked
	order  []string          // slots to write to, the next one first; set by Open, rotated by Write
	last   snapshot.Snapshot // what was read or written last; Write completes the next one by it
}

// New returns a store of a router in a folder, which it does not look at before Open.
func New(folder, router string) *Store { return &Store{folder: folder, router: router} }

func (s *Store) path(name string) string { return filepath.Join(s.folder, name) }

// candidate is a slot with a state that may be used.
type candidate struct {
	slot  string
	file  File
	state snapshot.Snapshot
}

// Open locks the folder and looks for the latest state that fits. The notes say which files are not used, and why; those
// are set aside, but for files of a newer program, which stay. ok reports whether there is a state. The error says why the
// folder can't be used.
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
	if len(s.order) == 0 {
		s.Close()
		return state, false, notes, errNoSlot
	}
	if latest < 0 {
		return state, false, notes, nil
	}
	s.last = candidates[latest].state
	return s.last, true, notes, nil
}

// scan reads all slots. It returns those with states that fit, those that are free, and a note on each of the others.
func (s *Store) scan(d machine.Disk, now, maxAge Time) (candidates []candidate, free, notes []string) {
	for _, slot := range slots {
		c, err := s.readSlot(d, slot, now, maxAge)
		switch {
		case err == nil:
			candidates = append(candidates, c)
		case errors.Is(err, fs.ErrNotExist):
			free = append(free, slot)
		default:
			note, isFree := s.setAside(d, slot, err)
			notes = append(notes, note)
			if isFree {
				free = append(free, slot)
			}
		}
	}
	return candidates, free, notes
}

// readSlot reads one slot. The error is a *RejectedError or fs.ErrNotExist.
func (s *Store) readSlot(d machine.Disk, slot string, now, maxAge Time) (candidate, error) {
	file, state, err := Read(d, s.path(slot))
	if err != nil {
		return candidate{}, err
	}
	if rejected := file.Fits(s.router, now, maxAge); rejected != nil {
		return candidate{}, rejected
	}
	return candidate{slot: slot, file: file, state: state}, nil
}

// latestOf returns the index of the state that was written last, or -1.
func latestOf(candidates []candidate) int {
	latest := -1
	for i, c := range candidates {
		if latest < 0 || c.file.Written > candidates[latest].file.Written {
			latest = i
		}
	}
	return latest
}

// assignSlots chooses the slots that are written to. The one with the latest state comes last, so that it is replaced only
// once another state is there.
func (s *Store) assignSlots(candidates []candidate, free []string, latest int) {
	s.order = nil
	for i, c := range candidates {
		if i != latest {
			s.order = append(s.order, c.slot)
		}
	}
	s.order = append(s.order, free...)
	others := generations
	if latest >= 0 {
		others--
	}
	s.order = s.order[:min(others, len(s.order))]
	if latest >= 0 {
		s.order = append(s.order, candidates[latest].slot)
	}
}

// Read reads a file, of any router and age. The error is a *RejectedError or fs.ErrNotExist.
func Read(d machine.Disk, path string) (File, snapshot.Snapshot, error) {
	b, err := d.Read(path, MaxFileBytes)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return File{}, snapshot.Snapshot{}, err
	case errors.Is(err, machine.ErrTooLong):
		return File{}, snapshot.Snapshot{}, reject(TooLarge, "more than %d bytes", MaxFileBytes)
	case errors.Is(err, machine.ErrIrregular):
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

// setAside renames a file that is not used, and describes that. A newer program's file stays, and so does one that can't be
// renamed; their slots are not free. The files that were set aside first stay: once there are maxSetAside, each further one
// replaces the last.
func (s *Store) setAside(d machine.Disk, slot string, cause error) (note string, isFree bool) {
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

// unusedSetAsideName returns the first name for a file that is set aside which no file has, or else the last one.
func (s *Store) unusedSetAsideName(d machine.Disk) string {
	for i := range maxSetAside {
		name := setAsideName(i)
		if _, err := d.Read(s.path(name), 0); errors.Is(err, fs.ErrNotExist) {
			return name
		}
	}
	return setAsideName(maxSetAside - 1)
}

// Write stores a state in place of the older of the two generations. The file is written and flushed under a temporary name
// and then renamed, so that the folder holds the old state or the new one, whole, wherever the process or its power ends.
func (s *Store) Write(d machine.Disk, state snapshot.Snapshot, now, maxAge Time) error {
	if s.lock == nil {
		return errNotLocked
	}
	if !s.lock.Holds() {
		s.Close() // another process may hold the lock of a folder that was made anew
		return errLockRemoved
	}
	state = snapshot.Merge(s.last, state, maxAge, snapshot.MaxEndpoints)
	b, err := Encode(File{Written: now, Router: s.router, Sections: snapshot.Encode(state)})
	if err != nil {
		return err
	}
	if err := s.replace(d, s.order[0], b); err != nil {
		return err
	}
	s.last = state
	// Until the rename is flushed, a loss of power is sure to leave only the other generation: the next write must replace
	// this one again.
	if err := d.SyncFolder(s.folder); err != nil {
		return err
	}
	s.order = append(s.order[1:], s.order[0])
	return nil
}

// replace gives a slot its new content in one step.
func (s *Store) replace(d machine.Disk, slot string, content []byte) error {
	temporary := s.path(temporaryName)
	// An earlier write may have ended before its rename.
	if err := d.Remove(temporary); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if err := d.Create(temporary, content); err != nil {
		d.Remove(temporary) // a part of it may take space
		return err
	}
	return d.Rename(temporary, s.path(slot))
}

// Locked reports whether this store holds the folder's lock.
func (s *Store) Locked() bool { return s.lock != nil }

// Close releases the folder's lock. It may be called at any time.
func (s *Store) Close() {
	if s.lock != nil {
		s.lock.Release()
	}
	s.lock = nil
}
