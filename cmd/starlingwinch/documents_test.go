package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"starlingwinch/internal/operatorconfig"
)

// keyRow matches the row of a key in the table of a page.
var keyRow = regexp.MustCompile("(?m)^\\| `([a-z_.\\[\\]]+)` \\| ([^|]*) \\| `([^|]*)` \\| ([^|]*) \\| ([^|]*) \\|$")

// TestOperatorKeysMatchDocuments checks that the pages of the kinds list exactly their keys, with the same units, defaults and
// ranges.
func TestOperatorKeysMatchDocuments(t *testing.T) {
	for _, kind := range kinds {
		page, err := os.ReadFile(filepath.Join("..", "..", "docs", "operators", kind.Name+".md"))
		if err != nil {
			t.Errorf("kind %s has no page: %v", kind.Name, err)
			continue
		}
		documented := map[string][]string{}
		for _, m := range keyRow.FindAllStringSubmatch(string(page), -1) {
			if documented[m[1]] != nil {
				t.Errorf("%s.md lists %s twice", kind.Name, m[1])
			}
			documented[m[1]] = m[2:5]
		}
		for _, key := range kind.Keys() {
			want := []string{key.Unit, key.Default, key.Range()}
			if got := documented[key.Path]; strings.Join(got, "|") != strings.Join(want, "|") {
				t.Errorf("%s.md: %s: got %q, want %q", kind.Name, key.Path, got, want)
			}
			delete(documented, key.Path)
		}
		for path := range documented {
			t.Errorf("%s.md lists %s, which is not a key", kind.Name, path)
		}
	}
}

// TestShippedFilesHoldDefaults checks that the files in deploy/ are valid and hold each key with its default value and a comment
// above it.
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
		values := map[string]string{}
		table, before := "", ""
		for _, line := range strings.Split(string(raw), "\n") {
			line = strings.TrimPrefix(line, "#: ") // an entry of a list, which is empty by default
			name, value, isKey := strings.Cut(line, " = ")
			switch {
			case strings.HasPrefix(line, "[["):
				table = strings.Trim(line, "[]") + "[]."
			case strings.HasPrefix(line, "["):
				table = strings.Trim(line, "[]") + "."
			case isKey && !strings.HasPrefix(line, "#") && name != "kind":
				values[table+name] = value
				if !strings.HasPrefix(before, "#") {
					t.Errorf("%s: %s has no comment", path, name)
				}
			}
			before = line
		}
		for _, key := range kind.Keys() {
			if got := values[key.Path]; got != key.Default {
				t.Errorf("%s: %s: got %q, want the default %q", path, key.Path, got, key.Default)
			}
			delete(values, key.Path)
		}
		for key := range values {
			t.Errorf("%s: %s is not a key", path, key)
		}
	}
}

// TestOperatorKindsListed checks that configuration.md lists each kind.
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
