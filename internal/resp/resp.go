// Package resp reads RESP2, strictly, for both sides of the router: commands of clients and answers
// of caches. It does no I/O: it takes what has come off the front of a buffer, or says that it is not
// whole yet. Nothing is taken on trust; the readers of the codec that writes (redcon) take signs,
// spaces and any size in a length, and panic on some.
package resp

import (
	"bytes"
	"errors"
	"math"
	"slices"
	"strconv"
	"strings"

	"starlingwinch/decide"
)

const (
	MaxValueBytes   = 64 << 10                       // bytes of a value
	MaxWordBytes    = 1 << 10                        // ... of a key, an id, a list of names and values, a word of an answer
	MaxCommandBytes = MaxValueBytes + 4<<10          // ... of a whole command
	mostLine        = 512                            // ... of a line
	MetaArg         = 3                              // place of a command's names and values, behind verb, key and id
	mostArgs        = 16                             // arguments of a command
	MaxReplyBytes   = MaxValueBytes + 3*MaxWordBytes // bytes of a whole answer
)

var (
	ErrReply  = errors.New("malformed answer")
	errLength = errors.New("invalid length")
)

// figure reads a header line of the given kind, such as "$12\r\n", that begins at b[at]. next is
// where it ends, or 0 where it is not whole yet. A size of -1 stands for null.
func figure(b []byte, at int, kind byte, most int) (size, next int, err error) {
	if at >= len(b) {
		return 0, 0, nil
	}
	if b[at] != kind {
		return 0, 0, errLength
	}
	for i := at + 1; i < len(b); i++ {
		switch c := b[i]; {
		case c == '\r':
			if string(b[at+1:i]) == "-1" {
				size = -1
			} else if i == at+1 || b[at+1] == '-' || b[at+1] == '0' && i > at+2 {
				return 0, 0, errLength
			}
			if i+1 == len(b) {
				return 0, 0, nil
			}
			if b[i+1] != '\n' {
				return 0, 0, errLength
			}
			return size, i + 2, nil
		case c == '-' && i == at+1, c == '1' && i == at+2 && b[at+1] == '-': // null, perhaps
		case c < '0' || c > '9' || b[at+1] == '-':
			return 0, 0, errLength
		default:
			// A length is refused as soon as it is too large, before what it announces has come.
			if size = size*10 + int(c-'0'); size > most {
				return 0, 0, errLength
			}
		}
	}
	return 0, 0, nil
}

// bulk reads a bulk string that begins at b[at], up to next; data is nil where it is null.
func bulk(b []byte, at, most int) (data []byte, next int, err error) {
	size, from, err := figure(b, at, '$', most)
	if err != nil || from == 0 {
		return nil, 0, err
	}
	if size < 0 {
		return nil, from, nil
	}
	for i, c := range []byte("\r\n") {
		if end := from + size + i; end >= len(b) {
			return nil, 0, nil
		} else if b[end] != c {
			return nil, 0, errLength
		}
	}
	return b[from : from+size : from+size], from + size + 2, nil
}

// line takes one line off b, without its end; next is 0 where it is not whole yet.
func line(b []byte, most int) (text []byte, next int, err error) {
	text = b
	if end := bytes.IndexByte(b, '\n'); end >= 0 {
		text, next = b[:end], end+1
	}
	// One carriage return ends the line, or is the last that has come of it. The danger: a second one is
	// taken for an end too, and the same bytes are read one way whole and another way split.
	text = bytes.TrimSuffix(text, []byte("\r"))
	if len(text) > most || bytes.ContainsFunc(text, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }) {
		return nil, 0, errors.New("unreadable line")
	}
	return text, next, nil
}

// CommandSize is how many bytes the command at the front of b takes; 0 where it is not whole yet. It reads as NextCommand
// does, and keeps nothing.
func CommandSize(b []byte) (used int, err error) {
	if len(b) == 0 || b[0] != '*' {
		_, used, err = NextCommand(b)
		return used, err
	}
	n, at, err := figure(b, 0, '*', mostArgs)
	if err != nil || at == 0 {
		return 0, err
	}
	if n < 0 {
		return 0, errLength
	}
	for i := range n {
		most := MaxWordBytes
		if i > MetaArg {
			most = MaxValueBytes
		}
		arg, next, err := bulk(b, at, most)
		switch {
		case err != nil:
			return 0, err
		case next == 0:
			return 0, nil
		case arg == nil:
			return 0, errLength
		}
		at = next
	}
	return at, nil
}

