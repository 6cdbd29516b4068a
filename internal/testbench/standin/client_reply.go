package standin

import (
	"bytes"
	"strings"

	"starlingwinch/internal/testbench/rules"
)

// clientReply is a reply of a router as a client reads it.
type clientReply struct {
	kind       rules.Answer
	value      string
	retryAfter Time // that came with -BUSY; 0 for none
}

// maxDepth bounds the nesting of arrays.
const maxDepth = 4

// readReply takes one reply off b. used is 0 while it is not whole. A bulk string that is not null, or an array that
// begins with one, counts as served.
func readReply(b []byte) (a clientReply, used int, err error) {
	if len(b) == 0 {
		return a, 0, nil
	}
	a.kind = rules.Failed
	switch b[0] {
	case '$', '*':
		return readValue(b)
	case '-', '+', ':':
	default:
		return a, 0, errMalformed
	}
	text, used, err := readLine(b)
	if err != nil || used == 0 {
		return a, 0, err
	}
	code, rest, _ := strings.Cut(text, " ")
	if code == "-BUSY" {
		a.kind = rules.Refused
		if ms, ok := parseNumber([]byte(rest)); ok {
			a.retryAfter = ms * Millisecond
		}
	}
	return a, used, nil
}

// readValue reads a reply that is a bulk string or an array.
func readValue(b []byte) (a clientReply, used int, err error) {
	a.kind = rules.Failed
	used, err = skipValue(b, 0, 0)
	if err != nil || used == 0 {
		return a, 0, err
	}
	at := 0
	if b[0] == '*' {
		n, next, _ := readLength(b, 0, '*', maxArgs)
		if n <= 0 || b[next] != '$' {
			return a, used, nil
		}
		at = next
	}
	data, _, null, _ := readBulk(b, at, maxValueBytes)
	if !null {
		a.kind, a.value = rules.Served, string(data)
	}
	return a, used, nil
}

// skipValue finds the end of the value at b[at:], or 0 while it is not whole.
func skipValue(b []byte, at, depth int) (next int, err error) {
	if at >= len(b) {
		return 0, nil
	}
	switch b[at] {
	case '$':
		_, next, _, err = readBulk(b, at, maxValueBytes)
		return next, err
	case '*':
		n, next, err := readLength(b, at, '*', maxArgs)
		if err != nil || next == 0 {
			return 0, err
		}
		if depth >= maxDepth {
			return 0, errBadLength
		}
		for range n {
			if next, err = skipValue(b, next, depth+1); err != nil || next == 0 {
				return 0, err
			}
		}
		return next, nil
	}
	_, used, err := readLine(b[at:])
	if err != nil || used == 0 {
		return 0, err
	}
	return at + used, nil
}

// readLine takes one line off b. used is 0 while it is not whole.
func readLine(b []byte) (text string, used int, err error) {
	end := bytes.Index(b, []byte("\r\n"))
	if end < 0 && len(b) > maxLineLength || end > maxLineLength {
		return "", 0, errMalformed
	}
	if end < 0 {
		return "", 0, nil
	}
	return string(b[:end]), end + 2, nil
}
