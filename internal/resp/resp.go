// Package resp reads the Redis serialization protocol, version 2, for both sides of the router: commands of clients and replies
// of caches. It does no I/O: it reads what has arrived off the front of a buffer, or reports that it is not whole yet.
//
// It is strict: the readers of the codec that writes (redcon) accept signs, spaces and any size in a length, and panic on some.
package resp

import (
	"bytes"
	"errors"
)

// Bounds of what is read.
const (
	// MaxValueBytes is the maximum number of bytes of a value.
	MaxValueBytes = 64 << 10
	// MaxWordBytes is the maximum number of bytes of a key, an id, a command's metadata or a word of a reply.
	MaxWordBytes = 1 << 10
	// MaxCommandBytes is the maximum number of bytes of a whole command.
	MaxCommandBytes = MaxValueBytes + 4<<10
	// MaxReplyBytes is the maximum number of bytes of a whole reply.
	MaxReplyBytes = MaxValueBytes + 3*MaxWordBytes

	maxLineBytes = 512 // of a reply that is a line
	maxArgs      = 16  // of a command
)

// MetaArg is the place of a command's metadata, behind verb, key and id.
const MetaArg = 3

// ErrReply says that a reply is none that a cache may send.
var ErrReply = errors.New("malformed answer")

// Errors of commands, whose texts clients receive. Lengths and lines of replies have the same ones.
var (
	errLength = errors.New("invalid length")
	errLine   = errors.New("unreadable line")
)

const (
	nullLength       = "-1"
	lineEnd          = "\r\n"
	deleteCharacter  = 0x7f
	arrayPrefix      = '*'
	bulkStringPrefix = '$'
	errorPrefix      = '-'
	simplePrefix     = '+'
)

// parseLength reads a header line with the given prefix, such as "$12\r\n", that begins at b[start]. next is where it ends, or 0
// where it is not whole yet. The length of null is -1.
func parseLength(b []byte, start int, prefix byte, maxLength int) (length, next int, err error) {
	if start >= len(b) {
		return 0, 0, nil
	}
	if b[start] != prefix {
		return 0, 0, errLength
	}
	digits := start + 1
	for i := digits; i < len(b); i++ {
		switch c := b[i]; {
		case c == '\r':
			return endLength(b, digits, i, length)
		case c == '-' && i == digits: // null, perhaps
		case c == '1' && i == digits+1 && b[digits] == '-': // null, if the line ends here
		case c < '0' || c > '9' || b[digits] == '-':
			return 0, 0, errLength
		default:
			// A length is refused as soon as it is too large, before what it announces has arrived.
			length = length*10 + int(c-'0')
			if length > maxLength {
				return 0, 0, errLength
			}
		}
	}
	return 0, 0, nil
}

// endLength ends a header line at the carriage return at b[end]. Its digits begin at b[digits] and have the given value.
func endLength(b []byte, digits, end, value int) (length, next int, err error) {
	switch {
	case string(b[digits:end]) == nullLength:
		value = -1
	case end == digits, b[digits] == '-', b[digits] == '0' && end > digits+1:
		return 0, 0, errLength
	}
	if end+1 == len(b) {
		return 0, 0, nil
	}
	if b[end+1] != '\n' {
		return 0, 0, errLength
	}
	return value, end + len(lineEnd), nil
}

// parseBulk reads a bulk string that begins at b[start] and ends at next, or 0 where it is not whole yet. Its data is nil where
// it is null.
func parseBulk(b []byte, start, maxLength int) (data []byte, next int, err error) {
	length, first, err := parseLength(b, start, bulkStringPrefix, maxLength)
	if err != nil || first == 0 {
		return nil, 0, err
	}
	if length < 0 {
		return nil, first, nil
	}
	end := first + length
	for i := range len(lineEnd) {
		if end+i >= len(b) {
			return nil, 0, nil
		}
		if b[end+i] != lineEnd[i] {
			return nil, 0, errLength
		}
	}
	return b[first:end:end], end + len(lineEnd), nil
}

// parseLine reads one line off b and returns it without its end. next is 0 where it is not whole yet.
func parseLine(b []byte, maxBytes int) (text []byte, next int, err error) {
	text = b
	if end := bytes.IndexByte(b, '\n'); end >= 0 {
		text, next = b[:end], end+1
	}
	// One carriage return ends the line, or is the last byte that has arrived of it. A second one must not be taken for an end
	// too: the same bytes would be read one way whole and another way split.
	text = bytes.TrimSuffix(text, []byte("\r"))
	if len(text) > maxBytes || bytes.ContainsFunc(text, isControl) {
		return nil, 0, errLine
	}
	return text, next, nil
}

// isControl reports whether a character is a control character other than a tabulator.
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == deleteCharacter }
