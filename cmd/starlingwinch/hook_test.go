package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"starlingwinch/internal/operatorconfig"
)

// hookIn runs a hook command in the folder dir.
func hookIn(t *testing.T, dir string, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	if _, err := binary(); err != nil { // the build must run in the folder of the sources, so before Chdir
		t.Fatal(err)
	}
	t.Chdir(dir)
	return outcome(t, append([]string{"hook"}, args...)...)
}

func TestScaffoldsLoad(t *testing.T) {
	dir := t.TempDir()
	if code, out, errs := hookIn(t, dir, "new", "club"); code != 0 || !strings.HasPrefix(out, "club.star: written; next:\n") {
		t.Fatalf("code %d, %s%s", code, out, errs)
	}
	// On a busy machine a call may exceed the default budget of 5 ms. This test does not check the budget, so it sets a longer one.
	code, out, errs := hookIn(t, dir, "check", "club.star", "--time", "1s")
	if want := "club.star: good (contract 1; points: request; "; code != 0 || !strings.HasPrefix(out, want) {
		t.Errorf("code %d, %s%s", code, out, errs)
	}
	if code, _, errs := hookIn(t, dir, "new", "club"); code != 1 || errs != "club.star: the file exists and is not changed\n" {
		t.Errorf("code %d, %s", code, errs)
	}
	if code, out, errs := hookIn(t, dir, "new", "club", "--engine", "wasm"); code != 0 || !strings.Contains(out, "-o club.wasm club.c") {
		t.Errorf("code %d, %s%s", code, out, errs)
	}
	text, err := os.ReadFile(filepath.Join(dir, "club.c"))
	if err != nil || strings.Contains(string(text), "NAME") || !strings.Contains(string(text), "The hook club.") {
		t.Errorf("%v\n%s", err, text)
	}
}

func TestHookCommandUsageErrors(t *testing.T) {
	for line, want := range map[string]string{ // any order
		"":                            "starlingwinch hook: a command is required; see starlingwinch hook --help",
		"chekc":                       `starlingwinch hook: unknown command "chekc" (did you mean "check"?)`,
		"new":                         "starlingwinch hook new: one NAME is required",
		"new ../x":                    `starlingwinch hook new: "../x" is not a valid name of a hook`,
		"new a --engine lua":          `starlingwinch hook new: --engine: unknown value "lua" (wanted script or wasm)`,
		"check":                       "starlingwinch hook check: one FILE is required",
		"check a.star --memory 1B":    `starlingwinch hook check: --memory: out of range ("1B", wanted 1MiB to 1GiB)`,
		"check a.star --time 2s":      "starlingwinch hook check: --time: out of range (2s, wanted 100us to 1s)",
		"run a.star":                  "starlingwinch hook run: --requests: a FILE is required",
		"bench a.star --for 1ns":      "starlingwinch hook bench: --for: out of range (1ns, wanted 10ms to 10m)",
		"check a.star --load-time 1m": "starlingwinch hook check: --load-time: out of range (1m0s, wanted 10ms to 30s)",
	} {
		code, _, errs := outcome(t, append([]string{"hook"}, strings.Fields(line)...)...)
		if code != exitUsage || !strings.HasPrefix(errs, want) {
			t.Errorf("%s: code %d, %s\nwant %s", line, code, errs, want)
		}
	}
}

func TestHookCheckNamesFault(t *testing.T) {
	for want, text := range map[string]string{ // any order
		"does not load: a.star:":                                       "version = 1\ndef",
		"other contract: it was built for version 9":                   "version = 9\ndef on_request(r):\n    pass\n",
		"at the point request, called with empty texts: crashed: a:3:": "version = 1\ndef on_request(r):\n    return r.key[0]\n",
		"at the point unload, called with empty texts: crashed":        "version = 1\ndef on_request(r):\n    pass\ndef on_unload():\n    return 1 // 0\n",
		"overran its budget":                                           "version = 1\ndef on_request(r):\n    for i in range(1 << 40):\n        pass\n",
	} {
		path := file(t, "a.star", text)
		code, _, errs := outcome(t, "hook", "check", path)
		for tries := 0; tries < 5 && strings.Contains(errs, "overran its budget") && want != "overran its budget"; tries++ {
			code, _, errs = outcome(t, "hook", "check", path) // on a busy machine a call may exceed its budget
		}
		want = strings.Replace(want, "a.star:", "a:", 1)
		if code != exitFailure || !strings.Contains(errs, want) {
			t.Errorf("code %d, %s\nwant %s", code, errs, want)
		}
	}
	if code, _, errs := outcome(t, "hook", "check", file(t, "a.lua", "")); code != 1 || !strings.Contains(errs, "unknown file extension") {
		t.Errorf("code %d, %s", code, errs)
	}
}

