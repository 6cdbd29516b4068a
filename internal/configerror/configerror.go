// Package configerror describes what is wrong with a configuration file: all errors at once, each on a line of its own with the
// file, the position and the field. It reads no files.
package configerror

import (
	"bytes"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Error is one error of a file. It is a part of a List, which is what functions return as an error.
type Error struct {
	File   string // path; empty where it is not known
	Line   int    // counted from 1; 0 where only the field is known
	Column int    // in characters, counted from 1
	Field  string // path of the key, as clients.idle_time; empty for the file as a whole
	Text   string // what is wrong, and what is wanted
}

// String returns the error as one line.
func (e Error) String() string {
	var b strings.Builder
	if e.File != "" {
		b.WriteString(Plain(e.File))
		if e.Line > 0 {
			fmt.Fprintf(&b, ":%d:%d", e.Line, e.Column)
		}
		b.WriteString(": ")
	}
	if e.Field != "" {
		b.WriteString(e.Field + ": ")
	}
	return b.String() + e.Text
}

// MaxErrors is the number of errors that a List holds.
const MaxErrors = 100

// List collects errors, and is an error itself. What comes after the first MaxErrors is counted only, as a large file may have
// one in each line. The zero value is an empty list.
type List struct {
	errors  []Error
	dropped int // errors that were counted only
}

// Add adds an error.
func (l *List) Add(e Error) {
	if len(l.errors) == MaxErrors {
		l.dropped++
		return
	}
	l.errors = append(l.errors, e)
}

// Join adds the errors of another list.
func (l *List) Join(other List) {
	for _, e := range other.errors {
		l.Add(e)
	}
	l.dropped += other.dropped
}

// In sets the file of all errors.
func (l *List) In(file string) {
	for i := range l.errors {
		l.errors[i].File = file
	}
}

// All returns the errors that are held. The caller may change them in place.
func (l *List) All() []Error { return l.errors }

// Empty reports whether nothing is wrong.
func (l *List) Empty() bool { return len(l.errors) == 0 }

// Sort orders the errors by their positions in the file.
func (l *List) Sort() {
	sort.SliceStable(l.errors, func(i, j int) bool {
		a, b := l.errors[i], l.errors[j]
		return a.Line < b.Line || a.Line == b.Line && a.Column < b.Column
	})
}

// Lines returns the errors as lines, with one more for those that were counted only.
func (l *List) Lines() []string {
	var lines []string
	for _, e := range l.errors {
		lines = append(lines, e.String())
	}
	if l.dropped > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", l.dropped))
	}
	return lines
}

// Error implements error; the text has a line for each error.
func (l *List) Error() string { return strings.Join(l.Lines(), "\n") }

// Err returns the list as an error, or nil where it is empty.
func (l *List) Err() error {
	if l.Empty() {
		return nil
	}
	return l
}

// Position returns the line and the column of an offset in bytes, both counted from 1.
func Position(raw []byte, offset int) (line, column int) {
	before := raw[:max(0, min(offset, len(raw)))]
	begin := bytes.LastIndexByte(before, '\n') + 1
	return bytes.Count(before, []byte("\n")) + 1, utf8.RuneCount(before[begin:]) + 1
}

// maxQuotedBytes is how much of a word is shown.
const maxQuotedBytes = 60

// maxPlainBytes is the length of a name that is shown whole.
const maxPlainBytes = 4 * maxQuotedBytes

// Quote returns a word of a file in quotes, shortened where it is long.
func Quote(word string) string {
	if len(word) > maxQuotedBytes {
		return strconv.Quote(word[:maxQuotedBytes]) + "..."
	}
	return strconv.Quote(word)
}

// Plain returns a name as it is, or in quotes where it is empty, long or has characters that a terminal would not show as they
// are: a name with line ends could forge lines of the report.
func Plain(name string) string {
	for _, r := range name {
		if r < ' ' || r == 0x7f || r == utf8.RuneError || r == '\u2028' || r == '\u2029' {
			return Quote(name)
		}
	}
	if name == "" || len(name) > maxPlainBytes {
		return Quote(name)
	}
	return name
}

// OneOf returns a choice of words as text: "a, b or c".
func OneOf(words []string) string {
	if len(words) < 2 {
		return strings.Join(words, "")
	}
	return strings.Join(words[:len(words)-1], ", ") + " or " + words[len(words)-1]
}
