package standin

import (
	"bytes"
	"errors"
	"strings"
)

// Limits of the data read from a socket. Lengths are parsed strictly: a length with a sign, a space or a leading zero is an
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

// readLength reads a header such as "$12\r\n" at b[at:]. next is 0 while the header is incomplete; n is -1 for null.
func readLength(b []byte, at int, kind byte, limit int) (n, next int, err error) {
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
	if !ok || size > int64(limit) {
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

// readBulk reads a bulk string at b[at:]. next is 0 while the string is incomplete.
func readBulk(b []byte, at, limit int) (data []byte, next int, null bool, err error) {
	n, from, err := readLength(b, at, '$', limit)
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

// readCommand parses one command, an array of bulk strings, from b. used is 0 while the command is incomplete.
func readCommand(b []byte) (args [][]byte, used int, err error) {
	n, at, err := readLength(b, 0, '*', maxArgs)
	if err != nil || at == 0 {
		return nil, 0, err
	}
	if n <= 0 {
		return nil, 0, errBadLength
	}
	for i := range n {
		limit := maxWordBytes
		if i == valueArg {
			limit = maxValueBytes
		}
		arg, next, null, err := readBulk(b, at, limit)
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

// Indexes of a request's arguments.
const (
	keyArg   = 1
	idArg    = 2
	metaArg  = 3 // metadata: names and values
	valueArg = 4 // of a write
)

// metadataError reports an invalid name or value in a request's metadata.
type metadataError struct {
	name      string
	notNumber bool // the value should be a number
}

// Error returns the name and the kind of the error.
func (e *metadataError) Error() string {
	if e.notNumber {
		return e.name + " is no number, or unknown"
	}
	return "unknown name " + e.name
}

// wireRequest is a request as encoded on the wire.
type wireRequest struct {
	write          bool
	key            string
	id             string
	class          string // c
	tenant         string // t
	idempotencyKey string // k; empty for none
	timeLeft       Time   // d, until the deadline
	size           int    // size, the size of the value to read
	retry          bool   // r
	workHint       Time   // h
}

// parseRequest parses a request's arguments. An error is a fault of the router, because clients send valid requests.
func parseRequest(args [][]byte) (wireRequest, error) {
	var request wireRequest
	request.write = string(args[0]) == "C.SET"
	want := valueArg
	if request.write {
		want++
	}
	if len(args) != want {
		return request, errArgumentCount
	}
	request.key, request.id = string(args[keyArg]), string(args[idArg])
	if request.key == "" || request.id == "" {
		return request, errNoKeyOrID
	}
	return request, request.parseMeta(string(args[metaArg]))
}

// parseMeta parses the metadata.
func (r *wireRequest) parseMeta(text string) error {
	seen := map[string]bool{}
	for _, pair := range strings.Split(text, ",") {
		name, value, ok := strings.Cut(pair, "=")
		if !ok || value == "" || seen[name] {
			return errBadMetadata
		}
		seen[name] = true
		if err := r.setMeta(name, value); err != nil {
			return err
		}
	}
	if !seen["c"] || !seen["d"] {
		return errMetadataMissing
	}
	return nil
}

// setMeta sets one value of the metadata.
func (r *wireRequest) setMeta(name, value string) error {
	switch name {
	case "c":
		r.class = value
		return nil
	case "t":
		r.tenant = value
		return nil
	case "k":
		r.idempotencyKey = value
		return nil
	}
	n, ok := parseNumber([]byte(value))
	if !ok {
		return &metadataError{name: name, notNumber: true}
	}
	switch name {
	case "d":
		r.timeLeft = n * Millisecond
	case "h":
		r.workHint = n
	case "r":
		r.retry = n == 1
	case "size":
		r.size = int(min(n, maxValueBytes))
	default:
		return &metadataError{name: name}
	}
	return nil
}
