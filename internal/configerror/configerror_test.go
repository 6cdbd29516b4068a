package configerror

import (
	"strings"
	"testing"
)

// TestSuggestFindsSimilarWord checks swapped, missing and added letters, and words that are similar to no known word.
func TestSuggestFindsSimilarWord(t *testing.T) {
	known := []string{"aim", "hardLimit", "maxAttempts", "run", "check"}
	for word, want := range map[string]string{"amis": "aim", "Aim": "aim", "hard_limit": "hardLimit", "chekc": "check",
		"rnu": "run", "max-attempt": "maxAttempts", "zzzzz": "", "": "", strings.Repeat("a", 1000): ""} {
		if got := Suggest(word, known); got != want {
			t.Errorf("Suggest(%q): got %q, want %q", word, got, want)
		}
	}
}

// TestPositionCountsLinesAndCharacters checks offsets inside and outside a text that has a two-byte character.
func TestPositionCountsLinesAndCharacters(t *testing.T) {
	raw := []byte("ab\nüx\n")
	for offset, want := range map[int][2]int{-1: {1, 1}, 0: {1, 1}, 2: {1, 3}, 3: {2, 1}, 5: {2, 2}, 7: {3, 1}, 99: {3, 1}} {
		if line, column := Position(raw, offset); line != want[0] || column != want[1] {
			t.Errorf("offset %d: got %d:%d, want %v", offset, line, column, want)
		}
	}
}

// TestErrorIsOneLine checks that line breaks in names do not forge lines of a report, and that long words are truncated.
func TestErrorIsOneLine(t *testing.T) {
	e := Error{File: "a\nb", Field: QuoteIfNeeded("x\ny"), Text: "bad " + Quote("\r\nz")}
	if got := e.String(); strings.ContainsAny(got, "\r\n") {
		t.Errorf("got %q, want an error of one line", got)
	}
	if got := Quote(strings.Repeat("x", 1000)); len(got) > 100 {
		t.Errorf("a quoted long word has %d bytes, want at most 100", len(got))
	}
}

// TestListIsBounded checks that errors beyond MaxErrors are counted, also when lists are joined.
func TestListIsBounded(t *testing.T) {
	var l, all List
	for range MaxErrors + 5 {
		l.Add(Error{Text: "x"})
	}
	all.Add(Error{Text: "y"})
	all.Join(l)
	if lines := all.Lines(); len(lines) != MaxErrors+1 || lines[MaxErrors] != "and 6 more" {
		t.Errorf("got %d lines, the last %q, want %d lines and \"and 6 more\"", len(lines), lines[len(lines)-1], MaxErrors+1)
	}
}
