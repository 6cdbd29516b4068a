package operatorconfig

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"starlingwinch/internal/configerror"
)

// sample has a key of each type.
type sample struct {
	Wait    time.Duration  `toml:"wait" min:"10ms" max:"1m" doc:"a duration"`
	Room    Size           `toml:"room" min:"1KiB" max:"1MiB" doc:"a size"`
	Count   int            `toml:"count" min:"1" max:"10" doc:"a count"`
	Share   float64        `toml:"share" min:"0" max:"1" doc:"a number"`
	On      bool           `toml:"on" doc:"a truth"`
	Order   string         `toml:"order" words:"first,last" doc:"a choice"`
	Label   string         `toml:"label" min:"1" max:"8" doc:"a text"`
	Secrets []string       `toml:"secrets" max:"2" secret:"true" doc:"what no fault shows"`
	Address netip.AddrPort `toml:"address" doc:"an address"`
	Zones   []string       `toml:"zones" max:"3" doc:"a list"`
	Part    part           `toml:"part"`
	Members []part         `toml:"members" max:"2"`
}

type part struct {
	Low  int `toml:"low" min:"0" doc:"the lower end"`
	High int `toml:"high" min:"0" doc:"the upper end"`
}

func sampleDefaults() sample {
	return sample{Wait: time.Second, Room: 64 << 10, Count: 3, Order: "first", Label: "x", Zones: []string{"a"},
		Part: part{Low: 1, High: 2}}
}

var registry = Registry{
	Define("sample", "for the tests", sampleDefaults(), func(v sample, report ReportFunc) {
		if v.Part.Low > v.Part.High {
			report("part.low", "above part.high (%d, wanted at most %d)", v.Part.Low, v.Part.High)
		}
	}),
	Define("other", "for the tests too", part{}, nil),
}

// parse returns the decoded file, or one line for each error.
func parse(text string) (File, []string) {
	file, err := registry.Parse("f", []byte(text))
	var list *configerror.List
	if errors.As(err, &list) {
		return file, list.Lines()
	}
	return file, nil
}

// TestParseOverridesDefaults checks a file with keys of all types, and that parsing does not change the defaults.
func TestParseOverridesDefaults(t *testing.T) {
	file, errorLines := parse(`kind = "sample"
wait = "1.5s"
room = "2KiB"
share = 1
on = true
order = "last"
address = "127.0.0.1:5"
zones = ["b", "c"]
part = { high = 9 }
[[members]]
low = 4
[[members]]
high = 5
`)
	if len(errorLines) > 0 {
		t.Fatal(errorLines)
	}
	want := sampleDefaults()
	want.Wait, want.Room, want.Share, want.On, want.Order = 1500*time.Millisecond, 2<<10, 1, true, "last"
	want.Address, want.Zones = netip.MustParseAddrPort("127.0.0.1:5"), []string{"b", "c"}
	want.Part.High, want.Members = 9, []part{{Low: 4}, {High: 5}}
	if got := Get[sample]([]File{file}, registry[0]); !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
	if got := Get[sample](nil, registry[0]); !reflect.DeepEqual(got, sampleDefaults()) {
		t.Errorf("defaults after parsing a file: got %+v, want %+v", got, sampleDefaults())
	}
}

