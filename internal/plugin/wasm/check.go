package wasm

import (
	"bytes"
	"fmt"

	"starlingwinch/internal/plugin"
)

// Bounds of a module, in addition to the bounds of package plugin. Modules that compilers generate for this contract are far
// below these bounds.
const (
	maxMemories     = 1
	maxTables       = 16
	maxTableEntries = 1 << 16 // in one table
	maxFunctions    = 1 << 16
	maxLocals       = 4096 // in one function; locals determine the size of the stack frame
	maxImports      = 256
	maxExports      = 4096
	pageSize        = 64 << 10
)

// Sections of a module (WebAssembly Core Specification, 5.5.2).
const (
	sectionImport   = 2
	sectionFunction = 3
	sectionTable    = 4
	sectionMemory   = 5
	sectionExport   = 7
	sectionCode     = 10
	sectionLast     = 13
)

var header = []byte("\x00asm\x01\x00\x00\x00")

// checkModule checks a module's structure and sizes before wazero compiles the module. A few bytes may declare a table of a
// gigabyte, or stack frames so large that a bound on the call depth has no effect, and wazero allocates that memory before
// any function runs.
func checkModule(code []byte, b plugin.Budget) error {
	if len(code) > plugin.MaxCode {
		return notLoadable("a file of %d bytes (wanted at most %d)", len(code), plugin.MaxCode)
	}
	if !bytes.HasPrefix(code, header) {
		return notLoadable("not a WebAssembly module of version 1")
	}
	r := &reader{b: code, at: len(header)}
	for r.left() > 0 {
		id := r.byte()
		size := r.uint("size of a section")
		if r.err != nil {
			return r.err
		}
		if int64(size) > int64(r.left()) {
			return notLoadable("byte %d: section %d is cut off (%d bytes of %d)", r.at, id, r.left(), size)
		}
		if id > sectionLast {
			return notLoadable("byte %d: unknown section %d", r.at, id)
		}
		body := &reader{b: code[:r.at+int(size)], at: r.at}
		if err := checkSection(id, body, b); err != nil {
			return err
		}
		r.at += int(size)
	}
	return r.err
}

// checkSection checks the counts and sizes of one section.
func checkSection(id byte, r *reader, b plugin.Budget) error {
	count := func(items string, limit uint32) uint32 {
		n := r.uint(items)
		if n > limit && r.err == nil {
			r.err = notLoadable("%d %s (wanted at most %d)", n, items, limit)
		}
		return n
	}
	switch id {
	case sectionImport:
		count("imports", maxImports)
	case sectionExport:
		count("exports", maxExports)
	case sectionFunction:
		count("functions", maxFunctions)
	case sectionTable:
		for range count("tables", maxTables) {
			if r.byte() == 0x40 { // a table with an initial value, whose encoding wazero checks
				return r.err
			}
			if entries := r.limits(); entries > maxTableEntries {
				return notLoadable("a table of %d entries (wanted at most %d)", entries, maxTableEntries)
			}
			if r.err != nil {
				return r.err
			}
		}
	case sectionMemory:
		for range count("memories", maxMemories) {
			pages := r.limits()
			if r.err == nil && pages > uint64(b.Memory)/pageSize {
				return &plugin.Failure{Kind: plugin.NotLoadable, Text: fmt.Sprintf(
					"it asks for %d KiB of memory (its budget is %d KiB)", pages*pageSize>>10, b.Memory>>10)}
			}
		}
	case sectionCode:
		return checkLocals(r, count("functions", maxFunctions))
	}
	return r.err
}

// checkLocals checks the number of locals of each of n functions.
func checkLocals(r *reader, n uint32) error {
	for i := uint32(0); i < n && r.err == nil; i++ {
		size := r.uint("size of a function")
		if r.err == nil && int64(size) > int64(r.left()) {
			return notLoadable("byte %d: function %d is cut off", r.at, i)
		}
		end := r.at + int(size)
		total := uint64(0)
		for range r.uint("groups of locals") {
			total += uint64(r.uint("locals"))
			r.byte()
			if r.err != nil {
				return r.err
			}
			if total > maxLocals {
				return notLoadable("function %d has more than %d locals", i, maxLocals)
			}
		}
		if r.err == nil && r.at > end {
			return notLoadable("byte %d: the locals of function %d exceed its size", r.at, i)
		}
		r.at = end
	}
	return r.err
}

// notLoadable returns the failure of a file that is not a valid hook.
func notLoadable(format string, args ...any) error {
	return &plugin.Failure{Kind: plugin.NotLoadable, Text: fmt.Sprintf(format, args...)}
}

// reader decodes the numbers of a module. After an error its methods return zeros.
type reader struct {
	b   []byte
	at  int   // the offset of the next byte
	err error // the first error
}

// left returns the number of unread bytes.
func (r *reader) left() int { return len(r.b) - r.at }

// byte reads one byte.
func (r *reader) byte() byte {
	if r.err != nil {
		return 0
	}
	if r.left() < 1 {
		r.err = notLoadable("byte %d: the module is cut off", r.at)
		return 0
	}
	r.at++
	return r.b[r.at-1]
}

// uint reads a u32 in LEB128. field names the number in an error.
func (r *reader) uint(field string) uint32 {
	n := r.long(field, 32)
	return uint32(n)
}

// long reads an unsigned number of up to the given bits in LEB128. field names the number in an error.
func (r *reader) long(field string, bits uint) uint64 {
	var n uint64
	for shift := uint(0); ; shift += 7 {
		c := r.byte()
		if r.err != nil {
			return 0
		}
		if shift >= bits || shift+7 > bits && c&0x7f>>(bits-shift) != 0 {
			r.err = notLoadable("byte %d: %s: a number is too large", r.at, field)
			return 0
		}
		n |= uint64(c&0x7f) << shift
		if c&0x80 == 0 {
			return n
		}
	}
}

// limits reads the limits of a memory or a table and returns the lower limit.
func (r *reader) limits() uint64 {
	flags := r.byte()
	bits := uint(32)
	if flags&4 != 0 { // bit 2: 64-bit addresses (memory64)
		bits = 64
	}
	lower := r.long("lower bound", bits)
	if flags&1 != 0 { // bit 0: an upper limit follows
		r.long("upper bound", bits)
	}
	return lower
}
