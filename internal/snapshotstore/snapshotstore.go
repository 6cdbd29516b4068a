package snapshotstore

import (
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"time"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/snapshot"
)

// Names in the folder. They are the only ones that are looked at, whatever else it holds.
const (
	lockName = "lock"
	newName  = "state.new"
	mostBad  = 8 // files that are kept aside
)

// slots are the names that a state may stand under. Two are used; the others are for where a newer program's files
// stand under the first.
var slots = [...]string{"state.1", "state.2", "state.3", "state.4"}

// generations are kept.
const generations = 2

func badName(i int) string { return fmt.Sprintf("set-aside.%d", i+1) }

// Store is one folder. All its calls wait for the disk; they are made one after another.
type Store struct {
	folder, router string
	lock           machine.Lock
	mine           []string // slots that are written to, the next one first
	last           snapshot.Snapshot
}

// New is a store that has not looked at its folder yet.
func New(folder, router string) *Store { return &Store{folder: folder, router: router} }

func (s *Store) path(name string) string { return filepath.Join(s.folder, name) }

// found is one of the slots.
type found struct {
	slot  string
	file  File
	state snapshot.Snapshot
}

// Open takes the folder's lock and looks for the latest state that fits. notes tell what was found and not used. Where
// the lock is had, what does not fit is set aside, but for a newer program's files, which stay. ok reports whether
// there is a state; the error says why the folder can't be used.
func (s *Store) Open(d machine.Disk, now, oldest Time) (state snapshot.Snapshot, ok bool, notes []string, err error) {
	s.Close()
	if s.lock, err = d.Lock(s.path(lockName)); err != nil {
		s.lock = nil
		return state, false, nil, err
	}
	var good []found
	var free []string
	for _, slot := range slots {
		f, refusal := look(d, s.path(slot), s.router, now, oldest)
		switch {
		case refusal == nil:
			f.slot = slot
			good = append(good, f)
		case errors.Is(refusal, fs.ErrNotExist):
			free = append(free, slot)
		default:
			note, isFree := s.aside(d, slot, refusal)
			notes = append(notes, note)
			if isFree {
				free = append(free, slot)
			}
		}
	}
	latest := -1
	for i, f := range good {
		if latest < 0 || f.file.Written > good[latest].file.Written {
			latest = i
		}
	}
	s.choose(good, free, latest)
	if len(s.mine) == 0 {
		s.Close()
		return state, false, notes, errors.New("no place is left beside the files that are not this program's")
	}
	if latest < 0 {
		return state, false, notes, nil
	}
	s.last = good[latest].state
	return s.last, true, notes, nil
}

// choose says which slots are written to: two of those that are this program's, the one with the latest state last.
func (s *Store) choose(good []found, free []string, latest int) {
	s.mine = nil
	for i, f := range good {
		if i != latest {
			s.mine = append(s.mine, f.slot)
		}
	}
	s.mine = append(s.mine, free...)
	most := generations
	if latest >= 0 {
		most--
	}
	s.mine = s.mine[:min(most, len(s.mine))]
	if latest >= 0 {
		s.mine = append(s.mine, good[latest].slot)
	}
}

// look reads one file. The error is a *Refusal, or fs.ErrNotExist.
func look(d machine.Disk, path, router string, now, oldest Time) (found, error) {
	f, state, err := Read(d, path)
	if err != nil {
		return found{}, err
	}
	if r := f.Fits(router, now, oldest); r != nil {
		return found{}, r
	}
	return found{file: f, state: state}, nil
}

// Read reads a file, whoever's and however old. The error is a *Refusal, or fs.ErrNotExist.
func Read(d machine.Disk, path string) (File, snapshot.Snapshot, error) {
	b, err := d.Read(path, MaxFileBytes)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return File{}, snapshot.Snapshot{}, err
	case errors.Is(err, machine.ErrTooLong):
		return File{}, snapshot.Snapshot{}, refuse(TooLarge, "more than %d bytes", MaxFileBytes)
	case errors.Is(err, machine.ErrIrregular):
		return File{}, snapshot.Snapshot{}, refuse(Irregular, "")
	case err != nil:
		return File{}, snapshot.Snapshot{}, refuse(Unreadable, "%v", cause(err))
	}
	f, err := Decode(b)
	if err != nil {
		return f, snapshot.Snapshot{}, err
	}
	state, err := snapshot.Decode(f.Sections)
	if err != nil {
		return f, snapshot.Snapshot{}, refuse(Corrupt, "%v", err)
	}
	return f, state, nil
}

// aside moves a file that is not used out of the way, and words it. A newer program's file stays, and one that can't be
// moved does; their places are not free. The first files that were set aside stay; once there are mostBad, the last of
// them makes room for the next. The danger: each start of a router on a bad disk adds a file.
func (s *Store) aside(d machine.Disk, slot string, refusal error) (note string, isFree bool) {
	note = slot + " is not used: " + refusal.Error()
	var r *RejectedError
	if errors.As(refusal, &r) && r.Reason == NewerVersion {
		return note + "; it stays", false
	}
	to := badName(mostBad - 1)
	for i := range mostBad {
		if _, err := d.Read(s.path(badName(i)), 0); errors.Is(err, fs.ErrNotExist) {
			to = badName(i)
			break
		}
	}
	if err := d.Rename(s.path(slot), s.path(to)); err != nil {
		return fmt.Sprintf("%s; it can't be set aside: %v", note, cause(err)), false
	}
	return note + "; set aside as " + to, true
}

// Write puts a state on the disk: the other of the two generations is replaced in one step by a file that was flushed
// before. Where the process or its power ends anywhere in it, the folder holds the old state or the new one, whole.
func (s *Store) Write(d machine.Disk, state snapshot.Snapshot, now, oldest Time) error {
	if s.lock == nil {
		return errors.New("the folder's lock is not held")
	}
	if !s.lock.Holds() {
		s.Close() // the danger: another one holds the lock of a folder that was made anew
		return errors.New("the folder's lock was removed")
	}
	state = snapshot.Merge(s.last, state, oldest, snapshot.MaxEndpoints)
	b, err := Encode(File{Written: now, Router: s.router, Sections: snapshot.Encode(state)})
	if err != nil {
		return err
	}
	fresh := s.path(newName)
	if err := d.Remove(fresh); err != nil && !errors.Is(err, fs.ErrNotExist) { // one that was not finished
		return err
	}
	if err := d.Create(fresh, b); err != nil {
		d.Remove(fresh) // what there is of it takes room
		return err
	}
	if err := d.Rename(fresh, s.path(s.mine[0])); err != nil {
		return err
	}
	s.last = state
	// Until the new name is flushed the other generation is the one that a loss of power leaves for sure: the next write
	// replaces this one again.
	if err := d.SyncFolder(s.folder); err != nil {
		return err
	}
	s.mine = append(s.mine[1:], s.mine[0])
	return nil
}

// Locked reports whether the folder's lock was had.
func (s *Store) Locked() bool { return s.lock != nil }

// Close gives the lock back.
func (s *Store) Close() {
	if s.lock != nil {
		s.lock.Release()
	}
	s.lock = nil
}

// cause is the error without the path, which the line names.
func cause(err error) error {
	var at *fs.PathError
	if errors.As(err, &at) {
		return at.Err
	}
	return err
}

// FormatSpan words a span.
func FormatSpan(t Time) string {
	d := time.Duration(t) * time.Microsecond
	switch {
	case d >= 48*time.Hour:
		return fmt.Sprintf("%.0f days", d.Hours()/24)
	case d >= time.Minute:
		return d.Round(time.Second).String()
	}
	return d.Round(time.Millisecond).String()
}
