package sim

import (
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path"
	"slices"

	"starlingwinch/internal/machine"
)

// disk is a host's files. It knows what a loss of power would leave: contents that were flushed, and names as of the
// last flush of their folder. The model is that of ALICE (Pillai et al., OSDI 2014), at its harshest: of what was not
// flushed each change may be there or not, by itself, and a content may end at any byte.
type disk struct {
	rand       *rand.Rand
	extraDelay Time // that each work takes in addition
	err        error
	folders    map[string]bool
	names      map[string]*inode // as processes see them
	flushed    map[string]*inode // as a loss of power leaves them
	locks      map[*inode]*Process
	steps      int // so far
	cut        *Cut
	ended      bool // the cut's step has been reached
}

// ErrFull is the error of a full disk, for FailDisk.
var ErrFull = errors.New("no space left on the disk")

// inode is a file, whatever its names.
type inode struct {
	content   []byte
	flushed   []byte // its content as a loss of power leaves it
	err       error  // of each read
	irregular bool   // not a regular file
}

// Cut ends all work on a disk at one of its steps: nothing has an effect from then on, until Host.Power. The steps are
// those of Disk's calls that change something; Create has three: its name, its content, its flush.
type Cut struct {
	Step int // counted from the call of CutDisk, the first is 0
	Part int // bytes of the content that are written, where the step is a content
}

func newDisk(r *rand.Rand) *disk {
	return &disk{rand: r, folders: map[string]bool{}, names: map[string]*inode{}, flushed: map[string]*inode{},
		locks: map[*inode]*Process{}}
}

// PutFile writes a file and its folder, both flushed.
func (h *Host) PutFile(name string, content []byte) { h.disk.put(name, content) }

func (d *disk) put(name string, content []byte) {
	b := slices.Clone(content)
	n := &inode{content: b, flushed: b}
	d.folders[path.Dir(name)] = true
	d.names[name], d.flushed[name] = n, n
}

// PutOdd creates something that is not a regular file.
func (h *Host) PutOdd(name string) {
	h.PutFile(name, nil)
	h.disk.names[name].irregular = true
}

// RemoveFile deletes a file.
func (h *Host) RemoveFile(name string) {
	delete(h.disk.names, name)
	delete(h.disk.flushed, name)
}

// FailFile makes reads of a file fail until it is put or removed.
func (h *Host) FailFile(name string, err error) {
	h.PutFile(name, nil)
	h.disk.names[name].err = err
}

// Files are the names in a folder, in order.
func (h *Host) Files(folder string) []string {
	var all []string
	for _, name := range slices.Sorted(maps.Keys(h.disk.names)) {
		if path.Dir(name) == folder {
			all = append(all, name)
		}
	}
	return all
}

// File is a file's content as a process would read it; false where there is none.
func (h *Host) File(name string) ([]byte, bool) {
	n := h.disk.names[name]
	if n == nil {
		return nil, false
	}
	return slices.Clone(n.content), true
}

// MakeFolder makes a folder.
func (h *Host) MakeFolder(name string) { h.disk.folders[name] = true }

// RemoveFolder removes a folder and everything in it.
func (h *Host) RemoveFolder(name string) {
	delete(h.disk.folders, name)
	for _, file := range h.Files(name) {
		h.RemoveFile(file)
	}
}

// FailDisk makes each change of the disk fail, as on a full (ErrFull) or a read-only disk; nil ends that.
func (h *Host) FailDisk(err error) { h.disk.err = err }

// SlowDisk adds a delay to each work on the disk.
func (h *Host) SlowDisk(d Time) { h.disk.extraDelay = d }

// CutDisk ends all work on the disk at a step from now. The process runs on, and sees errors only.
func (h *Host) CutDisk(c Cut) {
	c.Step += h.disk.steps
	h.disk.cut, h.disk.ended = &c, false
}

// DiskSteps is the number of steps that were done on the disk so far.
func (h *Host) DiskSteps() int { return h.disk.steps }

// Leaves says what of the things that were not flushed a loss of power leaves. It is called for each of them, in a fixed
// order: for a change of a name, with 1, it gives 1 where the change is there; for a content with its length, it gives
// how many of its bytes are.
type Leaves func(what string, most int) int

// Power kills the process by a loss of power; the disk is whole again afterwards, without what leaves leaves out.
// Where leaves is nil the host's chance decides.
func (h *Host) Power(leaves Leaves) {
	h.Kill()
	d := h.disk
	d.cut, d.ended = nil, false
	if leaves == nil {
		leaves = func(_ string, most int) int { return d.rand.IntN(most + 1) }
	}
	all := maps.Clone(d.names)
	maps.Copy(all, d.flushed)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if d.names[name] != d.flushed[name] && leaves("name "+name, 1) == 1 {
			set(d.flushed, name, d.names[name])
		}
	}
	torn := map[*inode]bool{}
	for _, name := range slices.Sorted(maps.Keys(d.flushed)) {
		n := d.flushed[name]
		if string(n.content) != string(n.flushed) && !torn[n] {
			n.flushed = n.content[:leaves("content "+name, len(n.content))]
			n.content = n.flushed
		}
		torn[n] = true
	}
	d.names = maps.Clone(d.flushed)
	clear(d.locks)
}

// set gives a name to a file, or removes the name where n is nil.
func set(names map[string]*inode, name string, n *inode) {
	if n == nil {
		delete(names, name)
		return
	}
	names[name] = n
}

