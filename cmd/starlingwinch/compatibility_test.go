package main

import (
	"os"
	"strings"
	"testing"
)

// TestKeysAreThoseOfEarlierRelease holds the keys, units, defaults, ranges and texts of all operators' files as release ea855d0
// lists them: kind, path, unit, default, range, doc.
func TestKeysAreThoseOfEarlierRelease(t *testing.T) {
	text, err := os.ReadFile("testdata/ea855d0.keys")
	if err != nil {
		t.Fatal(err)
	}
	_, listed, _ := strings.Cut(string(text), "\n") // without the comment at its head
	want := strings.Split(strings.TrimSuffix(listed, "\n"), "\n")
	var got []string
	for _, kind := range kinds {
		got = append(got, strings.Join([]string{kind.Name, "", "", "", "", kind.Doc}, "\t"))
		for _, key := range kind.Keys() {
			got = append(got, strings.Join([]string{kind.Name, key.Path, key.Unit, key.Default, key.Range(), key.Doc}, "\t"))
		}
	}
	if len(got) != len(want) {
		t.Errorf("%d keys, want %d", len(got), len(want))
	}
	for i := range min(len(got), len(want)) {
		if got[i] != want[i] {
			t.Errorf("key %d:\n got %q\nwant %q", i, got[i], want[i])
		}
	}
}
