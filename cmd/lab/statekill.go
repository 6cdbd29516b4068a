package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/snapshotstore"
	"starlingwinch/internal/testbench/lab"
	"starlingwinch/internal/testbench/lab/loopback"
	"starlingwinch/internal/testbench/standin"
)

// Beginnings of log lines, up to the value of the first field.
const (
	servingLine  = "msg=serving address="
	restoredLine = `msg="snapshot restored"`
	rejectedLine = `msg="snapshot file rejected" detail="`
)

// The marks of state-kill: each start serves, nothing broken is trusted, and the folder holds no growing number of files:
// the lock, two generations, one that was not finished, and at most eight that were set aside.
const (
	stateKills      = 50
	stateKillsLong  = 500
	maxStateFiles   = 12
	stateKillCaches = 500 // known ones, for a file that takes a moment to write
	killWithin      = 150 * time.Millisecond
	serveWithin     = 20 * time.Second
	saysWithin      = 5 * time.Second // that it serves, for all of its log to have come
)

func init() {
	lab.Register(lab.Scenario{Name: "state-kill", Run: stateKill,
		Doc: "the router program killed again and again while it writes its state; --times N"})
}

// killing is a run of state-kill.
type killing struct {
	ctx     context.Context
	program string
	config  string
	file    string // of the kind "state"
	folder  string
	rand    *rand.Rand

	kills, started, trusted int
	inWrite                 int // kills that left a file that was not finished
	damaged, refused        int // files that this run has damaged, and those of them that the log names
	taken                   int // starts that took a state over
	slowest                 time.Duration
	troubles                []string
}

func stateKill(ctx context.Context, o lab.RunOptions) (line string, ok bool, err error) {
	times := o.Times
	if times == 0 {
		if times = stateKills; o.Long {
			times = stateKillsLong
		}
	}
	dir, err := os.MkdirTemp("", "starlingwinch-state-")
	if err != nil {
		return "", false, err
	}
	defer os.RemoveAll(dir)
	k := &killing{ctx: ctx, program: o.Against, config: filepath.Join(dir, "config.json"),
		file: filepath.Join(dir, "state.toml"), folder: filepath.Join(dir, "state"), rand: rand.New(rand.NewPCG(1, 1))}
	if k.program == "" {
		if k.program, err = loopback.Build(dir); err != nil {
			return "", false, err
		}
	}
	if err := k.prepare(); err != nil {
		return "", false, err
	}
	for range times {
		if err := k.life(); err != nil {
			return "", false, err
		}
	}
	files, err := os.ReadDir(k.folder)
	if err != nil {
		return "", false, err
	}
	for _, t := range k.troubles {
		fmt.Fprintln(o.Out, t)
	}
	fmt.Fprintf(o.Out, "%d kills in the middle of a write, %d files damaged besides and %d of them named in the log, "+
		"%d starts with a state, the slowest start %d ms\n", k.inWrite, k.damaged, k.refused, k.taken, k.slowest.Milliseconds())
	ok = k.kills == times && k.started == times && k.trusted == 0 && len(files) <= maxStateFiles &&
		k.refused == k.damaged
	return fmt.Sprintf("kills %d started %d trusted_bad %d files_left %d", k.kills, k.started, k.trusted, len(files)), ok, nil
}

// prepare writes the files that each start reads.
func (k *killing) prepare() error {
	set := standin.DefaultRouterSettings()
	set.Name, set.Listen, set.Discovery = "r-1", "127.0.0.1:0", "127.0.0.1:1"
	known := `{"index":1,"snapshot":true,"endpoints":[`
	for i := range stateKillCaches {
		known += fmt.Sprintf(`{"name":"s-%08x","address":"127.0.0.1:1","zone":"a","type":"m2","group":1,`+
			`"status":"in_service","weight":1.0,"since_ms":0},`, i)
	}
	known = strings.TrimSuffix(known, ",") + "]}"
	config := strings.TrimSpace(string(set.JSON()))
	config = strings.TrimSuffix(config, "}") + `,"known":` + known + "}"
	state := fmt.Sprintf("kind = \"state\"\nfolder = %q\nevery = \"50ms\"\n", k.folder)
	return errors.Join(os.Mkdir(k.folder, 0o700), os.WriteFile(k.config, []byte(config), 0o600),
		os.WriteFile(k.file, []byte(state), 0o600))
}

