package settings

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"starlingwinch/internal/configerror"
)

// good returns a valid file that holds every key of the schema once.
func good(t testing.TB) string {
	t.Helper()
	raw, err := os.ReadFile("testdata/good.json")
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// lines returns one line for each error of a file.
func lines(raw string) []string {
	list := Check([]byte(raw))
	return list.Lines()
}

// TestCheckPassesValidFile checks that a valid file with every key of the schema has no errors.
func TestCheckPassesValidFile(t *testing.T) {
	if got := lines(good(t)); len(got) > 0 {
		t.Errorf("errors of a valid file:\n%s", strings.Join(got, "\n"))
	}
}

// TestCheckReportsEachError changes a valid file in one place at a time and checks the error that follows.
func TestCheckReportsEachError(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`"listen"`, `"listn"`, `listn: unknown field (did you mean "listen"?)`},
		{`"listen"`, `"listn"`, `listen: missing (wanted IP:PORT in quotes)`},
		{`"10.0.0.4:6379"`, `"router:6379"`, `listen: not an address ("router:6379", wanted IP:PORT)`},
		{`"10.0.0.4:6379"`, `6379`, `listen: wrong type (the number 6379, wanted IP:PORT in quotes)`},
		{`"10.2.0.1:8500"`, `"10.2.0.1:0"`, `discovery: port 0 is not allowed ("10.2.0.1:0", wanted IP:PORT)`},
		{`"8c1f30d27a5be964"`, `"0x1f"`, `seed: not a seed ("0x1f", wanted 1 to 16 hexadecimal digits)`},
		{`"cores":1`, `"cores":-1`, `limits.cores: out of range (-1, wanted 0 to 1024)`},
		{`"cores":1`, `"cores":1e999`, `limits.cores: out of range (1e999, wanted 0 to 1024)`},
		{`"cores":1`, `"cores":true`, `limits.cores: wrong type (true, wanted 0 to 1024)`},
		{`"memory_mb":192`, `"memory_mb":1.5`,
			`limits.memory_mb: not a whole number (1.5, wanted whole numbers 0 to 1048576 MiB)`},
		{`"sockets":1024`, `"sockets":3`,
			`limits.sockets: out of range (3, wanted at least 64 descriptors, or 0 for the default)`},
		{`"sockets":1024`, `"sockets":null`,
			`limits.sockets: wrong type (null, wanted whole numbers 0 to 16777216 descriptors)`},
		{`"10.3.0.2:7946"`, `"10.3.0.2"`, `peers[1]: not an address ("10.3.0.2", wanted IP:PORT)`},
		{`"name":"c2"`, `"name":"c1"`,
			`known.endpoints[1].name: duplicate cache name "c1" (first used by known.endpoints[0])`},
		{`"10.1.0.2:6379"`, `""`, `known.endpoints[1].address: not an address ("", wanted IP:PORT)`},
		{`"status":"terminating"`, `"status":"termnating"`, `known.endpoints[1].status: unknown status ("termnating", ` +
			`wanted in_service, terminating or terminated) (did you mean "terminating"?)`},
		{`"weight":2`, `"weight":-2`, `known.endpoints[1].weight: out of range (-2, wanted 0 to 1000000000000)`},
		{`"since_ms":1700000000000`, `"since_ms":1700000000000000`, `known.endpoints[1].since_ms: looks like ` +
			`microseconds; milliseconds are wanted (1700000000000000, wanted 0 to 7258118400000 ms)`},
		{`"endpoints":[`, `"endpoints":5,"x":[`, `known.endpoints: wrong type (the number 5, wanted an array)`},
		{`"instances":3`, `"instances":0`, `settings.instances: out of range (0, wanted whole numbers 1 to 100000)`},
		{`"instances":3`, `"instances":3,"instances":4`, `settings.instances: duplicate key; the last value would apply`},
		{`"subscribe"`, `"watch"`, `settings.discovery: unknown discovery mode ("watch", wanted subscribe or automatic)`},
		{`"weights":"none"`, `"weights":"nine"`, `settings.weights: unknown kind of weights ("nine", ` +
			`wanted none, nominal, rough or live) (did you mean "none"?)`},
		{`"name":"add-contact"`, `"name":"log-page"`,
			`settings.categories[2].name: duplicate class name "log-page" (first used by settings.categories[1])`},
		{`"name":"add-contact"`, `"name":""`, `settings.categories[2].name: empty (wanted 1 to 256 bytes)`},
		{`"aim":600000`, `"aims":600000`, `settings.categories[2].aims: unknown field (did you mean "aim"?)`},
		{`"aim":600000`, `"aims":600000`,
			`settings.categories[2].aim: missing (wanted whole numbers 1 to 86400000000 µs)`},
		{`"aim":600000`, `"aim":600`, `settings.categories[2].aim: looks like milliseconds; microseconds are wanted ` +
			`(600, wanted at least 5000 µs)`},
		{`"aim":600000`, `"aim":1200001`, `settings.categories[2].aim: above hardLimit (1200001, wanted at most 1200000 µs)`},
		{`"aim":600000`, `"aim":"600000"`, `settings.categories[2].aim: wrong type (the text "600000", ` +
			`wanted whole numbers 1 to 86400000000 µs)`},
		{`"aim":600000`, `"aim":-5`, `settings.categories[2].aim: out of range (-5, wanted whole numbers 1 to 86400000000 µs)`},
		{`"effect":"idempotency_key"`, `"effect":"idempotent_key"`, `settings.categories[2].effect: unknown effect ` +
			`("idempotent_key", wanted read_like, idempotency_key or non_idempotent) (did you mean "idempotency_key"?)`},
		{`"dedupScope":"zone"`, `"dedupScope":"region"`,
			`settings.categories[2].dedupScope: unknown dedupScope ("region", wanted all, zone or cell)`},
		{`"keyTtl":1200000,`, ``, `settings.categories[2].keyTtl: required for a class with ` +
			`idempotency keys, but missing or invalid (wanted 10000 to 86400000000 µs)`},
		{`"keyTtl":1200000`, `"keyTtl":0`, `settings.categories[2].keyTtl: required for a class with ` +
			`idempotency keys, but missing or invalid (wanted 10000 to 86400000000 µs)`},
		{`"lateWorth":0.25`, `"lateWorth":25`, `settings.categories[2].lateWorth: out of range (25, wanted 0 to 1)`},
		{`"drainGrace":1000000`, `"drainGrace":1000`, `settings.rules.drainGrace: looks like milliseconds; ` +
			`microseconds are wanted (1000, wanted at least 10000 µs)`},
		{`"cold":23000000`, `"cold":23000`, `settings.rules.cold: looks like milliseconds; ` +
			`microseconds are wanted (23000, wanted at least 100000 µs)`},
		{`"fall":3000000`, `"fall":3000`, `settings.rules.fall: looks like milliseconds; ` +
			`microseconds are wanted (3000, wanted at least 10000 µs)`},
		{`"askEvery":10000000`, `"askEvery":10000`, `settings.rules.askEvery: looks like milliseconds; ` +
			`microseconds are wanted (10000, wanted at least 100000 µs)`},
		{`"askEvery"`, `"ask_evry"`, `settings.rules.ask_evry: unknown field (did you mean "askEvery"?)`},
		{`"maxAttempts":3`, `"maxAttempts":0`,
			`settings.limits.maxAttempts: out of range (0, wanted whole numbers 1 to 1000)`},
		{`"keepalive":60000000`, `"keepalive":60000`, `settings.limits.keepalive: looks like milliseconds; ` +
			`microseconds are wanted (60000, wanted at least 100000 µs)`},
		{`"az"`, `"a\nz"`, `settings."a\nz": unknown field (did you mean "az"?)`},
	} {
		raw := strings.Replace(good(t), c.old, c.new, 1)
		if raw == good(t) {
			t.Fatalf("%s is not in testdata/good.json", c.old)
		}
		got := lines(raw)
		found := false
		for _, line := range got {
			found = found || line == c.want
		}
		if !found {
			t.Errorf("%s for %s:\n got  %s\n want %s", c.new, c.old, strings.Join(got, "\n      "), c.want)
		}
	}
}