// NextCommand takes one command off b: an array of bulk strings, or a line of words (used is 0 where
// it is not whole yet). The arguments lie in b.
func NextCommand(b []byte) (args [][]byte, used int, err error) { return AppendCommand(nil, b) }

// AppendCommand is NextCommand with the arguments appended to a list.
func AppendCommand(list [][]byte, b []byte) (args [][]byte, used int, err error) {
	if len(b) == 0 {
		return list, 0, nil
	}
	if b[0] != '*' {
		text, used, err := line(b, MaxWordBytes)
		return append(list, bytes.Fields(text)...), used, err
	}
	n, at, err := figure(b, 0, '*', mostArgs)
	if err != nil || at == 0 {
		return nil, 0, err
	}
	if n < 0 {
		return nil, 0, errLength
	}
	args = slices.Grow(list, n)
	for i := range n {
		most := MaxWordBytes
		if i > MetaArg {
			most = MaxValueBytes
		}
		arg, next, err := bulk(b, at, most)
		switch {
		case err != nil:
			return nil, 0, err
		case next == 0:
			return nil, 0, nil
		case arg == nil:
			return nil, 0, errLength
		}
		args, at = append(args, arg), next
	}
	return args, at, nil
}

// Reply is a cache's answer.
type Reply struct {
	Result     decide.Result
	Value      []byte // a bulk string on the wire, for the client as it is; it lies in what was read
	Miss       bool
	Pong       bool
	LoadReport decide.LoadReport
}

// Next takes one answer off b; used is 0 where it is not whole yet. Legal are an array of value,
// word or null and report or null, the error lines of the protocol's table, and the answer to a
// probe. All else is an error, and what follows it on the connection can't be told apart.
func (rep *Reply) Next(b []byte) (used int, err error) {
	*rep = Reply{Result: decide.Errored, LoadReport: decide.LoadReport{Utilization: -1}}
	if len(b) == 0 {
		return 0, nil
	}
	if b[0] != '*' {
		return rep.line(b)
	}
	n, at, err := figure(b, 0, '*', 3)
	switch {
	case err != nil || at == 0:
		return 0, err
	case n != 3:
		return 0, ErrReply
	}
	value, end, err := bulk(b, at, MaxValueBytes)
	if err != nil || end == 0 {
		return 0, err
	}
	if value == nil {
		return 0, ErrReply // a null serves nobody
	}
	word, next, err := bulk(b, end, MaxWordBytes)
	if err != nil || next == 0 {
		return 0, err
	}
	report, used, err := bulk(b, next, MaxWordBytes)
	if err != nil || used == 0 {
		return 0, err
	}
	rep.Result, rep.Value = decide.Served, b[at:end:end]
	rep.Miss = string(word) == "miss" || string(word) == "pending"
	rep.LoadReport = parseLoad(string(report))
	return used, nil
}

func (rep *Reply) line(b []byte) (int, error) {
	if b[0] != '-' && b[0] != '+' {
		return 0, ErrReply
	}
	text, used, err := line(b, mostLine)
	if err != nil || used == 0 {
		return 0, err
	}
	words := strings.Fields(string(text))
	switch {
	case !bytes.HasSuffix(b[:used], []byte("\r\n")) || len(words) == 0:
		return 0, ErrReply
	case string(text) == "+PONG":
		rep.Pong = true
	case words[0] == "-BUSY":
		rep.Result = decide.Rejected
	case words[0] != "-ERR":
		return 0, ErrReply
	}
	if len(words) > 1 {
		rep.LoadReport = parseLoad(words[len(words)-1])
	}
	return used, nil
}

// parseLoad reads a load report; what it does not know or can't read it skips.
func parseLoad(s string) decide.LoadReport {
	l := decide.LoadReport{Utilization: -1}
	if s == "" {
		return l
	}
	for field := ""; s != ""; {
		field, s, _ = strings.Cut(s, ",")
		name, text, _ := strings.Cut(field, "=")
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || !(v >= 0) || math.IsInf(v, 0) {
			continue
		}
		switch name {
		case "busy", "util":
			l.Utilization = v
		case "fail_rate", "eps":
			l.ErrorRate = v
		}
	}
	return l
}
