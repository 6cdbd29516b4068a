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
	retryAfter Time // from a -BUSY reply; 0 for none
}

// maxDepth bounds the nesting of arrays.
const maxDepth = 4

// readReply parses one reply from b. used is 0 while the reply is incomplete. A bulk string that is not null, or an array that
// begins with one, counts as served.
func readReply(b []byte) (reply clientReply, used int, err error) {
	if len(b) == 0 {
		return reply, 0, nil
	}
	reply.kind = rules.Failed
	switch b[0] {
	case '$', '*':
		return readValue(b)
	case '-', '+', ':':
	default:
		return reply, 0, errMalformed
	}
	text, used, err := readLine(b)
	if err != nil || used == 0 {
		return reply, 0, err
	}
	code, rest, _ := strings.Cut(text, " ")
	if code == "-BUSY" {
		reply.kind = rules.Refused
		if ms, ok := parseNumber([]byte(rest)); ok {
			reply.retryAfter = ms * Millisecond
		}
	}
	return reply, used, nil
}

// readValue reads a reply that is a bulk string or an array.
func readValue(b []byte) (reply clientReply, used int, err error) {
	reply.kind = rules.Failed
	used, err = skipValue(b, 0, 0)
	if err != nil || used == 0 {
		return reply, 0, err
	}
	at := 0
	if b[0] == '*' {
		n, next, _ := readLength(b, 0, '*', maxArgs)
		if n <= 0 || b[next] != '$' {
			return reply, used, nil
		}
		at = next
	}
	data, _, null, _ := readBulk(b, at, maxValueBytes)
	if !null {
		reply.kind, reply.value = rules.Served, string(data)
	}
	return reply, used, nil
}

// skipValue returns the end of the value at b[at:], or 0 while the value is incomplete.
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

// readLine parses one line from b. used is 0 while the line is incomplete.
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
