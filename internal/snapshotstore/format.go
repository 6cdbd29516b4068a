// Package snapshotstore stores a router's state in a folder, as a file that is there whole or not at all, with a checksum,
// the time of its writing and the router's name. It reads back only what fits all of these. Nothing that it finds in the
// folder is fatal, and a file that it does not trust is set aside and not destroyed.
//
// The package works on a machine.Disk, outside the router's loop. docs/design/state.md has the form of the file byte by byte.
package snapshotstore

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"starlingwinch/internal/snapshot"
)

// Time is an instant or a span in microseconds.
type Time = snapshot.Time

// Version is the version of files that are written.
const Version = 1

// MaxFileBytes is the size limit of a file.
const MaxFileBytes = 16 << 20

// magic begins each file. It has a byte above 127 and both kinds of line ends, so that a transfer as text is detected.
var magic = [8]byte{0x89, 'S', 'W', 'S', 'T', '\r', '\n', 0x1a}

// Offsets and sizes in bytes. Magic, version and size, and the checksum at the end, have the same places in all versions.
const (
	versionOffset      = len(magic)
	sizeOffset         = versionOffset + 2
	fixedBytes         = sizeOffset + 8 // in all versions
	writtenOffset      = fixedBytes
	sectionsOffset     = writtenOffset + 8
	nameLengthOffset   = sectionsOffset + 2
	headBytes          = nameLengthOffset + 2 // up to the router's name
	checksumBytes      = sha256.Size
	sectionHeadBytes   = 2 + 4 // kind and length
	maxRouterNameBytes = 255
)

// File is the content of a file whose checksum was verified.
type File struct {
	Written  Time // by the system's clock
	Router   string
	Sections []snapshot.Section
}

// Encode returns the bytes of a file.
func Encode(f File) ([]byte, error) {
	if len(f.Router) > maxRouterNameBytes {
		return nil, fmt.Errorf("the router's name has %d bytes, more than %d", len(f.Router), maxRouterNameBytes)
	}
	size := headBytes + len(f.Router) + checksumBytes
	for _, section := range f.Sections {
		size += sectionHeadBytes + len(section.Body)
	}
	if size > MaxFileBytes {
		return nil, fmt.Errorf("the state has %d bytes, more than %d", size, MaxFileBytes)
	}
	b := make([]byte, 0, size)
	b = append(b, magic[:]...)
	b = binary.BigEndian.AppendUint16(b, Version)
	b = binary.BigEndian.AppendUint64(b, uint64(size))
	b = binary.BigEndian.AppendUint64(b, uint64(f.Written))
	b = binary.BigEndian.AppendUint16(b, uint16(len(f.Sections)))
	b = binary.BigEndian.AppendUint16(b, uint16(len(f.Router)))
	b = append(b, f.Router...)
	for _, section := range f.Sections {
		b = binary.BigEndian.AppendUint16(b, section.Kind)
		b = binary.BigEndian.AppendUint32(b, uint32(len(section.Body)))
		b = append(b, section.Body...)
	}
	checksum := sha256.Sum256(b)
	return append(b, checksum[:]...), nil
}

// Decode reads a file. The error is a *RejectedError.
//
// The checksum is verified before the version is looked at, so that a newer program's file is not taken for a broken one.
func Decode(b []byte) (File, error) {
	if rejected := checkMagic(b); rejected != nil {
		return File{}, rejected
	}
	if rejected := checkSize(b); rejected != nil {
		return File{}, rejected
	}
	body, checksum := b[:len(b)-checksumBytes], b[len(b)-checksumBytes:]
	if sum := sha256.Sum256(body); !bytes.Equal(sum[:], checksum) {
		return File{}, reject(Corrupt, "the checksum does not fit")
	}
	version := binary.BigEndian.Uint16(b[versionOffset:])
	switch {
	case version > Version:
		return File{}, reject(NewerVersion, "version %d, this program knows %d", version, Version)
	case version < Version:
		return File{}, reject(OlderVersion, "version %d, this program reads %d", version, Version)
	}
	return decodeBody(body)
}

// checkMagic reports a file that does not begin as one of this package's.
func checkMagic(b []byte) *RejectedError {
	switch {
	case bytes.HasPrefix(b, magic[:]):
		return nil
	case len(b) < len(magic) && bytes.HasPrefix(magic[:], b):
		return reject(Truncated, "%d bytes", len(b))
	}
	return reject(NotAState, "it begins differently")
}

// checkSize reports a file that is shorter or longer than its head says.
func checkSize(b []byte) *RejectedError {
	if len(b) < fixedBytes {
		return reject(Truncated, "%d bytes", len(b))
	}
	size := binary.BigEndian.Uint64(b[sizeOffset:])
	switch {
	case uint64(len(b)) < size:
		return reject(Truncated, "%d bytes of %d", len(b), size)
	case uint64(len(b)) > size || size < uint64(fixedBytes+checksumBytes):
		return reject(Corrupt, "%d bytes, it tells of %d", len(b), size)
	}
	return nil
}

// decodeBody reads a file of this version without its checksum, which the caller has verified.
func decodeBody(b []byte) (File, error) {
	if len(b) < headBytes {
		return File{}, reject(Corrupt, "its head is cut off")
	}
	f := File{Written: Time(binary.BigEndian.Uint64(b[writtenOffset:]))}
	sectionCount := int(binary.BigEndian.Uint16(b[sectionsOffset:]))
	nameBytes := int(binary.BigEndian.Uint16(b[nameLengthOffset:]))
	rest := b[headBytes:]
	if nameBytes > len(rest) || nameBytes > maxRouterNameBytes {
		return File{}, reject(Corrupt, "its name is cut off")
	}
	f.Router, rest = string(rest[:nameBytes]), rest[nameBytes:]
	for range sectionCount {
		if len(rest) < sectionHeadBytes {
			return File{}, reject(Corrupt, "a section is cut off")
		}
		kind, bodyBytes := binary.BigEndian.Uint16(rest), uint64(binary.BigEndian.Uint32(rest[2:]))
		rest = rest[sectionHeadBytes:]
		if bodyBytes > uint64(len(rest)) {
			return File{}, reject(Corrupt, "section %d is cut off", kind)
		}
		f.Sections = append(f.Sections, snapshot.Section{Kind: kind, Body: rest[:bodyBytes]})
		rest = rest[bodyBytes:]
	}
	if len(rest) > 0 {
		return File{}, reject(Corrupt, "%d bytes behind its sections", len(rest))
	}
	return f, nil
}