// TestParseReportsErrorWithPosition checks the message, the line and the column of each error.
func TestParseReportsErrorWithPosition(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{`on = true`, `f: kind: missing (wanted sample or other)`},
		{`kind = 5`, `f:1:1: kind: wrong type (the number 5, wanted sample or other)`},
		{`kind = "simple"`, `f:1:1: kind: unknown kind of file ("simple", wanted sample or other) (did you mean "sample"?)`},
		{"kind = \"sample\"\n\n  wiat = \"1s\"", `f:3:3: wiat: unknown key (did you mean "wait"?)`},
		{"kind = \"sample\"\nwait = 250", `f:2:1: wait: wrong type (the number 250, wanted a duration in quotes, as "250ms")`},
		{"kind = \"sample\"\nwait = \"250\"", `f:2:1: wait: not a duration ("250", wanted digits and ms, s or m, as "250ms")`},
		{"kind = \"sample\"\nwait = \"9ms\"", `f:2:1: wait: out of range ("9ms", wanted 10ms to 1m)`},
		{"kind = \"sample\"\nroom = \"64KB\"",
			`f:2:1: room: not a size ("64KB", wanted digits and B, KiB, MiB or GiB, as "64KiB")`},
		{"kind = \"sample\"\nroom = \"9999999999GiB\"",
			`f:2:1: room: not a size ("9999999999GiB", wanted digits and B, KiB, MiB or GiB, as "64KiB")`},
		{"kind = \"sample\"\nroom = \"2MiB\"", `f:2:1: room: out of range ("2MiB", wanted 1KiB to 1MiB)`},
		{"kind = \"sample\"\ncount = 11", `f:2:1: count: out of range (11, wanted 1 to 10)`},
		{"kind = \"sample\"\ncount = 1.5", `f:2:1: count: wrong type (the number 1.5, wanted a whole number)`},
		{"kind = \"sample\"\nshare = nan", `f:2:1: share: out of range (NaN, wanted 0 to 1)`},
		{"kind = \"sample\"\non = \"true\"", `f:2:1: on: wrong type (the text "true", wanted true or false)`},
		{"kind = \"sample\"\norder = \"lats\"",
			`f:2:1: order: unknown word ("lats", wanted first or last) (did you mean "last"?)`},
		{"kind = \"sample\"\nlabel = \"\"", `f:2:1: label: out of range (0 bytes, wanted 1 to 8)`},
		{"kind = \"sample\"\naddress = \"here\"", `f:2:1: address: "here": not an ip:port`},
		{"kind = \"sample\"\nzones = [\"a\",\"b\",\"c\",\"d\"]", `f:2:1: zones: out of range (4 entries, wanted 0 to 3)`},
		{"kind = \"sample\"\nzones = [\"a\",\n 5]", `f:3:2: zones[1]: wrong type (the number 5, wanted a text in quotes)`},
		{"kind = \"sample\"\nsecrets = \"xyz\"", `f:2:1: secrets: wrong type (a value that is not shown, wanted a list)`},
		{"kind = \"sample\"\nsecrets = [77]",
			`f:2:12: secrets[0]: wrong type (a value that is not shown, wanted a text in quotes)`},
		{"kind = \"sample\"\npart = 5", `f:2:1: part: wrong type (the number 5, wanted a table)`},
		{"kind = \"sample\"\n[part]\nlow = 3", `f:3:1: part.low: above part.high (3, wanted at most 2)`},
		{"kind = \"sample\"\npart = { lwo = 3 }", `f:2:10: part.lwo: unknown key (did you mean "low"?)`},
		{"kind = \"sample\"\n[[members]]\n[[members]]\nlow = -1",
			`f:4:1: members[1].low: out of range (-1, wanted at least 0)`},
		{"kind = \"sample\"\nwait = 2020-01-01",
			`f:2:1: wait: wrong type (a date or time, wanted a duration in quotes, as "250ms")`},
		{"kind = \"sample\"\n\"x\\ny\" = 1", `f:2:1: "x\ny": unknown key`},
		{"kind = \"sample\"\non = true\non = true", `f:3:1: not TOML: key on is already defined`},
		{"kind = \"sample\"\non =", `f:2:4: not TOML: expected value, not end of input`},
	} {
		_, errorLines := parse(c.text)
		if len(errorLines) != 1 || errorLines[0] != c.want {
			t.Errorf("%s\n got  %s\n want %s", c.text, strings.Join(errorLines, "\n      "), c.want)
		}
	}
}

// TestParseReportsAllErrorsInOrder checks that one call reports all errors in the order of their positions.
func TestParseReportsAllErrorsInOrder(t *testing.T) {
	_, errorLines := parse("kind = \"sample\"\nzzz = 1\ncount = 0\nwait = 5\n[part]\nlow = true\nhihg = 1\n")
	if len(errorLines) != 5 {
		t.Fatalf("got %d errors, want 5:\n%s", len(errorLines), strings.Join(errorLines, "\n"))
	}
	for i, line := range errorLines {
		if want := fmt.Sprintf("f:%d:1: ", []int{2, 3, 4, 6, 7}[i]); !strings.HasPrefix(line, want) {
			t.Errorf("error %d: got %s, want prefix %s", i, line, want)
		}
	}
}

