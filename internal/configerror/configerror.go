// Package configerror words what is wrong with a file: each fault on a line of its own, with the file, the place
// and the field, all of them at once. It reads nothing and decides nothing.
package configerror

import (
	"bytes"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Error is one thing that is wrong.
type Error struct {
	File   string
	Line   int // 0 where only the field is known
	Column int // in characters, from 1
	Field  string
	Text   string
}

func (f Error) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(Plain(f.File))
		if f.Line > 0 {
			fmt.Fprintf(&b, ":%d:%d", f.Line, f.Column)
		}
		b.WriteString(": ")
	}
	if f.Field != "" {
		b.WriteString(f.Field + ": ")
	}
	return b.String() + f.Text
}

// MaxErrors is how many faults a list holds.
const MaxErrors = 100

// List collects faults. The danger: a file of a million unknown keys fills the memory with complaints; what
// comes after the first hundred is counted only.
type List struct {
	faults []Error
	more   int
}

// Add takes one fault in.
func (l *List) Add(f Error) {
	if len(l.faults) == MaxErrors {
		l.more++
		return
	}
	l.faults = append(l.faults, f)
}

// Join takes the faults of another list in.
func (l *List) Join(other List) {
	for _, f := range other.faults {
		l.Add(f)
	}
	l.more += other.more
}

// In says which file the faults are of.
func (l *List) In(file string) {
	for i := range l.faults {
		l.faults[i].File = file
	}
}

// All gives the faults that are held, in their order.
func (l *List) All() []Error { return l.faults }

// Empty reports whether nothing is wrong.
func (l *List) Empty() bool { return len(l.faults) == 0 }

// Sort orders the faults by where they stand in the file.
func (l *List) Sort() {
	sort.SliceStable(l.faults, func(i, j int) bool {
		a, b := l.faults[i], l.faults[j]
		return a.Line < b.Line || a.Line == b.Line && a.Column < b.Column
	})
}

// Lines words the list, a line each.
func (l *List) Lines() []string {
	var lines []string
	for _, f := range l.faults {
		lines = append(lines, f.String())
	}
	if l.more > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", l.more))
	}
	return lines
}

// Error is the whole list as one error.
func (l *List) Error() string { return strings.Join(l.Lines(), "\n") }

// Err is the list as an error, or nil where it is empty.
func (l *List) Err() error {
	if l.Empty() {
		return nil
	}
	return l
}

// Position tells the line and the column of an offset.
func Position(raw []byte, offset int) (line, column int) {
	before := raw[:max(0, min(offset, len(raw)))]
	begin := bytes.LastIndexByte(before, '\n') + 1
	return bytes.Count(before, []byte("\n")) + 1, utf8.RuneCount(before[begin:]) + 1
}

const mostShown = 60 // bytes of a word that are shown

// Quote shows a word of the file's own in quotes, cut where it is long.
func Quote(word string) string {
	if len(word) > mostShown {
		return strconv.Quote(word[:mostShown]) + "..."
	}
	return strconv.Quote(word)
}

// Plain shows a name as it is where it fits on the line, else in quotes. The danger: a name of the file's
// own that holds line ends forges lines of the report.
func Plain(name string) string {
	for _, r := range name {
		if r < ' ' || r == 0x7f || r == utf8.RuneError || r == '\u2028' || r == '\u2029' {
			return Quote(name)
		}
	}
	if name == "" || len(name) > 4*mostShown {
		return Quote(name)
	}
	return name
}

// OneOf words a choice: a, b or c.
func OneOf(words []string) string {
	if len(words) < 2 {
		return strings.Join(words, "")
	}
	return strings.Join(words[:len(words)-1], ", ") + " or " + words[len(words)-1]
}