// TestCheckReportsPositionOfSyntaxError checks the line and the column of the error for files that are not JSON.
func TestCheckReportsPositionOfSyntaxError(t *testing.T) {
	for raw, want := range map[string]string{
		"{\"a\": 1,\n \"ü\" 2}": `2:6: not JSON: invalid character '2' after object key`,
		"":                      `1:1: not JSON: unexpected end of JSON input`,
		"{}\n{}":                `2:1: not JSON: invalid character '{' after top-level value`,
		"[]":                    `the file: wrong type (an array, wanted an object)`,
	} {
		list := Check([]byte(raw))
		list.SetFile("")
		got := list.All()[0]
		if got.Line > 0 {
			got.File = "f"
		}
		if text := strings.TrimPrefix(got.String(), "f:"); text != want {
			t.Errorf("%q: got %q, want %q", raw, text, want)
		}
	}
}

// TestCheckReportsAllErrorsUpToBound checks a file with several errors, and a file with more errors than a list holds.
func TestCheckReportsAllErrorsUpToBound(t *testing.T) {
	raw := good(t)
	for _, c := range [][2]string{{`"listen"`, `"listn"`}, {`"cores":1`, `"cores":-1`}, {`"aim":600000`, `"aim":600`},
		{`"fall":3000000`, `"fall":3000`}, {`"subscribe"`, `"watch"`}} {
		raw = strings.Replace(raw, c[0], c[1], 1)
	}
	if got := lines(raw); len(got) != 6 { // five changes, and the missing key listen
		t.Errorf("got %d errors, want 6:\n%s", len(got), strings.Join(got, "\n"))
	}
	many := `{"x":1` + strings.Repeat(`,"x":1`, 10_000) + `}`
	if got := lines(many); len(got) != configerror.MaxErrors+1 || got[configerror.MaxErrors] != "and 9904 more" {
		t.Errorf("got %d lines for 10,004 errors, the last %q, want %d lines and \"and 9904 more\"",
			len(got), got[len(got)-1], configerror.MaxErrors+1)
	}
}

