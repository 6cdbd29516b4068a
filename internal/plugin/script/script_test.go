package script

import (
	"testing"

	"starlingwinch/internal/plugin"
	"starlingwinch/internal/plugin/plugintest"
)

const v1 = "version = 1\n"

var hooks = map[string][]byte{
	"verdicts": []byte(v1 + `
def on_request(r):
    if r.key.startswith("R"):
        return refuse(250)
    if r.key.startswith("F"):
        return fail("no such call")
    if r.key.startswith("T"):
        tag("club")
        tag("club")
        tenant("guests")
    if r.key.startswith("L"):
        log("seen")
`),
	"echo": []byte(v1 + `
def on_request(r):
    c = r.key[0]
    if c == "v":
        return fail(r.verb)
    if c == "c":
        return fail(r.request_class)
    if c == "t":
        return fail(r.tenant)
    if c == "k":
        return fail(r.key)
    if c == "s":
        return refuse(wait_ms = r.size)
    if c == "V" and r.value != None:
        return fail(str(r.value))
`),
	"count": []byte(v1 + `
calls = [0]
def on_request(r):
    calls[0] += 1
    if r.key == "C":
        return 1 // 0
    return refuse(calls[0])
`),
	"crash": []byte(v1 + `
def on_request(r):
    tag("club")
    log("before")
    return [][1]
`),
	"notifications": []byte(v1 + `
def on_answered(r):
    log(r.outcome[0])
def on_list(r):
    log("list")
def on_load():
    pass
`),
	"loop": []byte(v1 + `
def on_request(r):
    if r.key == "L":
        for i in range(1 << 40):
            pass
`),
	"recurse":                []byte(v1 + "def on_request(r):\n    return on_request(r)\n"),
	"allocate":               []byte(v1 + "values = []\ndef on_request(r):\n    for i in range(1 << 40):\n        values.append(i)\n"),
	"invalid decision":       []byte(v1 + "def on_request(r):\n    return 7\n"),
	"rejecting notification": []byte(v1 + "def on_answered(r):\n    return refuse()\n"),
	"tagging notification":   []byte(v1 + "def on_answered(r):\n    tag('club')\n"),
	"long line":              []byte(v1 + "def on_request(r):\n    log('x' * (1 << 20))\n"),
	"many lines":             []byte(v1 + "def on_request(r):\n    for i in range(10000):\n        log('line')\n"),
	"long tag":               []byte(v1 + "def on_request(r):\n    tag('x' * 65)\n"),
	"bad tag":                []byte(v1 + "def on_request(r):\n    tag('a b')\n"),
	"many tags":              []byte(v1 + "def on_request(r):\n    for i in range(9):\n        tag('t%d' % i)\n"),
	"long wait":              []byte(v1 + "def on_request(r):\n    return refuse(60001)\n"),
	"load crash":             []byte(v1 + "def on_load():\n    return 1 // 0\ndef on_request(r):\n    pass\n"),
	"load loop":              []byte(v1 + "def on_load():\n    for i in range(1 << 40):\n        pass\ndef on_request(r):\n    pass\n"),
	"unload crash":           []byte(v1 + "def on_unload():\n    return 1 // 0\ndef on_request(r):\n    pass\n"),
	"answered crash":         []byte(v1 + "def on_answered(r):\n    return 1 // 0\n"),
	"other version":          []byte("version = 2\ndef on_request(r):\n    pass\n"),
	"no point":               []byte(v1),
	"no version":             []byte("def on_request(r):\n    pass\n"),
	"bad signature":          []byte(v1 + "def on_request():\n    pass\n"),
	"unknown function":       []byte(v1 + "def on_request(r):\n    send(r)\n"),
}

func TestScriptEngineMeetsContract(t *testing.T) { plugintest.Run(t, Engine{}, hooks) }

func TestScriptHasNoOtherFunctions(t *testing.T) {
	for _, line := range []string{`load("os", "open")`, `open("x")`, `import os`, `time.now()`, `json.decode("1")`} {
		if _, err := (Engine{}).Load("x", []byte(v1+line+"\ndef on_request(r):\n    pass\n"), plugin.DefaultBudget); err == nil {
			t.Errorf("%s: got no error for an undefined function", line)
		}
	}
}

func TestUnknownAttributeErrorNamesPosition(t *testing.T) {
	h, err := Engine{}.Load("club.star", []byte(v1+"def on_request(r):\n    return fail(r.class_name)\n"), plugin.DefaultBudget)
	if err != nil {
		t.Fatal(err)
	}
	err = h.Call(&plugin.Call{Point: plugin.OnRequest}, &plugin.Verdict{})
	if want := "crashed: club.star:3:18: record has no .class_name field or method"; err == nil || err.Error() != want {
		t.Errorf("got error %v, want %s", err, want)
	}
}

func FuzzScriptLoad(f *testing.F) {
	for _, name := range []string{"verdicts", "echo", "count", "notifications"} {
		f.Add(hooks[name])
	}
	b := plugin.DefaultBudget
	b.Steps, b.LoadTime = 100, 20_000
	f.Fuzz(func(t *testing.T, code []byte) {
		if len(code) > 4096 {
			return
		}
		h, err := Engine{}.Load("x", code, b)
		if (h == nil) == (err == nil) {
			t.Errorf("hook %v, error %v", h, err)
		}
	})
}

func BenchmarkScript(b *testing.B) { plugintest.Bench(b, Engine{}, hooks) }