// TestSizesAndDurationsRoundTrip checks that ParseSize inverts Size.String, and checks the shortest forms of durations.
func TestSizesAndDurationsRoundTrip(t *testing.T) {
	for _, size := range []Size{0, 1, 1023, 1 << 10, 3 << 20, 5 << 30, 1<<62 + 1} {
		if got, err := ParseSize(size.String()); err != nil || got != size {
			t.Errorf("size %d, formatted as %s: parsed as %d, %v", int64(size), size, int64(got), err)
		}
	}
	for d, want := range map[time.Duration]string{time.Minute: "1m", time.Hour: "1h", 90 * time.Minute: "1h30m",
		0: "0s", 2500 * time.Millisecond: "2.5s", 10 * time.Second: "10s", time.Hour + time.Second: "1h0m1s"} {
		if got := FormatDuration(d); got != want {
			t.Errorf("FormatDuration(%v): got %s, want %s", d, got, want)
		}
	}
}

// TestLoadReadsBoundedRegularFiles checks that Load rejects a file above MaxFileBytes, a directory, a device and a missing file.
func TestLoadReadsBoundedRegularFiles(t *testing.T) {
	dir := t.TempDir()
	large := filepath.Join(dir, "large.toml")
	if err := os.WriteFile(large, make([]byte, MaxFileBytes+1), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{large, dir, "/dev/zero", filepath.Join(dir, "none.toml")} {
		if _, err := registry.Load(path); err == nil {
			t.Errorf("Load(%s) succeeded, want an error", path)
		}
	}
}

// TestKeysDescribeKind checks path, unit, default, range and description of keys of all types.
func TestKeysDescribeKind(t *testing.T) {
	var got []string
	for _, k := range registry[0].Keys() {
		got = append(got, strings.Join([]string{k.Path, k.Unit, k.Default, k.Range(), k.Doc}, "|"))
	}
	want := []string{`wait|duration|"1s"|10ms to 1m|a duration`, `room|size|"64KiB"|1KiB to 1MiB|a size`,
		`count|count|3|1 to 10|a count`, `share|number|0|0 to 1|a number`, `on|true or false|false||a truth`,
		`order|text|"first"|first, last|a choice`, `label|text|"x"|1 to 8|a text`,
		`secrets|list of text|[]|at most 2|what no fault shows`, `address|text|""||an address`,
		`zones|list of text|["a"]|at most 3|a list`, `part.low|count|1|at least 0|the lower end`,
		`part.high|count|2|at least 0|the upper end`, `members[].low|count|0|at least 0|the lower end`,
		`members[].high|count|0|at least 0|the upper end`}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// FuzzParse checks for any input that the number of error lines is bounded, that no error spans two lines, and that decoded values
// are in range.
func FuzzParse(f *testing.F) {
	f.Add("kind = \"sample\"\nwait = \"1s\"\n[part]\nlow = 1\n[[members]]\nhigh = 2\n")
	f.Add("kind = \"sample\"\npart = { low = [ { x = 1 } ], \"a.b\" = 1979-05-27 }\nzones = [[1], {}]\n")
	f.Add("kind = \"other\"\nlow = 0x10\nhigh = +inf\n\"\\u2028\" = ''\n[a.b]\n[[c.d]]\n[c.d.e]\n")
	f.Add("kind = \"sample\"\nmembers = [{low=1}, 5]\n")
	f.Fuzz(func(t *testing.T, text string) {
		file, errorLines := parse(text)
		if len(errorLines) > configerror.MaxErrors+1 {
			t.Errorf("got %d error lines, want at most %d", len(errorLines), configerror.MaxErrors+1)
		}
		for _, line := range errorLines {
			if strings.ContainsAny(line, "\n\r") {
				t.Errorf("error with a line break: %q", line)
			}
		}
		if (file.Value == nil) != (len(errorLines) > 0) {
			t.Errorf("got value %v with errors %v, want either a value or errors", file.Value, errorLines)
		}
		v, ok := file.Value.(sample)
		if !ok {
			return
		}
		if v.Count < 1 || v.Count > 10 || !(v.Share >= 0 && v.Share <= 1) || v.Wait < 10*time.Millisecond {
			t.Errorf("value out of range: %+v", v)
		}
	})
}
