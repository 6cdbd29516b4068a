// Package recordedlog gives log lines the wording that they had when the traces in use were recorded, at release ea855d0.
//
// The hash of a simulated run covers each log line beside each event and byte, so that a run also shows whether the same
// lines are written at the same instants with the same values. Since then the lines have become a message with fields.
// Wording turns a line back into the recorded sentence, from its fields alone: a value that is lost, or a line that moves,
// still changes the hash. The package goes when the traces are recorded anew.
package recordedlog

import (
	"fmt"
	"strconv"
	"strings"
)

// Fields are the fields of a line, by key.
type Fields map[string]string

// sentence returns the recorded wording of a line with these fields.
type sentence func(f Fields) string

// sentences are the recorded wordings, by message. Each file of this package adds those of one package of the program.
var sentences = map[string]sentence{}

// add registers the recorded wordings of one package's messages.
func add(more map[string]sentence) {
	for message, s := range more { // any order: each by itself
		if sentences[message] != nil {
			panic("recordedlog: two wordings for " + message)
		}
		sentences[message] = s
	}
}

// Wording returns the line as it was worded at the recording. A line that has no other wording is returned as it is, and
// one without fields, or of a program that writes sentences, as its message alone.
func Wording(line string) string {
	if recorded, ok := eventLine(line); ok {
		return recorded
	}
	message, fields, ok := parse(line)
	if !ok {
		return line
	}
	if s := sentences[message]; s != nil {
		return s(fields)
	}
	if len(fields) == 0 {
		return message
	}
	return line
}

// parse reads a line of slog's text format: level, message, fields.
func parse(line string) (message string, fields Fields, ok bool) {
	fields = Fields{}
	for rest := line; rest != ""; {
		key, after, found := strings.Cut(rest, "=")
		if !found || strings.ContainsAny(key, " \"") {
			return "", nil, false
		}
		value, after, found := cutValue(after)
		if !found {
			return "", nil, false
		}
		fields[key], rest = value, after
	}
	message, ok = fields["msg"]
	if _, leveled := fields["level"]; !leveled {
		return "", nil, false
	}
	delete(fields, "msg")
	delete(fields, "level")
	return message, fields, ok
}

// cutValue takes one value off the front of the text, with the space behind it.
func cutValue(text string) (value, rest string, ok bool) {
	if !strings.HasPrefix(text, `"`) {
		value, rest, _ = strings.Cut(text, " ")
		return value, rest, true
	}
	quoted, err := strconv.QuotedPrefix(text)
	if err != nil {
		return "", "", false
	}
	value, err = strconv.Unquote(quoted)
	return value, strings.TrimPrefix(text[len(quoted):], " "), err == nil
}

// Int is a field's whole number; it panics where there is none, as the line is not the one that was recorded.
func (f Fields) Int(key string) int64 {
	n, err := strconv.ParseInt(f[key], 10, 64)
	if err != nil {
		panic(fmt.Sprintf("recordedlog: field %s of %v: %v", key, f, err))
	}
	return n
}
