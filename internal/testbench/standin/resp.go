package standin

import (
	"bytes"
	"errors"
	"strings"
)

// Bounds of what is read from a socket. Lengths are read strictly: one with a sign, a space or a leading zero is an
// error.
const (
	maxArgs       = 16
	maxWordBytes  = 1 << 10
	maxValueBytes = 64 << 10
	maxLineLength = 512
	// maxCommandBytes is the longest legal command: its arguments, its value and their lengths.
	maxCommandBytes = maxValueBytes + maxArgs*(maxWordBytes+16)
)

var (
	errBadLength       = errors.New("bad length")
	errArgumentCount   = errors.New("wrong number of words")
	errNoKeyOrID       = errors.New("key or id is empty")
	errBadMetadata     = errors.New("bad entry among the names and values")
	errMetadataMissing = errors.New("c and d are needed")
	errMalformed       = errors.New("neither an answer nor a command")
)

// readLength reads a header such as "$12\r\n" at b[at:]. next is 0 while it is not whole; n is -1 for null.
func readLength(b []byte, at int, kind byte, most int) (n, next int, err error) {
	if at >= len(b) {
		return 0, 0, nil
	}
	if b[at] != kind {
		return 0, 0, errMalformed
	}
	rest := b[at+1:]
	end := bytes.IndexByte(rest, '\n')
	digits := rest
	if end >= 0 {
		if end == 0 || rest[end-1] != '\r' {
			return 0, 0, errBadLength
		}
		digits = rest[:end-1]
	}
	if len(digits) > 8 {
		return 0, 0, errBadLength
	}
	if end < 0 {
		return 0, 0, nil
	}
	if string(digits) == "-1" {
		return -1, at + 1 + end + 1, nil
	}
	size, ok := parseNumber(digits)
	if !ok || size > int64(most) {
		return 0, 0, errBadLength
	}
	return int(size), at + 1 + end + 1, nil
}

// parseNumber reads at most nine decimal digits without a sign or a leading zero.
func parseNumber(b []byte) (int64, bool) {
	if len(b) == 0 || len(b) > 9 || b[0] == '0' && len(b) > 1 {
		return 0, false
	}
	n := int64(0)
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + int64(c-'0')
	}
	return n, true
}

// readBulk reads a bulk string at b[at:]. next is 0 while it is not whole.
func readBulk(b []byte, at, most int) (data []byte, next int, null bool, err error) {
	n, from, err := readLength(b, at, '$', most)
	if err != nil || from == 0 {
		return nil, 0, false, err
	}
	if n < 0 {
		return nil, from, true, nil
	}
	end := from + n
	if end < len(b) && b[end] != '\r' || end+1 < len(b) && b[end+1] != '\n' {
		return nil, 0, false, errBadLength
	}
	if end+2 > len(b) {
		return nil, 0, false, nil
	}
	return b[from:end], end + 2, false, nil
}

// readCommand takes one command, an array of bulk strings, off b. used is 0 while it is not whole.
func readCommand(b []byte) (args [][]byte, used int, err error) {
	n, at, err := readLength(b, 0, '*', maxArgs)
	if err != nil || at == 0 {
		return nil, 0, err
	}
	if n <= 0 {
		return nil, 0, errBadLength
	}
	for i := range n {
		most := maxWordBytes
		if i == valueArg {
			most = maxValueBytes
		}
		arg, next, null, err := readBulk(b, at, most)
		if err != nil || null {
			return nil, 0, errBadLength
		}
		if next == 0 {
			return nil, 0, nil
		}
		args, at = append(args, arg), next
	}
	return args, at, nil
}

// Places of a request's arguments.
const (
	keyArg   = 1
	idArg    = 2
	metaArg  = 3 // metadata: names and values
	valueArg = 4 // of a write
)

// metadataError is a value of the metadata that no request may hold.
type metadataError struct {
	name      string
	notNumber bool // the value should be a number
}

// Error describes the value.
func (e *metadataError) Error() string {
	if e.notNumber {
		return e.name + " is no number, or unknown"
	}
	return "unknown name " + e.name
}

// wireRequest is a request as it stands on the wire.
type wireRequest struct {
	write          bool
	key            string
	id             string
	class          string // c
	tenant         string // t
	idempotencyKey string // k; empty for none
	timeLeft       Time   // d, until the deadline
	size           int    // size, of the value that is read
	retry          bool   // r
	workHint       Time   // h
}

// parseRequest reads a request's arguments. The error is an error of the router, as clients send valid requests.
func parseRequest(args [][]byte) (wireRequest, error) {
	var a wireRequest
	a.write = string(args[0]) == "C.SET"
	want := valueArg
	if a.write {
		want++
	}
	if len(args) != want {
		return a, errArgumentCount
	}
	a.key, a.id = string(args[keyArg]), string(args[idArg])
	if a.key == "" || a.id == "" {
		return a, errNoKeyOrID
	}
	return a, a.parseMeta(string(args[metaArg]))
}

// parseMeta reads the metadata.
func (a *wireRequest) parseMeta(text string) error {
	seen := map[string]bool{}
	for _, pair := range strings.Split(text, ",") {
		name, value, ok := strings.Cut(pair, "=")
		if !ok || value == "" || seen[name] {
			return errBadMetadata
		}
		seen[name] = true
		if err := a.setMeta(name, value); err != nil {
			return err
		}
	}
	if !seen["c"] || !seen["d"] {
		return errMetadataMissing
	}
	return nil
}

// setMeta sets one value of the metadata.
func (a *wireRequest) setMeta(name, value string) error {
	switch name {
	case "c":
		a.class = value
		return nil
	case "t":
		a.tenant = value
		return nil
	case "k":
		a.idempotencyKey = value
		return nil
	}
	n, ok := parseNumber([]byte(value))
	if !ok {
		return &metadataError{name: name, notNumber: true}
	}
	switch name {
	case "d":
		a.timeLeft = n * Millisecond
	case "h":
		a.workHint = n
	case "r":
		a.retry = n == 1
	case "size":
		a.size = int(min(n, maxValueBytes))
	default:
		return &metadataError{name: name}
	}
	return nil
}
