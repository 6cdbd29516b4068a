package machinetest

import (
	"errors"
	"io/fs"
	"path/filepath"
	"slices"
	"sync/atomic"

	"starlingwinch/internal/machine"
)

// onDisk runs f with A's disk and waits for its end.
func (b *bench) onDisk(f func(d machine.Disk)) {
	b.Helper()
	done := false
	b.call(func() {
		b.A.OnDisk(f, func() {
			defer b.enterCallback()()
			done = true
		})
	})
	b.wait("the end of work on the disk", func() bool { return done })
}

// path returns the path of a name in the rig's folder.
func (b *bench) path(name string) string { return filepath.Join(b.Folder, name) }

// checkContent checks a file's content.
func (b *bench) checkContent(d machine.Disk, name, content string) {
	b.Helper()
	if got, err := d.Read(b.path(name), 100); err != nil || string(got) != content {
		b.Errorf("read %s: got %q and error %v, want %q", name, got, err, content)
	}
}

// checkMissing checks that no file has the name.
func (b *bench) checkMissing(d machine.Disk, name string) {
	b.Helper()
	if _, err := d.Read(b.path(name), 100); !errors.Is(err, fs.ErrNotExist) {
		b.Errorf("read %s: got error %v, want ErrNotExist", name, err)
	}
}

// noError fails the test if a call returned an error.
func (b *bench) noError(err error) {
	b.Helper()
	if err != nil {
		b.Error(err)
	}
}

func diskInOrder(b *bench) {
	var ran, reported []int
	var finished atomic.Int64 // functions that have run: later ones may run before done of an earlier one is called
	b.call(func() {
		for i := range 10 {
			b.A.OnDisk(func(machine.Disk) {
				ran = append(ran, i)
				finished.Add(1)
			}, func() {
				defer b.enterCallback()()
				if reported = append(reported, i); int(finished.Load()) < len(reported) {
					b.Error("done was called before the end of its work")
				}
			})
		}
		if len(reported) > 0 {
			b.Error("OnDisk called done before it returned")
		}
	})
	b.wait("the end of all work", func() bool { return len(reported) == 10 })
	if want := []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}; !slices.Equal(ran, want) || !slices.Equal(reported, want) {
		b.Errorf("ran in the order %v and reported in the order %v, want %v", ran, reported, want)
	}
}

func createFile(b *bench) {
	b.onDisk(func(d machine.Disk) {
		b.noError(d.Create(b.path("a"), []byte("ten bytes.")))
		b.noError(d.SyncFolder(b.Folder))
		b.checkContent(d, "a", "ten bytes.")
		if _, err := d.Read(b.path("a"), 9); !errors.Is(err, machine.ErrTooLong) {
			b.Errorf("read of a file longer than the limit: got error %v, want ErrTooLong", err)
		}
	})
}

func createExisting(b *bench) {
	b.onDisk(func(d machine.Disk) {
		b.noError(d.Create(b.path("a"), []byte("first")))
		if err := d.Create(b.path("a"), []byte("second")); !errors.Is(err, fs.ErrExist) {
			b.Errorf("second Create of a name: got error %v, want ErrExist", err)
		}
		b.checkContent(d, "a", "first")
	})
}

func renameFile(b *bench) {
	b.onDisk(func(d machine.Disk) {
		b.noError(d.Create(b.path("a"), []byte("a")))
		b.noError(d.Create(b.path("b"), []byte("b")))
		b.noError(d.Rename(b.path("a"), b.path("b")))
		b.checkMissing(d, "a")
		b.checkContent(d, "b", "a")
		if err := d.Rename(b.path("none"), b.path("b")); !errors.Is(err, fs.ErrNotExist) {
			b.Errorf("Rename of a missing file: got error %v, want ErrNotExist", err)
		}
		b.checkContent(d, "b", "a")
	})
}

func removeFile(b *bench) {
	b.onDisk(func(d machine.Disk) {
		b.noError(d.Create(b.path("a"), nil))
		b.noError(d.Remove(b.path("a")))
		b.checkMissing(d, "a")
		if err := d.Remove(b.path("a")); !errors.Is(err, fs.ErrNotExist) {
			b.Errorf("second Remove: got error %v, want ErrNotExist", err)
		}
	})
}

func symbolicLinks(b *bench) {
	b.PutLink(b.path("link"))
	b.onDisk(func(d machine.Disk) {
		if got, err := d.Read(b.path("link"), 1000); !errors.Is(err, machine.ErrNotRegularFile) {
			b.Errorf("Read of a link: got %q and error %v, want ErrNotRegularFile", got, err)
		}
		if err := d.Create(b.path("link"), nil); !errors.Is(err, fs.ErrExist) {
			b.Errorf("Create in place of a link: got error %v, want ErrExist", err)
		}
		if _, err := d.Lock(b.path("link")); err == nil {
			b.Error("Lock of a link succeeded, want an error")
		}
		b.noError(d.Create(b.path("a"), []byte("a")))
		b.noError(d.Rename(b.path("a"), b.path("link")))
		b.checkContent(d, "link", "a")
	})
}

func lockFile(b *bench) {
	b.onDisk(func(d machine.Disk) {
		lock, err := d.Lock(b.path("lock"))
		if err != nil {
			b.Error(err)
			return
		}
		if _, err := d.Lock(b.path("lock")); !errors.Is(err, machine.ErrLocked) {
			b.Errorf("second Lock: got error %v, want ErrLocked", err)
		}
		if !lock.Holds() {
			b.Error("Holds of an acquired lock: got false, want true")
		}
		lock.Release()
		lock.Release()
		again, err := d.Lock(b.path("lock"))
		if err != nil {
			b.Errorf("Lock after Release: %v", err)
			return
		}
		again.Release()
	})
}

func lockRemoved(b *bench) {
	b.onDisk(func(d machine.Disk) {
		lock, err := d.Lock(b.path("lock"))
		if err != nil {
			b.Error(err)
			return
		}
		defer lock.Release()
		b.noError(d.Remove(b.path("lock")))
		if lock.Holds() {
			b.Error("Holds after the file was removed: got true, want false")
		}
		b.noError(d.Create(b.path("lock"), nil))
		if lock.Holds() {
			b.Error("Holds after the file was replaced: got true, want false")
		}
	})
}

func missingFolder(b *bench) {
	b.RemoveFolder()
	b.onDisk(func(d machine.Disk) {
		_, lock := d.Lock(b.path("lock"))
		_, read := d.Read(b.path("a"), 1)
		for call, err := range map[string]error{"Lock": lock, "Read": read, "Create": d.Create(b.path("a"), nil),
			"Remove": d.Remove(b.path("a")), "SyncFolder": d.SyncFolder(b.Folder)} {
			if !errors.Is(err, fs.ErrNotExist) {
				b.Errorf("%s in a missing folder: got error %v, want ErrNotExist", call, err)
			}
		}
	})
}
