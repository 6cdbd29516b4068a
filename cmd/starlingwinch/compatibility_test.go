package main

import (
	"os"
	"strings"
	"testing"
)

// TestKeysMatchEarlierRelease checks that the keys, units, defaults, ranges and texts of all operators' files are the same as in
// release ea855d0. Each line of the list has kind, path, unit, default, range and doc.
func TestKeysMatchEarlierRelease(t *testing.T) {
	text, err := os.ReadFile("testdata/ea855d0.keys")
	if err != nil {
		t.Fatal(err)
	}
	_, listed, _ := strings.Cut(string(text), "\n") // without the comment in the first line
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
