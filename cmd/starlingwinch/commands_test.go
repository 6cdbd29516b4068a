package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"

	"starlingwinch/internal/gossip"
)

// binary builds the program once and returns its path.
var binary = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "starlingwinch")
	if err != nil {
		return "", err
	}
	bin := filepath.Join(dir, "starlingwinch")
	out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, out)
	}
	return bin, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if bin, err := binary(); err == nil {
		os.RemoveAll(filepath.Dir(bin))
	}
	os.Exit(code)
}

// command returns a command that runs the program, without BALANCER_CONFIG in its environment.
func command(t *testing.T, args ...string) *exec.Cmd {
	t.Helper()
	bin, err := binary()
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(stop)
	cmd := exec.CommandContext(ctx, bin, args...)
	for _, v := range os.Environ() {
		if !strings.HasPrefix(v, configVariable+"=") {
			cmd.Env = append(cmd.Env, v)
		}
	}
	return cmd
}

// outcome runs the program until it exits, and returns its exit code and output.
func outcome(t *testing.T, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	cmd := command(t, args...)
	var out, errs bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errs
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return cmd.ProcessState.ExitCode(), out.String(), errs.String()
}

func file(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestUnknownCommandsAndFlagsStartNothing(t *testing.T) {
	for _, c := range []struct{ args, want string }{
		{"chek", `starlingwinch: unknown command "chek" (did you mean "check"?); see starlingwinch help`},
		{"rn --config x", `starlingwinch: unknown flag "--config" (did you mean "run --config"?); see starlingwinch --help`},
		{"run --confg x", `starlingwinch run: unknown flag "--confg" (did you mean "--config"?); see starlingwinch run --help`},
		{"run --operator", `starlingwinch run: flag needs an argument: --operator; see starlingwinch run --help`},
		{"run --config=", `starlingwinch run: --config: a FILE is required; see starlingwinch run --help`},
		{"run config.json", `starlingwinch run: unexpected argument "config.json" (the command takes none)`},
		{"--config x", `starlingwinch: unknown flag "--config" (did you mean "run --config"?); see starlingwinch --help`},
		{"-q", `starlingwinch: unknown flag "-q"; see starlingwinch --help`},
		{"check", `starlingwinch check: a FILE is required; see starlingwinch check --help`},
		{"help rnu", `starlingwinch: unknown command "rnu" (did you mean "run"?); see starlingwinch help`},
		{"version now", `starlingwinch version: unexpected argument "now" (the command takes none)`},
	} {
		code, stdout, stderr := outcome(t, strings.Fields(c.args)...)
		if code != exitUsage || stdout != "" || stderr != c.want+"\n" {
			t.Errorf("%s: exit code %d, %s%s want %s", c.args, code, stdout, stderr, c.want)
		}
	}
}

func TestHelpAndVersionPrintedToStdout(t *testing.T) {
	for args, want := range map[string]string{"help": "check", "--help": "version", "help run": "--operator FILE",
		"check --help": "FILE...", "version": "starlingwinch "} {
		code, stdout, stderr := outcome(t, strings.Fields(args)...)
		if code != 0 || !strings.Contains(stdout, want) || stderr != "" {
			t.Errorf("%s: exit code %d\n%s%s", args, code, stdout, stderr)
		}
	}
}

func TestVersionNamesRevision(t *testing.T) {
	info := &debug.BuildInfo{GoVersion: "go1.26", Main: debug.Module{Version: "v1.2.3"}, Settings: []debug.BuildSetting{
		{Key: "vcs.revision", Value: "abc"}, {Key: "vcs.modified", Value: "true"}, {Key: "vcs.time", Value: "2026-01-02"}}}
	if got := version(info); got != "starlingwinch v1.2.3, revision abc with changes of 2026-01-02, go1.26" {
		t.Error(got)
	}
	if got := version(nil); got != "starlingwinch, unknown build" {
		t.Error(got)
	}
}

func TestCheckDetectsFileKindsAndNamesAllFaults(t *testing.T) {
	valid := fmt.Sprintf(config, "127.0.0.1:6379")
	good, noExtension := file(t, "config.json", valid), file(t, "config", valid)
	code, stdout, stderr := outcome(t, "check", good, noExtension, "../../deploy/limits.toml")
	want := good + ": good (platform's file)\n" + noExtension + ": good (platform's file)\n" +
		"../../deploy/limits.toml: good (operators' file, kind limits)\n"
	if code != 0 || stdout != want || stderr != "" {
		t.Errorf("exit code %d\n%s%s", code, stdout, stderr)
	}
	bad := file(t, "bad.json", strings.NewReplacer(`"aim":500000`, `"aim":500`, `"rules"`, `"rule"`).Replace(valid))
	typo := file(t, "typo", "kind = \"limits\"\n[clients]\nidle_tim = \"3s\"\n")
	code, stdout, stderr = outcome(t, "check", bad, good, typo, "none.toml", "-")
	want = bad + ": settings.categories[0].aim: looks like milliseconds; microseconds are wanted " +
		"(500, wanted at least 5000 µs)\n" +
		bad + ": settings.rule: unknown field (did you mean \"rules\"?)\n" +
		typo + ":3:1: clients.idle_tim: unknown key (did you mean \"idle_time\"?)\n" +
		"starlingwinch: stat none.toml: no such file or directory\n" +
		"starlingwinch: stat -: no such file or directory\n"
	if code != exitFailure || stdout != good+": good (platform's file)\n" || stderr != want {
		t.Errorf("exit code %d\n%s%s\nwant\n%s", code, stdout, stderr, want)
	}
}

func TestRunAppliesOperatorFiles(t *testing.T) {
	path := file(t, "config.json", fmt.Sprintf(config, "127.0.0.1:0"))
	mine := file(t, "mine.toml", "kind = \"limits\"\n[clients]\ncommand_time = \"100ms\"\n")
	s := start(t, command(t, "run", "--config", path, "--operator", mine))
	if err := os.WriteFile(mine, []byte("kind = \"limits\"\n[clients]\ncommand_time = \"1ms\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	s.hangUp(t)
	if got := s.wait(t, `msg="reload failed" cause=`); !strings.Contains(got, "clients.command_time: out of range") {
		t.Errorf("logged %q", got)
	}
	if err := os.WriteFile(mine, []byte("kind = \"limits\"\n[clients]\ncommand_time = \"200ms\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	s.hangUp(t)
	s.wait(t, "waits for a restart")
	s.end(t)
}

func (s *started) hangUp(t *testing.T) {
	t.Helper()
	if err := s.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
}

func TestStartLogsAllFaultsTogether(t *testing.T) {
	path := file(t, "config.json", fmt.Sprintf(config, "nowhere"))
	typo := file(t, "typo.toml", "kind = \"limits\"\n[clients]\npipelined = 0\n")
	twice := file(t, "twice.toml", "kind = \"limits\"\n")
	code, _, stderr := outcome(t, "run", "--config", path, "--operator", typo, "--operator", twice, "--operator", twice)
	want := path + `: listen: not an address ("nowhere", wanted IP:PORT)` + "\n" +
		typo + ":3:1: clients.pipelined: out of range (0, wanted 1 to 4096)\n" +
		twice + ": kind: limits is also the kind of " + twice + "; one file of a kind is allowed\n"
	if got := unstamped(t, stderr); code != exitFailure || got != want {
		t.Errorf("exit code %d\n%s\nwant\n%s", code, got, want)
	}
}

var stamp = regexp.MustCompile(`^\d{4}/\d\d/\d\d \d\d:\d\d:\d\d \[\d+\] `)

// unstamped removes the time and the process ID from each line of a log, and checks that each line has them.
func unstamped(t *testing.T, log string) string {
	t.Helper()
	var text strings.Builder
	for line := range strings.Lines(log) {
		found := stamp.FindString(line)
		if found == "" {
			t.Errorf("a line without time and process ID: %q", line)
		}
		text.WriteString(line[len(found):])
	}
	return text.String()
}

func TestUnknownPlatformFieldIsWarning(t *testing.T) {
	valid := fmt.Sprintf(config, "127.0.0.1:0")
	path := file(t, "config.json", strings.Replace(valid, `"instances"`, `"newKey":1,"instances"`, 1))
	cmd := command(t, "run", "--config", path)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	s := &started{cmd: cmd, log: bufio.NewReader(stderr)}
	if got := s.wait(t, `msg="configuration warning" detail=`); got != strconv.Quote(path+": settings.newKey: unknown field") {
		t.Errorf("warned %q", got)
	}
	s.end(t)
}

// TestUnreadStderrDoesNotBlockExit checks that the program exits when its standard error is a full pipe that nothing reads.
func TestUnreadStderrDoesNotBlockExit(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	defer w.Close()
	fillPipe(t, w)
	cmd := command(t, "run", "--config", "none.json")
	cmd.Stderr = w
	var exit *exec.ExitError
	if err := cmd.Run(); !errors.As(err, &exit) || exit.ExitCode() != exitFailure {
		t.Errorf("ended with %v, want exit code 1", err)
	}
}

// fillPipe writes to a pipe until it is full.
func fillPipe(t *testing.T, w *os.File) {
	t.Helper()
	raw, err := w.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	chunk := make([]byte, 4096)
	err = raw.Write(func(fd uintptr) bool {
		for err == nil {
			_, err = syscall.Write(int(fd), chunk)
		}
		return true
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestNonBlockingWriterDropsOverflow writes more than the queue holds while there is no reader. The first writes must arrive in
// order; the others are dropped.
func TestNonBlockingWriterDropsOverflow(t *testing.T) {
	r, w := io.Pipe()
	o := newNonBlockingWriter(w)
	for i := range 3 * maxQueuedWrites {
		fmt.Fprintln(o, i)
	}
	go func() {
		o.flush(testTimeout)
		w.Close()
	}()
	text, err := io.ReadAll(r)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Fields(string(text))
	if len(lines) < maxQueuedWrites || len(lines) > maxQueuedWrites+1 || lines[0] != "0" || lines[5] != "5" {
		t.Errorf("got %d lines, the first %q", len(lines), lines[:min(6, len(lines))])
	}
}

func TestStormExplainPrintsStorms(t *testing.T) {
	log := file(t, "log", "serving on 127.0.0.1:7000\n2026/05/01 10:00:00 storm: calm -> rising: asked 800/s, retries 45%, "+
		"unserved 41%, caches away 0%, connections 120/s, fresh 10%; bounds: retries 0.55, waits up to 250ms\n")
	code, stdout, stderr := outcome(t, "storm", "explain", log)
	if code != 0 || !strings.Contains(stdout, "45% of 800 requests a second were retries") || stderr != "" {
		t.Errorf("exit code %d\n%s%s", code, stdout, stderr)
	}
	calm := file(t, "calm", "serving on 127.0.0.1:7000\n")
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"storm", "explain", calm}, 1, "no line of the log tells of a storm"},
		{[]string{"storm", "explain", "none.log"}, 1, "none.log"},
		{[]string{"storm", "explain"}, 2, "one LOGFILE is required"},
		{[]string{"storm", "explian"}, 2, "did you mean"},
	} {
		if code, _, stderr := outcome(t, c.args...); code != c.code || !strings.Contains(stderr, c.want) {
			t.Errorf("%v: exit code %d\n%s", c.args, code, stderr)
		}
	}
}

func TestFleetViewNamesFault(t *testing.T) {
	noPeers := file(t, "config.json", `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{"categories":`+
		`[{"name":"read","effect":"read_like","aim":500000,"hardLimit":1000000,"worth":1}]}}`)
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"fleet", "view"}, 2, "one ADDR or --config FILE is required"},
		{[]string{"fleet", "view", "here"}, 2, `"here" is not an address`},
		{[]string{"fleet", "view", "127.0.0.1:1", "--config", noPeers}, 2, "one ADDR or --config FILE is required"},
		{[]string{"fleet", "view", "--config", noPeers}, 1, "peer_listen: missing"},
		{[]string{"fleet", "view", "127.0.0.1:1"}, 1, "no answer from 127.0.0.1:1"},
		{[]string{"fleet", "veiw"}, 2, "did you mean"},
	} {
		if code, _, stderr := outcome(t, c.args...); code != c.code || !strings.Contains(stderr, c.want) {
			t.Errorf("%v: exit code %d\n%s", c.args, code, stderr)
		}
	}
}

func TestFleetViewPrintsEachRouter(t *testing.T) {
	v := &view{Router: "n4", Settled: true, For: 12_400_000, Digest: 0xfeed, Members: []gossip.Member{
		{Name: "n3", State: gossip.Leaving, Incarnation: 17, Since: 900_000, Info: gossip.Info{List: 41, Digest: 1, Config: 2, Build: 3}}}}
	var text, doc strings.Builder
	if err := printView(&text, v); err != nil {
		t.Fatal(err)
	}
	if err := printViewJSON(&doc, v); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"n4: settled for 12.4s, digest 000000000000feed, 1 routers", "n3      leaving  0.9s   17           41    00000001  00000002  00000003"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("%q is not in\n%s", want, &text)
		}
	}
	want := `{"router":"n4","settled":true,"for_s":12.4,"digest":"000000000000feed","routers":[{"router":"n3","state":"leaving",` +
		`"since_s":0.9,"incarnation":17,"list":41,"content":"00000001","config":"00000002","build":"00000003"}]}` + "\n"
	if doc.String() != want {
		t.Errorf("got %s", &doc)
	}
}
