package simwire

import (
	"errors"
	"strings"
	"testing"
)

const startMessage = `{"NewInstance":{"i":3,"seed":11,"info":{"az":"east","instances":2,"me":0,"discovery":"subscribe",` +
	`"newSetting":[1,2],"categories":[{"name":"get","effect":"read_like","aim":300000,"hardLimit":900000,"worth":1}],` +
	`"limits":{"cancel":true,"maxAttempts":3,"probes":true,"secondCopies":true},` +
	`"rules":{"askEvery":10000000,"cold":8000000,"drainGrace":1000000,"graceToAnswer":20000,"startCapacity":0.2}}}}`

const listMessages = `{"DefineList":{"rosterId":0,"hosts":[{"unitGroup":0,"size":1,"model":"m","failureDomain":"east",` +
	`"condition":"up","server":"s-one","later":true}]}},{"Registry":{"i":3,"serial":4,"rosterId":0,"scope":"C"}}`

func batchLine(now, n string, msgs ...string) string {
	return `{"now":` + now + `,"batch":` + n + `,"msgs":[` + strings.Join(msgs, ",") + "]}\n"
}

func run(t *testing.T, in string) (string, error) {
	t.Helper()
	var out strings.Builder
	err := NewHost().Run(strings.NewReader(in), &out)
	return out.String(), err
}

// TestRunAnswersEachBatch runs one router from its start to its end and checks the reply to each batch.
func TestRunAnswersEachBatch(t *testing.T) {
	in := batchLine("1000", "1") +
		batchLine("2000", "2", startMessage, listMessages) +
		batchLine("3000", "3", `{"WorkItem":{"i":3,"tid":8,"tierClass":"get","entity":77,"dropDead":403000,"repeat":true}}`) +
		batchLine("9000", "4", `{"AttemptEnd":{"i":3,"tid":8,"server":"s-one","stateCode":"served","elapsed":6000,"last":true,"info":1}}`) +
		batchLine("9500", "5", `{"Left":{"i":3,"tid":8}}`, `{"Datagram":{"i":3,"originPeer":1,"data":"x"}}`) +
		batchLine("502000", "6", `{"Fired":{"i":3,"cookie":1}}`) +
		batchLine("503000", "7", `{"Exit":{"i":3}}`)
	out, err := run(t, in)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out), "\n")
	want := []string{
		`{"batch":1,"decisions":[]}`,
		`{"batch":2,"decisions":[{"Arm":{"i":3,"cookie":1,"time":21583}}`, // the first polls of the two instances are spread over time
		`{"CallOut":{"i":3,"tid":8,"server":"s-one","stopAt":`,
		`{"batch":4,"decisions":[]}`,
		`{"batch":5,"decisions":[]}`,
		`{"batch":6,"decisions":[{"Follow":{"i":3,"enable":true}}`,
		`{"batch":7,"decisions":[]}`,
	}
	if len(lines) != len(want) {
		t.Fatalf("got %d replies, want %d:\n%s", len(lines), len(want), out)
	}
	for k := range want {
		if !strings.Contains(lines[k], want[k]) {
			t.Errorf("reply %d: got %s\nwant a reply that contains %s", k+1, lines[k], want[k])
		}
	}
}

// TestInstanceRestartsInOneBatch checks that one batch may end a router and start another router of the same instance.
func TestInstanceRestartsInOneBatch(t *testing.T) {
	in := batchLine("1", "1", startMessage, listMessages) + batchLine("2", "2", `{"Exit":{"i":3}}`, startMessage, listMessages) +
		batchLine("3", "3", `{"WorkItem":{"i":3,"tid":1,"tierClass":"get","dropDead":400003}}`)
	if out, err := run(t, in); err != nil || !strings.Contains(out, `"CallOut":{"i":3,"tid":1,"server":"s-one"`) {
		t.Fatalf("%v\n%s", err, out)
	}
}

