// Package snapshotstore stores a router's state in files in a folder. A file is written atomically, with a checksum, the time
// of writing and the router's name. A file is read back only if all three are valid. No file in the folder causes a fatal
// error, and a rejected file is renamed ("set aside") and not deleted.
//
// The package accesses the disk through a machine.Disk, outside the router's event loop. docs/design/state.md specifies the
// file format.
package snapshotstore

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"starlingwinch/internal/snapshot"
)

// Time is an instant or a duration in microseconds.
type Time = snapshot.Time

// Version is the format version of written files.
const Version = 1

// MaxFileBytes is the size limit of a file.
const MaxFileBytes = 16 << 20

// magic is the prefix of each file. A transfer in text mode would change its byte above 127 or its line endings, and is
// therefore detected.
var magic = [8]byte{0x89, 'S', 'W', 'S', 'T', '\r', '\n', 0x1a}

// Offsets and sizes in bytes. The magic bytes, the version, the size and the checksum at the end have the same position in all
// versions.
const (
	versionOffset      = len(magic)
	sizeOffset         = versionOffset + 2
	commonHeaderBytes  = sizeOffset + 8 // size of the header fields that all versions share
	writtenOffset      = commonHeaderBytes
	sectionsOffset     = writtenOffset + 8
	nameLengthOffset   = sectionsOffset + 2
	headerBytes        = nameLengthOffset + 2 // before the router's name
	checksumBytes      = sha256.Size
	sectionHeaderBytes = 2 + 4 // kind and length
	maxRouterNameBytes = 255
)

// File is the content of a file with a valid checksum.
type File struct {
	Written  Time // time of writing, by the system clock
	Router   string
	Sections []snapshot.Section
}

// Encode returns the encoded file.
func Encode(f File) ([]byte, error) {
	if len(f.Router) > maxRouterNameBytes {
		return nil, fmt.Errorf("the router's name has %d bytes, maximum %d", len(f.Router), maxRouterNameBytes)
	}
	size := headerBytes + len(f.Router) + checksumBytes
	for _, section := range f.Sections {
		size += sectionHeaderBytes + len(section.Body)
	}
	if size > MaxFileBytes {
		return nil, fmt.Errorf("the state has %d bytes, maximum %d", size, MaxFileBytes)
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

// Decode decodes a file. The error is a *RejectedError.
//
// Decode verifies the checksum before the version, so that an intact file of a newer program is not reported as corrupt.
func Decode(b []byte) (File, error) {
	if rejected := checkMagic(b); rejected != nil {
		return File{}, rejected
	}
	if rejected := checkSize(b); rejected != nil {
		return File{}, rejected
	}
	body, checksum := b[:len(b)-checksumBytes], b[len(b)-checksumBytes:]
	if sum := sha256.Sum256(body); !bytes.Equal(sum[:], checksum) {
		return File{}, reject(Corrupt, "checksum mismatch")
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

// checkMagic rejects a file that does not begin with the magic bytes.
func checkMagic(b []byte) *RejectedError {
	switch {
	case bytes.HasPrefix(b, magic[:]):
		return nil
	case len(b) < len(magic) && bytes.HasPrefix(magic[:], b):
		return reject(Truncated, "%d bytes", len(b))
	}
	return reject(NotAState, "unknown magic bytes")
}

// checkSize rejects a file that is shorter or longer than the size in its header.
func checkSize(b []byte) *RejectedError {
	if len(b) < commonHeaderBytes {
		return reject(Truncated, "%d bytes", len(b))
	}
	size := binary.BigEndian.Uint64(b[sizeOffset:])
	switch {
	case uint64(len(b)) < size:
		return reject(Truncated, "%d bytes of %d", len(b), size)
	case uint64(len(b)) > size || size < uint64(commonHeaderBytes+checksumBytes):
		return reject(Corrupt, "%d bytes, but the header says %d", len(b), size)
	}
	return nil
}

// decodeBody decodes a file of the current version without the checksum, which the caller has verified.
func decodeBody(b []byte) (File, error) {
	if len(b) < headerBytes {
		return File{}, reject(Corrupt, "the header is truncated")
	}
	f := File{Written: Time(binary.BigEndian.Uint64(b[writtenOffset:]))}
	sectionCount := int(binary.BigEndian.Uint16(b[sectionsOffset:]))
	nameBytes := int(binary.BigEndian.Uint16(b[nameLengthOffset:]))
	rest := b[headerBytes:]
	if nameBytes > len(rest) || nameBytes > maxRouterNameBytes {
		return File{}, reject(Corrupt, "the router's name is truncated")
	}
	f.Router, rest = string(rest[:nameBytes]), rest[nameBytes:]
	for range sectionCount {
		if len(rest) < sectionHeaderBytes {
			return File{}, reject(Corrupt, "a section header is truncated")
		}
		kind, bodyBytes := binary.BigEndian.Uint16(rest), uint64(binary.BigEndian.Uint32(rest[2:]))
		rest = rest[sectionHeaderBytes:]
		if bodyBytes > uint64(len(rest)) {
			return File{}, reject(Corrupt, "section %d is truncated", kind)
		}
		f.Sections = append(f.Sections, snapshot.Section{Kind: kind, Body: rest[:bodyBytes]})
		rest = rest[bodyBytes:]
	}
	if len(rest) > 0 {
		return File{}, reject(Corrupt, "%d trailing bytes after the sections", len(rest))
	}
	return f, nil
}
