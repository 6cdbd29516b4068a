package hooks

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"starlingwinch/internal/hooks/policy"
	"starlingwinch/internal/operatorconfig"
	"starlingwinch/internal/plugin"
)

func parse(text string) (File, error) {
	file, err := operatorconfig.Registry{Kind}.Parse("f", []byte("kind = \"hooks\"\n"+text))
	if err != nil {
		return File{}, err
	}
	return operatorconfig.Get[File]([]operatorconfig.File{file}, Kind), nil
}

func TestFileDefaultsToNoHooks(t *testing.T) {
	f, err := parse("")
	if err != nil {
		t.Fatal(err)
	}
	if c, err := f.Read(); err != nil || len(c.Hooks) > 0 {
		t.Errorf("got %+v and error %v, want no hooks and no error", c, err)
	}
}

func TestEntryOverridesDefaults(t *testing.T) {
	dir := t.TempDir()
	os.WriteFile(filepath.Join(dir, "a.star"), []byte("code a"), 0o600)
	os.WriteFile(filepath.Join(dir, "b.wasm"), []byte("code b"), 0o600)
	f, err := parse(`folder = "` + dir + `"
wait_most = "20ms"
[each]
on_failure = "refuse"
time = "2ms"
[[hook]]
file = "a.star"
[[hook]]
file = "b.wasm"
points = ["request", "list"]
classes = ["put"]
wants_value = true
on_failure = "pass"
time = "7ms"
memory = "32MiB"
isolation = "inside"
`)
	if err != nil {
		t.Fatal(err)
	}
	c, err := f.Read()
	if err != nil {
		t.Fatal(err)
	}
	a, b := c.Hooks[0], c.Hooks[1]
	if c.MaxWait != 20_000 || a.Name != "a" || a.Engine != "script" || string(a.Code) != "code a" || a.OnFailure != policy.RejectOnFailure ||
		a.Time != 2000 || a.Budget.Time != 2000 || a.Budget.Memory != 16<<20 || a.Points != 0 || a.WantsValue || a.Inside {
		t.Errorf("got %+v for the entry that uses the defaults", a)
	}
	if b.Name != "b" || b.Engine != "wasm" || string(b.Code) != "code b" || b.OnFailure != policy.PassOnFailure || b.Time != 7000 ||
		b.Budget.Memory != 32<<20 || !b.Points.Has(plugin.ListChanged) || b.Points.Has(plugin.Answered) || !b.WantsValue || !b.Inside ||
		b.Classes[0] != "put" {
		t.Errorf("got %+v for the entry that overrides the defaults", b)
	}
}

func TestFileCheckNamesFaults(t *testing.T) {
	for text, want := range map[string]string{ // any order
		"[[hook]]\nclasses = [\"a\"]":                                            "hook[0]: file name is missing",
		"[[hook]]\nfile = \"../a.star\"":                                         `hook[0].file: not a plain file name ("../a.star")`,
		"[[hook]]\nfile = \"a.lua\"":                                             `hook[0].file: unknown file extension ("a.lua", wanted .wasm or .star)`,
		"[[hook]]\nfile = \"a.star\"\n[[hook]]\nfile = \"a.wasm\"":               `hook[1].file: duplicate hook name ("a")`,
		"[[hook]]\nfile = \"a.star\"\npoints = [\"load\"]":                       `hook[0].points: unknown point "load" (wanted request, answered or list)`,
		"[[hook]]\nfile = \"a.star\"\nisolation = \"inside\"":                    "hook[0].isolation: a script can't be limited inside the router (inside, wanted process)",
		"[[hook]]\nfile = \"a.star\"\nmemory = \"200MiB\"":                       "memory_most: less than the total memory limit of the hooks (128MiB, wanted at least 212MiB)",
		"[each]\nisolation = \"inside\"\ndepth = 0\n[[hook]]\nfile = \"a.wasm\"": "hook[0].isolation: each.depth and steps must limit a module that runs inside the router (0)",
		strings.Repeat("[[hook]]\n", 17):                                         "hook: 17 hooks (wanted at most 16)",
		"[[hook]]\nfile = \"a.star\"\non_failure = \"stop\"":                     `on_failure: unknown word ("stop", wanted pass or refuse)`,
	} {
		_, err := parse(text)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s\n got  %v\n want %s", text, err, want)
		}
	}
}

func TestReadNamesEachUnreadableFile(t *testing.T) {
	dir := t.TempDir()
	os.Mkdir(filepath.Join(dir, "b.wasm"), 0o700)
	f, err := parse("folder = \"" + dir + "\"\n[[hook]]\nfile = \"a.star\"\n[[hook]]\nfile = \"b.wasm\"\n")
	if err != nil {
		t.Fatal(err)
	}
	_, err = f.Read()
	if err == nil || !strings.Contains(err.Error(), "a.star") || !strings.Contains(err.Error(), "b.wasm: not a regular file") {
		t.Errorf("got error %v, want one that names a.star and b.wasm", err)
	}
}
