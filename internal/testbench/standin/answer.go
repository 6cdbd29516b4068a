package standin

import (
	"bytes"
	"strings"

	"starlingwinch/internal/testbench/rules"
)

// answer is what a client makes of a router's answer.
type answer struct {
	kind  rules.Answer
	value string
	wait  Time // advice that came with -BUSY
}

// mostDepth bounds arrays within arrays.
const mostDepth = 4

// readAnswer takes one answer off b. used is 0 while it is not whole. Served is a bulk string that is
// not null, or an array that begins with one.
func readAnswer(b []byte) (a answer, used int, err error) {
	if len(b) == 0 {
		return a, 0, nil
	}
	a.kind = rules.Failed
	switch b[0] {
	case '$', '*':
		return readValue(b)
	case '-', '+', ':':
	default:
		return a, 0, errForm
	}
	text, used, err := readLine(b)
	if err != nil || used == 0 {
		return a, 0, err
	}
	if word, rest, _ := strings.Cut(text, " "); word == "-BUSY" {
		a.kind = rules.Refused
		if ms, ok := number([]byte(rest)); ok {
			a.wait = ms * Millisecond
		}
	}
	return a, used, nil
}

func readValue(b []byte) (a answer, used int, err error) {
	a.kind = rules.Failed
	used, err = skip(b, 0, 0)
	if err != nil || used == 0 {
		return a, 0, err
	}
	at := 0
	if b[0] == '*' {
		n, next, _ := length(b, 0, '*', mostArgs)
		if n <= 0 || b[next] != '$' {
			return a, used, nil
		}
		at = next
	}
	data, _, null, _ := bulk(b, at, mostValue)
	if !null {
		a.kind, a.value = rules.Served, string(data)
	}
	return a, used, nil
}

// skip finds the end of the value at b[at:], or 0 while it is not whole.
func skip(b []byte, at, depth int) (next int, err error) {
	if at >= len(b) {
		return 0, nil
	}
	switch b[at] {
	case '$':
		_, next, _, err = bulk(b, at, mostValue)
		return next, err
	case '*':
		n, next, err := length(b, at, '*', mostArgs)
		if err != nil || next == 0 {
			return 0, err
		}
		if depth >= mostDepth {
			return 0, errLength
		}
		for range n {
			if next, err = skip(b, next, depth+1); err != nil || next == 0 {
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

// readLine takes one line off b.
func readLine(b []byte) (text string, used int, err error) {
	end := bytes.Index(b, []byte("\r\n"))
	if end < 0 && len(b) > mostLine || end > mostLine {
		return "", 0, errForm
	}
	if end < 0 {
		return "", 0, nil
	}
	return string(b[:end]), end + 2, nil
}
