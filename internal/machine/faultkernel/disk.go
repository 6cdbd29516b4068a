package faultkernel

import (
	"syscall"

	"starlingwinch/internal/machine"
)

// faultyDisk is a disk on which calls fail at random as if the disk were full or defective.
type faultyDisk struct {
	machine.Disk
	source *source
}

func (d faultyDisk) fails(call string) error {
	return d.source.fails(call, d.source.rates.Disk, syscall.ENOSPC, syscall.EIO)
}

// Create implements machine.Disk. A failing call leaves a file with half of the content.
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
