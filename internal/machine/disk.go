package machine

import (
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
)

// realDisk implements Disk with the files of this machine. Package os opens files with O_CLOEXEC, so that no child process
// inherits a lock.
type realDisk struct{}

// Read implements Disk. O_NONBLOCK prevents open from waiting for the writer of a FIFO. Links are rejected because they may
// lead to a device whose content never ends.
func (realDisk) Read(name string, maxBytes int64) ([]byte, error) {
	f, err := os.OpenFile(name, os.O_RDONLY|syscall.O_NOFOLLOW|syscall.O_NONBLOCK, 0)
	if errors.Is(err, syscall.ELOOP) {
		return nil, fmt.Errorf("%s: a symbolic link: %w", name, ErrNotRegularFile)
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() {
		return nil, fmt.Errorf("%s: %w", name, ErrNotRegularFile)
	}
	if info.Size() > maxBytes {
		return nil, fmt.Errorf("%s: %d bytes, %w of %d", name, info.Size(), ErrTooLong, maxBytes)
	}
	b, err := io.ReadAll(io.LimitReader(f, maxBytes+1)) // the file may grow while it is read
	if err == nil && int64(len(b)) > maxBytes {
		err = fmt.Errorf("%s: %w of %d", name, ErrTooLong, maxBytes)
	}
	if err != nil {
		return nil, err
	}
	return b, nil
}

// Create implements Disk. O_EXCL also rejects links.
func (realDisk) Create(name string, content []byte) error {
	f, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(content)
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}

// Rename implements Disk.
func (realDisk) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements Disk.
func (realDisk) Remove(name string) error { return os.Remove(name) }

// SyncFolder implements Disk.
func (realDisk) SyncFolder(folder string) error {
	f, err := os.OpenFile(folder, os.O_RDONLY|syscall.O_DIRECTORY, 0)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Lock implements Disk, by flock(2).
func (realDisk) Lock(name string) (Lock, error) {
	f, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE|syscall.O_NOFOLLOW|syscall.O_NONBLOCK, 0o600)
	if err != nil {
		return nil, err
	}
	if err := retryInterrupted(func() error { return syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) }); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, fmt.Errorf("%s: %w", name, ErrLocked)
		}
		return nil, &os.PathError{Op: "flock", Path: name, Err: err}
	}
	return &flock{f}, nil
}

// flock is an open file that holds a lock.
type flock struct{ f *os.File }

// Holds implements Lock.
func (l *flock) Holds() bool {
	mine, err := l.f.Stat()
	if err != nil {
		return false
	}
	there, err := os.Lstat(l.f.Name())
	return err == nil && os.SameFile(mine, there)
}

// Release implements Lock. The file stays, because removing it could remove the lock of another process.
func (l *flock) Release() { l.f.Close() }

// Files returns the files of this machine, for a program that runs no loop.
func Files() Disk { return realDisk{} }