// life is one process, from its start to its violent end.
func (k *killing) life() error {
	hurt := ""
	if k.kills%3 == 2 {
		hurt = k.damage()
	}
	sound := map[string]bool{}
	for _, row := range snapshotstore.Verify(machine.Files(), k.folder, time.Now().UnixMicro()) {
		if row.InUse && row.Rejected == nil {
			sound[row.Name] = true
		} else if row.InUse && row.Name != hurt {
			k.trouble("kill %d left %s: %v", k.kills, row.Name, row.Rejected)
			k.trusted++
		}
	}
	begin := time.Now()
	cmd := exec.CommandContext(k.ctx, k.program, "run", "--config", k.config, "--operator", k.file)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	lines := make(chan string, 1000)
	go func() {
		defer close(lines)
		for r := bufio.NewScanner(stderr); r.Scan(); {
			select {
			case lines <- r.Text():
			default: // more than a life has to say
			}
		}
	}()
	var wanted []string
	if hurt != "" {
		wanted = append(wanted, rejectedLine+hurt+" is not used: ")
	}
	if len(sound) > 0 {
		wanted = append(wanted, restoredLine)
	}
	log, served := k.served(lines, wanted)
	if served {
		k.started++
		k.slowest = max(k.slowest, time.Since(begin))
	} else {
		k.trouble("start %d does not serve; log: %s", k.kills, strings.Join(log, " | "))
	}
	k.judge(log, hurt, sound)
	k.end(cmd)
	for range lines { // up to the end of the process
	}
	cmd.Wait()
	k.kills++
	if _, err := os.Stat(filepath.Join(k.folder, "state.new")); err == nil {
		k.inWrite++
	}
	return k.ctx.Err()
}

func (k *killing) trouble(format string, args ...any) {
	if len(k.troubles) < 20 {
		k.troubles = append(k.troubles, fmt.Sprintf(format, args...))
	}
}

// served reads the log until the process serves and has said what is wanted, and asks it.
func (k *killing) served(lines <-chan string, wanted []string) (log []string, ok bool) {
	limit := time.After(serveWithin)
	said := func(text string) bool {
		return slices.ContainsFunc(log, func(line string) bool { return strings.Contains(line, text) })
	}
	for !ok || slices.ContainsFunc(wanted, func(text string) bool { return !said(text) }) {
		select {
		case line, more := <-lines:
			if !more {
				return log, false
			}
			log = append(log, line)
			if _, fields, found := strings.Cut(line, servingLine); found {
				addr, _, _ := strings.Cut(fields, " ")
				if ok = pong(addr); !ok {
					return log, false
				}
				limit = time.After(saysWithin)
			}
		case <-limit:
			return log, ok
		}
	}
	return log, ok
}

// pong asks a router PING until it says that it serves.
func pong(addr string) bool {
	for end := time.Now().Add(serveWithin); time.Now().Before(end); time.Sleep(time.Millisecond) {
		c, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			continue
		}
		c.SetDeadline(time.Now().Add(time.Second))
		fmt.Fprint(c, "*1\r\n$4\r\nPING\r\n")
		line, _ := bufio.NewReader(io.LimitReader(c, 100)).ReadString('\n')
		c.Close()
		if line == "+PONG\r\n" {
			return true
		}
	}
	return false
}

// judge holds what a start has said of its state against what was there.
func (k *killing) judge(log []string, hurt string, sound map[string]bool) {
	text := strings.Join(log, "\n")
	taken := strings.Contains(text, restoredLine)
	if taken {
		k.taken++
	}
	if taken && len(sound) == 0 {
		k.trusted++
		k.trouble("start %d takes a state over where none is sound", k.kills)
	}
	if hurt == "" {
		return
	}
	if strings.Contains(text, rejectedLine+hurt+" is not used: ") {
		k.refused++
		return
	}
	k.trusted++
	k.trouble("start %d says nothing of %s, which is damaged; log: %s", k.kills, hurt, strings.Join(log, " | "))
}

// damage cuts or changes the latest file, and gives its name.
func (k *killing) damage() string {
	latest, written := "", int64(0)
	for _, row := range snapshotstore.Verify(machine.Files(), k.folder, time.Now().UnixMicro()) {
		if row.InUse && row.Rejected == nil && row.File.Written > written {
			latest, written = row.Name, row.File.Written
		}
	}
	if latest == "" {
		return ""
	}
	path := filepath.Join(k.folder, latest)
	b, err := os.ReadFile(path)
	if err != nil {
		return ""
	}
	if k.rand.IntN(2) == 0 {
		b = b[:k.rand.IntN(len(b))]
	} else {
		b = slices.Clone(b)
		b[k.rand.IntN(len(b))] ^= 1 << k.rand.IntN(8)
	}
	if os.WriteFile(path, b, 0o600) != nil {
		return ""
	}
	k.damaged++
	return latest
}

// end kills a process: half of the times as soon as a write is seen under way, else at any time; one in ten drains then.
func (k *killing) end(cmd *exec.Cmd) {
	limit := time.Now().Add(killWithin)
	switch n := k.rand.IntN(10); {
	case n < 5:
		fresh := filepath.Join(k.folder, "state.new")
		os.Remove(fresh) // one that was left by the process before
		for time.Now().Before(limit) {
			if _, err := os.Lstat(fresh); err == nil {
				break
			}
		}
	case n == 5:
		cmd.Process.Signal(syscall.SIGTERM)
		time.Sleep(time.Duration(k.rand.Int64N(int64(800 * time.Millisecond))))
	default:
		time.Sleep(time.Duration(k.rand.Int64N(int64(killWithin))))
	}
	cmd.Process.Signal(syscall.SIGKILL)
}