// TestRunNamesMalformedLine checks that the error names the line, the message and the field, and that Run answers the lines before
// the malformed line.
func TestRunNamesMalformedLine(t *testing.T) {
	good := batchLine("1", "1")
	for _, c := range []struct{ in, want string }{
		{"nonsense\n", "line 2: not JSON"},
		{"[]\n", "line 2: wrong type"},
		{"{}\n", "line 2: a batch needs"},
		{"\n", "line 2: empty line"},
		{batchLine("1", "2", `{"Surprise":{"i":3}}`), `line 2: message 0: unknown message "Surprise"`},
		{batchLine("1", "2", `{"Left":{"i":3,"tid":1}}`), "line 2: message 0: Left: instance 3 was never started"},
		{batchLine("1", "2", `{"Left":{"tid":1}}`), "line 2: message 0: Left: i: no instance"},
		{batchLine("1", "2", `{"Left":{"i":3},"Fired":{"i":3}}`), "line 2: message 0: want an object with one key"},
		{batchLine("1", "2", `{"Left":7}`), "line 2: message 0: Left: want an object"},
		{batchLine("1", "2", `null`), "line 2: message 0 is null"},
		{batchLine("1", "2", `{"Left":{"i":"x"}}`), "line 2: message 0: Left: wrong type"},
		{
			batchLine("1", "2", startMessage, `{"Registry":{"i":3,"scope":"F","rosterId":9}}`),
			"line 2: message 1: Registry: rosterId: list 9 was never defined",
		},
		{batchLine("1", "2", startMessage, `{"Registry":{"i":3,"scope":"Q"}}`), `line 2: message 1: Registry: scope: unknown value "Q"`},
		{
			batchLine("1", "2", startMessage, `{"AttemptEnd":{"i":3,"tid":1,"stateCode":"dozed"}}`),
			`line 2: message 1: AttemptEnd: stateCode: unknown outcome "dozed"`,
		},
		{batchLine("1", "2", `{"NewInstance":{"i":3,"info":{}}}`), "line 2: message 0: NewInstance: decide: Classes is empty"},
		{batchLine("1", "2", strings.Replace(startMessage, `"maxAttempts":3`, `"maxAttempts":0`, 1)), "MaxAttempts is 0"},
		{
			batchLine("1", "2", `{"DefineList":{"rosterId":0,"hosts":[{"server":"a","condition":"odd"}]}}`),
			"line 2: message 0: DefineList: invalid host",
		},
	} {
		out, err := run(t, good+c.in)
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q:\n got %v\nwant %s", c.in, err, c.want)
		}
		var at *LineError
		if !errors.As(err, &at) || at.Line != 2 {
			t.Errorf("%q: got error %#v, want a LineError with line 2", c.in, err)
		}
		if out != "{\"batch\":1,\"decisions\":[]}\n" {
			t.Errorf("%q: got output %q, want only the reply to line 1", c.in, out)
		}
	}
}

// TestRunEndsWithInput checks an empty input and a last line without a line break.
func TestRunEndsWithInput(t *testing.T) {
	if out, err := run(t, ""); err != nil || out != "" {
		t.Fatal(out, err)
	}
	if out, err := run(t, strings.TrimSpace(batchLine("1", "9"))); err != nil || out != "{\"batch\":9,\"decisions\":[]}\n" {
		t.Fatal(out, err)
	}
}

// FuzzRun checks that no input causes an error that spans several lines, or a panic of a router.
func FuzzRun(f *testing.F) {
	f.Add(batchLine("1", "1", startMessage, listMessages))
	f.Add(batchLine("1", "1", startMessage, listMessages, `{"Checked":{"i":3,"server":"s-one","stateCode":"served","feedback":{"busy":0.5}}}`))
	f.Fuzz(func(t *testing.T, in string) {
		var out strings.Builder
		if err := NewHost().Run(strings.NewReader(in), &out); err != nil && strings.Contains(err.Error(), "\n") {
			t.Errorf("error with a line break: %q", err)
		}
		if strings.Contains(out.String(), `"Exception"`) {
			t.Errorf("a router panicked: %s", out.String())
		}
	})
}
