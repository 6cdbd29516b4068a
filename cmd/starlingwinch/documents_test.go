package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"starlingwinch/internal/operatorconfig"
)

var row = regexp.MustCompile("(?m)^\\| `([a-z_.\\[\\]]+)` \\| ([^|]*) \\| `([^|]*)` \\| ([^|]*) \\| ([^|]*) \\|$")

// TestOperatorKeysMatchDocuments compares the documents of the kinds with their keys, units, defaults and ranges, in
// both directions.
func TestOperatorKeysMatchDocuments(t *testing.T) {
	for _, kind := range kinds {
		page, err := os.ReadFile(filepath.Join("..", "..", "docs", "operators", kind.Name+".md"))
		if err != nil {
			t.Errorf("kind %s has no page: %v", kind.Name, err)
			continue
		}
		told := map[string][]string{}
		for _, m := range row.FindAllStringSubmatch(string(page), -1) {
			if told[m[1]] != nil {
				t.Errorf("%s.md tells of %s twice", kind.Name, m[1])
			}
			told[m[1]] = m[2:5]
		}
		for _, key := range kind.Keys() {
			want := []string{key.Unit, key.Default, key.Range()}
			if got := told[key.Path]; strings.Join(got, "|") != strings.Join(want, "|") {
				t.Errorf("%s.md tells %q of %s, want %q", kind.Name, got, key.Path, want)
			}
			delete(told, key.Path)
		}
		for path := range told {
			t.Errorf("%s.md tells of %s, which nothing reads", kind.Name, path)
		}
	}
}

// TestShippedFilesHoldDefaults holds each key of the shipped files at its default, with a comment, and finds no fault
// in them.
func TestShippedFilesHoldDefaults(t *testing.T) {
	for _, kind := range kinds {
		path := filepath.Join("..", "..", "deploy", kind.Name+".toml")
		raw, err := operatorconfig.Read(path, operatorconfig.MaxFileBytes)
		if err != nil {
			t.Errorf("kind %s has no file: %v", kind.Name, err)
			continue
		}
		if file, err := kinds.Parse(path, raw); err != nil || file.Kind != kind.Name {
			t.Errorf("%s: kind %q, %v", path, file.Kind, err)
		}
		stand := map[string]string{}
		table, before := "", ""
		for _, line := range strings.Split(string(raw), "\n") {
			line = strings.TrimPrefix(line, "#: ") // an entry of a list, of which there is none by default
			name, value, isKey := strings.Cut(line, " = ")
			switch {
			case strings.HasPrefix(line, "[["):
				table = strings.Trim(line, "[]") + "[]."
			case strings.HasPrefix(line, "["):
				table = strings.Trim(line, "[]") + "."
			case isKey && !strings.HasPrefix(line, "#") && name != "kind":
				stand[table+name] = value
				if !strings.HasPrefix(before, "#") {
					t.Errorf("%s: %s has no comment", path, name)
				}
			}
			before = line
		}
		for _, key := range kind.Keys() {
			if got := stand[key.Path]; got != key.Default {
				t.Errorf("%s: %s stands at %q, its default is %q", path, key.Path, got, key.Default)
			}
			delete(stand, key.Path)
		}
		for key := range stand {
			t.Errorf("%s: %s is not read", path, key)
		}
	}
}

// TestOperatorKindsListed finds each kind on the page of all kinds.
func TestOperatorKindsListed(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "operators", "configuration.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, kind := range kinds {
		if want := "| `" + kind.Name + "` | `deploy/" + kind.Name + ".toml` |"; !strings.Contains(string(page), want) {
			t.Errorf("configuration.md does not list %s", kind.Name)
		}
	}
}