// FuzzCheck checks for any input that the number of error lines is bounded, that no error spans two lines, and that Parse accepts
// the settings of a file in which Check finds no errors.
func FuzzCheck(f *testing.F) {
	f.Add(good(f))
	f.Add(`{"known":{"endpoints":[{"name":"a"},{"name":"a"}]},"settings":{"categories":[{},{"aim":1e3}]}}`)
	f.Add(`{"a":[{"b":[]}],"settings":null,"":[]}`)
	f.Add("{\"\\u2028\": 1,\n\"x\\ny\": \"")
	f.Fuzz(func(t *testing.T, raw string) {
		got := lines(raw)
		if len(got) > configerror.MaxErrors+1 {
			t.Errorf("got %d error lines, want at most %d", len(got), configerror.MaxErrors+1)
		}
		for _, line := range got {
			if strings.ContainsAny(line, "\n\r") {
				t.Errorf("error with a line break: %q", line)
			}
		}
		if len(got) > 0 {
			return
		}
		var in struct{ Settings json.RawMessage }
		if err := json.Unmarshal([]byte(raw), &in); err != nil {
			t.Fatalf("Check finds no errors in a file that can't be decoded: %v", err)
		}
		if _, _, err := Parse(in.Settings); err != nil {
			t.Errorf("Check finds no errors in settings that Parse rejects: %v", err)
		}
	})
}
