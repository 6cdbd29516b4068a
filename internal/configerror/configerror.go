// Package configerror holds the errors of a configuration file. A List reports all errors at once, one per line, each with the
// file, the position and the field. The package reads no files.
package configerror

import (
	"bytes"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Error is one error of a file. Error itself does not implement the error interface: functions return a *List.
type Error struct {
	File   string // path; empty if unknown
	Line   int    // counted from 1; 0 if only the field is known
	Column int    // in characters, counted from 1
	Field  string // path of the key, such as clients.idle_time; empty if the error concerns no single key
	Text   string // description of the error and of the valid values
}

// String returns the error as one line.
func (e Error) String() string {
	var b strings.Builder
	if e.File != "" {
		b.WriteString(QuoteIfNeeded(e.File))
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

// MaxErrors is the maximum number of errors that a List holds.
const MaxErrors = 100

// List collects errors and implements error. Errors beyond the first MaxErrors are only counted, because a large file may have
// an error in each line. The zero value is an empty list.
type List struct {
	errors  []Error
	dropped int // number of errors beyond MaxErrors
}

// Add appends an error, or only counts it if the list already holds MaxErrors.
func (l *List) Add(e Error) {
	if len(l.errors) == MaxErrors {
		l.dropped++
		return
	}
	l.errors = append(l.errors, e)
}

// Join appends the errors of another list, and adds its count of dropped errors.
func (l *List) Join(other List) {
	for _, e := range other.errors {
		l.Add(e)
	}
	l.dropped += other.dropped
}

// SetFile sets the file of all errors in the list.
func (l *List) SetFile(file string) {
	for i := range l.errors {
		l.errors[i].File = file
	}
}

// All returns the errors that the list holds. The caller may modify them in place.
func (l *List) All() []Error { return l.errors }

// Empty reports whether the list has no errors.
func (l *List) Empty() bool { return len(l.errors) == 0 }

// Sort orders the errors by their positions in the file.
func (l *List) Sort() {
	sort.SliceStable(l.errors, func(i, j int) bool {
		a, b := l.errors[i], l.errors[j]
		return a.Line < b.Line || a.Line == b.Line && a.Column < b.Column
	})
}

// Lines returns one line per error, and a last line with the number of dropped errors if there are any.
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

// Error implements error. The text is the result of Lines, joined by line breaks.
func (l *List) Error() string { return strings.Join(l.Lines(), "\n") }

// Err returns the list as an error, or nil if the list is empty.
func (l *List) Err() error {
	if l.Empty() {
		return nil
	}
	return l
}

// Position converts a byte offset to a line and a column in characters, both counted from 1.
func Position(raw []byte, offset int) (line, column int) {
	before := raw[:max(0, min(offset, len(raw)))]
	lineStart := bytes.LastIndexByte(before, '\n') + 1
	return bytes.Count(before, []byte("\n")) + 1, utf8.RuneCount(before[lineStart:]) + 1
}

// maxQuotedBytes is the length to which Quote truncates a word.
const maxQuotedBytes = 60

// maxPlainBytes is the maximum length of a name that QuoteIfNeeded returns unquoted.
const maxPlainBytes = 4 * maxQuotedBytes

// Quote returns a word of a file in quotes, truncated to maxQuotedBytes.
func Quote(word string) string {
	if len(word) > maxQuotedBytes {
		return strconv.Quote(word[:maxQuotedBytes]) + "..."
	}
	return strconv.Quote(word)
}

// QuoteIfNeeded returns a name unchanged. It quotes a name that is empty, longer than maxPlainBytes, or has characters that a
// terminal would not print literally: a name with line breaks could forge lines of the report.
func QuoteIfNeeded(name string) string {
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

// OneOf joins alternatives for a message: "a, b or c".
func OneOf(words []string) string {
	if len(words) < 2 {
		return strings.Join(words, "")
	}
	return strings.Join(words[:len(words)-1], ", ") + " or " + words[len(words)-1]
}