func TestHookRunPrintsVerdicts(t *testing.T) {
	hook := file(t, "a.star", `version = 1
def on_request(r):
    if r.key == "R":
        return refuse(250)
    if r.key == "F":
        log("seen")
        return fail("no such call")
    if r.key == "V":
        return fail(str(r.value))
    tag("club")
    tenant("guests")
`)
	requests := file(t, "r.jsonl", `{"key":"P","class":"call-lookup"}

{"key":"R"}
{"key":"F","time_left_ms":480}
{"point":"answered","outcome":"failed"}
{"key":"V","value":"59"}
`)
	code, out, errs := outcome(t, "hook", "run", hook, "--requests", requests, "--wants-value", "--time", "1s")
	if code != 0 {
		t.Fatalf("code %d, %s", code, errs)
	}
	for _, want := range []string{"tenant guests; tag club", "wait 250 ms", `text "no such call"; log "seen"`, `text "59"`,
		"a: calls 5 pass 1 refuse 1 fail 2 none 0 not_asked 1\n"} {
		if !strings.Contains(out, want) {
			t.Errorf("%s\nis not in\n%s", want, out)
		}
	}
	crash := file(t, "b.star", "version = 1\ndef on_request(r):\n    return [][1]\n")
	if code, out, errs := outcome(t, "hook", "run", crash, "--requests", requests); code != 1 || !strings.Contains(out, "none 4") {
		t.Errorf("code %d, %s%s", code, out, errs)
	}
	bad := file(t, "bad.jsonl", "{\"key\":\"P\"}\n{\"kye\":\"P\"}\n")
	if code, _, errs := outcome(t, "hook", "run", hook, "--requests", bad); code != 1 || !strings.Contains(errs, `bad.jsonl:2: json: unknown field "kye"`) {
		t.Errorf("code %d, %s", code, errs)
	}
}

func TestHookBenchPrintsCosts(t *testing.T) {
	hook := file(t, "a.star", "version = 1\ndef on_request(r):\n    pass\n")
	code, out, errs := outcome(t, "hook", "bench", hook, "--for", "50ms", "--time", "1s")
	if code != 0 || !strings.HasPrefix(out, "a: calls ") || !strings.Contains(out, " none 0 load_ms ") || !strings.Contains(out, " worker_MiB ") {
		t.Errorf("code %d, %s%s", code, out, errs)
	}
}

func TestLoadHooksReadsCode(t *testing.T) {
	dir := filepath.Dir(file(t, "club.star", "version = 1\n"))
	set, err := kinds.Parse("hooks.toml", []byte("kind = \"hooks\"\nfolder = \""+dir+"\"\n[[hook]]\nfile = \"club.star\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	for _, processors := range []int{1, 2} {
		cfg, err := loadHooks([]operatorconfig.File{set}, processors)
		if err != nil || len(cfg.Hooks) != 1 || string(cfg.Hooks[0].Code) != "version = 1\n" || (cfg.ServeInProcess != nil) != (processors > 1) {
			t.Errorf("%d processors: %+v, %v", processors, cfg, err)
		}
	}
}

func FuzzRecordedRequest(f *testing.F) {
	f.Add([]byte(`{"point":"request","class":"x","key":"k","time_left_ms":480,"size":3,"value":"abc"}`))
	f.Add([]byte(`{"point":"answered","outcome":"refused","took_ms":1.5,"now_ms":1e9}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		c, err := parseRequest(line, true)
		if err == nil && (c.Size < 0 || c.TimeLeft < 0 || c.Took < 0 || c.Now < 0 || c.Outcome.String() == "no outcome" || c.Point.String() == "no point") {
			t.Errorf("%+v", c)
		}
	})
}