// killed ends the work of a killed process on the disk, of which a random number of steps has been done, and its locks.
func (d *disk) killed(p *Process) {
	if len(p.diskWork) > 0 && !d.ended {
		kept := d.cut
		d.cut = &Cut{Step: d.steps + d.rand.IntN(8), Part: d.rand.IntN(1 << 16)}
		p.world.inWork = true
		p.diskWork[0](diskSession{d, p})
		p.world.inWork = false
		d.cut, d.ended = kept, false
	}
	p.diskWork = nil
	maps.DeleteFunc(d.locks, func(_ *inode, holder *Process) bool { return holder == p })
}

func (d *disk) read(name string, most int64) ([]byte, error) {
	n := d.names[name]
	switch {
	case n == nil:
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	case n.err != nil:
		return nil, &fs.PathError{Op: "open", Path: name, Err: n.err}
	case n.irregular:
		return nil, fmt.Errorf("%s: %w", name, machine.ErrNotRegularFile)
	case int64(len(n.content)) > most:
		return nil, fmt.Errorf("%s: %w of %d", name, machine.ErrTooLong, most)
	}
	return slices.Clone(n.content), nil
}

var errCut = errors.New("sim: the process or its power has ended")

// step begins a step; part is how many bytes of n are still written.
func (d *disk) step(n int) (part int, err error) {
	if d.ended {
		return 0, errCut
	}
	if d.cut != nil && d.steps == d.cut.Step {
		d.ended = true
		return min(n, d.cut.Part), errCut
	}
	d.steps++
	return n, nil
}

// change begins a step that changes a name.
func (d *disk) change(op, name string) error {
	if _, err := d.step(0); err != nil {
		return err
	}
	return d.failing(op, name)
}

func (d *disk) failing(op, name string) error {
	if d.err != nil {
		return &fs.PathError{Op: op, Path: name, Err: d.err}
	}
	if !d.folders[path.Dir(name)] {
		return &fs.PathError{Op: op, Path: name, Err: fs.ErrNotExist}
	}
	return nil
}

// diskSession is the disk as one work sees it.
type diskSession struct {
	disk    *disk
	process *Process
}

// Read implements machine.Disk.
func (o diskSession) Read(name string, most int64) ([]byte, error) {
	if o.disk.ended {
		return nil, errCut
	}
	return o.disk.read(name, most)
}

// Create implements machine.Disk. On a full disk there is room for the name and half of the content.
func (o diskSession) Create(name string, content []byte) error {
	d := o.disk
	if _, err := d.step(0); err != nil {
		return err
	}
	full := errors.Is(d.err, ErrFull)
	if err := d.failing("open", name); err != nil && !full {
		return err
	}
	if d.names[name] != nil || d.folders[name] {
		return &fs.PathError{Op: "open", Path: name, Err: fs.ErrExist}
	}
	n := &inode{}
	d.names[name] = n
	part, err := d.step(len(content))
	if full {
		part, err = part/2, errors.Join(err, &fs.PathError{Op: "write", Path: name, Err: ErrFull})
	}
	n.content = slices.Clone(content[:part])
	if err != nil {
		return err
	}
	if _, err := d.step(0); err != nil {
		return err
	}
	n.flushed = n.content
	return nil
}

// Rename implements machine.Disk.
func (o diskSession) Rename(from, to string) error {
	d := o.disk
	if err := d.change("rename", from); err != nil {
		return err
	}
	n := d.names[from]
	if n == nil {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	delete(d.names, from)
	d.names[to] = n
	return nil
}

// Remove implements machine.Disk.
func (o diskSession) Remove(name string) error {
	if err := o.disk.change("remove", name); err != nil {
		return err
	}
	if o.disk.names[name] == nil {
		return &fs.PathError{Op: "remove", Path: name, Err: fs.ErrNotExist}
	}
	delete(o.disk.names, name)
	return nil
}

// SyncFolder implements machine.Disk.
func (o diskSession) SyncFolder(folder string) error {
	d := o.disk
	if err := d.change("sync", path.Join(folder, "x")); err != nil {
		return err
	}
	for name := range d.flushed { // any order: each by itself
		if path.Dir(name) == folder && d.names[name] == nil {
			delete(d.flushed, name)
		}
	}
	for name, n := range d.names { // any order: each by itself
		if path.Dir(name) == folder {
			d.flushed[name] = n
		}
	}
	return nil
}

// Lock implements machine.Disk.
func (o diskSession) Lock(name string) (machine.Lock, error) {
	d := o.disk
	n := d.names[name]
	if n == nil {
		if err := d.change("open", name); err != nil {
			return nil, err
		}
		n = &inode{}
		d.names[name] = n
	}
	if err := d.failing("open", name); err != nil {
		return nil, err
	}
	if d.ended {
		return nil, errCut
	}
	if n.irregular {
		return nil, fmt.Errorf("%s: %w", name, machine.ErrNotRegularFile)
	}
	if d.locks[n] != nil {
		return nil, fmt.Errorf("%s: %w", name, machine.ErrLocked)
	}
	d.locks[n] = o.process
	return &heldLock{d, name, n}, nil
}

// heldLock is a machine.Lock.
type heldLock struct {
	disk *disk
	name string
	n    *inode
}

// Holds implements machine.Lock.
func (l *heldLock) Holds() bool { return l.n != nil && l.disk.names[l.name] == l.n }

// Release implements machine.Lock.
func (l *heldLock) Release() {
	if l.n != nil {
		delete(l.disk.locks, l.n)
	}
	l.n = nil
}
