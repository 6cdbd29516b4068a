// Package resp parses the Redis serialization protocol, version 2: commands of clients and replies of caches. It does no
// I/O: its functions parse the start of a buffer, or report that the buffer does not yet hold a complete command or reply.
//
// The parsers are strict. The package does not use the readers of redcon, which encodes commands and replies, as these
// readers accept signs, spaces and any size in a length, and panic on some lengths.
package resp

import (
	"bytes"
	"errors"
)

// Limits on the size of commands and replies.
const (
	// MaxValueBytes is the maximum number of bytes of a value.
	MaxValueBytes = 64 << 10
	// MaxWordBytes is the maximum number of bytes of a key, an id, a command's metadata or a word of a reply.
	MaxWordBytes = 1 << 10
	// MaxCommandBytes is the maximum number of bytes of a whole command.
	MaxCommandBytes = MaxValueBytes + 4<<10
	// MaxReplyBytes is the maximum number of bytes of a whole reply.
	MaxReplyBytes = MaxValueBytes + 3*MaxWordBytes

	maxLineBytes = 512 // maximum size of a single-line reply
	maxArgs      = 16  // maximum number of arguments of a command
)

// MetaArg is the index of the metadata in a command's arguments, after the verb, the key and the id.
const MetaArg = 3

// ErrReply reports a reply that is not valid from a cache.
var ErrReply = errors.New("malformed answer")

// Parse errors. Their texts are sent to clients if a command causes them. Replies of caches cause the same errors.
var (
	errInvalidLength = errors.New("invalid length")
	errInvalidLine   = errors.New("unreadable line")
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

// parseLength parses a header line with the given prefix, such as "$12\r\n", that starts at b[start]. next is the offset
// after the line, or 0 if the line is incomplete. The length of null is -1.
func parseLength(b []byte, start int, prefix byte, maxLength int) (length, next int, err error) {
	if start >= len(b) {
		return 0, 0, nil
	}
	if b[start] != prefix {
		return 0, 0, errInvalidLength
	}
	digits := start + 1
	for i := digits; i < len(b); i++ {
		switch c := b[i]; {
		case c == '\r':
			return parseLengthEnd(b, digits, i, length)
		case c == '-' && i == digits: // possibly null
		case c == '1' && i == digits+1 && b[digits] == '-': // null, if the line ends here
		case c < '0' || c > '9' || b[digits] == '-':
			return 0, 0, errInvalidLength
		default:
			// A length above the maximum is rejected at once, before the announced bytes arrive.
			length = length*10 + int(c-'0')
			if length > maxLength {
				return 0, 0, errInvalidLength
			}
		}
	}
	return 0, 0, nil
}

// parseLengthEnd completes parseLength at the carriage return at b[end]. The line's digits start at b[digits] and have the
// given value.
func parseLengthEnd(b []byte, digits, end, value int) (length, next int, err error) {
	switch {
	case string(b[digits:end]) == nullLength:
		value = -1
	case end == digits, b[digits] == '-', b[digits] == '0' && end > digits+1:
		return 0, 0, errInvalidLength
	}
	if end+1 == len(b) {
		return 0, 0, nil
	}
	if b[end+1] != '\n' {
		return 0, 0, errInvalidLength
	}
	return value, end + len(lineEnd), nil
}

// parseBulk parses a bulk string that starts at b[start]. next is the offset after the bulk string, or 0 if the bulk string
// is incomplete. data is nil for null.
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
			return nil, 0, errInvalidLength
		}
	}
	return b[first:end:end], end + len(lineEnd), nil
}

// parseLine parses the line at the start of b and returns it without its line end. next is the offset after the line, or 0
// if the line is incomplete.
func parseLine(b []byte, maxBytes int) (text []byte, next int, err error) {
	text = b
	if end := bytes.IndexByte(b, '\n'); end >= 0 {
		text, next = b[:end], end+1
	}
	// Only one carriage return is trimmed: it is part of the line end, or the last byte received of an incomplete line.
	// Trimming a second one would make the same bytes parse differently when they arrive at once and when they arrive in
	// parts.
	text = bytes.TrimSuffix(text, []byte("\r"))
	if len(text) > maxBytes || bytes.ContainsFunc(text, isControl) {
		return nil, 0, errInvalidLine
	}
	return text, next, nil
}

// isControl reports whether a character is a control character other than a tab.
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == deleteCharacter }
