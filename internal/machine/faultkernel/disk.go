package faultkernel

import (
	"syscall"

	"starlingwinch/internal/machine"
)

// faultyDisk is a disk that is full or failing at times.
type faultyDisk struct {
	machine.Disk
	source *source
}

func (d faultyDisk) fails(call string) error {
	return d.source.fails(call, d.source.rates.Disk, syscall.ENOSPC, syscall.EIO)
}

// Create implements machine.Disk. A content that can't be written whole is left there in part.
func (d faultyDisk) Create(name string, content []byte) error {
	err := d.fails("create")
	if err == nil {
		return d.Disk.Create(name, content)
	}
	d.Disk.Create(name, content[:len(content)/2])
	return err
}

// Rename implements machine.Disk.
func (d faultyDisk) Rename(from, to string) error {
	if err := d.fails("rename"); err != nil {
		return err
	}
	return d.Disk.Rename(from, to)
}

// SyncFolder implements machine.Disk.
func (d faultyDisk) SyncFolder(folder string) error {
	if err := d.fails("fsync"); err != nil {
		return err
	}
	return d.Disk.SyncFolder(folder)
}
