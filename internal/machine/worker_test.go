package machine_test

import (
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/machine/machinetest"
)

func init() {
	machine.RunNamedWorker = func(args []string) bool {
		if len(args) != 3 || args[1] != machinetest.WorkerWord {
			return false
		}
		switch args[2] {
		case "pid":
			os.Stdin.WriteString(strconv.Itoa(os.Getpid()) + "\n" + strings.Join(os.Environ(), " ") + "\n")
			select {}
		case "spin":
			for spins := 0; ; spins++ {
			}
		}
		machinetest.PlayWorker(args[2], os.Stdin)
		return true
	}
}

// recorder is a Handler that records all received bytes and the error that ended the reading.
type recorder struct {
	c   machine.Conn
	got []byte
	err error
}

func (rec *recorder) Writable() {}
func (rec *recorder) Readable() {
	var b [256]byte
	for rec.err == nil {
		n, err := rec.c.Read(b[:])
		rec.got = append(rec.got, b[:n]...)
		if err == machine.ErrWait {
			return
		}
		rec.err = err
	}
}

// spawn starts a worker and returns the handler of its connection with the process.
func spawn(m *machine.Real, w machine.Worker) (*recorder, machine.Process) {
	rec := &recorder{}
	return rec, m.Spawn(w, func(c machine.Conn, err error) machine.Handler {
		rec.c, rec.err = c, err
		return rec
	})
}

func newMachine(t *testing.T, o machine.Options) *machine.Real {
	t.Helper()
	o.Log = io.Discard
	m, err := machine.New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Stop)
	return m
}

func TestKilledWorkerLeavesNothing(t *testing.T) {
	m := newMachine(t, machine.Options{})
	rec, p := spawn(m, machine.Worker{Args: []string{machinetest.WorkerWord, "pid"}, Env: []string{"HOOK=1"}})
	if !runUntil(m, func() bool { return strings.Count(string(rec.got), "\n") == 2 }) {
		t.Fatalf("got %q and error %v from the worker, want two lines", rec.got, rec.err)
	}
	lines := strings.Split(string(rec.got), "\n")
	if lines[1] != "HOOK=1" {
		t.Errorf("worker environment: got %q, want \"HOOK=1\"", lines[1])
	}
	if m.CountedDescriptors() != 2 {
		t.Errorf("got %d counted descriptors, want 2", m.CountedDescriptors())
	}
	p.Kill()
	if !runUntil(m, func() bool { return m.CountedDescriptors() == 0 }) {
		t.Fatalf("got %d counted descriptors after the worker was killed, want 0", m.CountedDescriptors())
	}
	if _, err := os.Stat("/proc/" + lines[0]); !os.IsNotExist(err) {
		t.Errorf("worker process %s still exists: %v", lines[0], err)
	}
}

func TestSpinningWorkerIsKilledWithMachine(t *testing.T) {
	m := newMachine(t, machine.Options{})
	rec, _ := spawn(m, machine.Worker{Args: []string{machinetest.WorkerWord, "spin"}})
	if !runUntil(m, func() bool { return rec.c != nil }) {
		t.Fatal("the worker did not start")
	}
	m.Post(m.Stop)
	m.Run() // Run kills the worker and closes all descriptors when it ends
}

func TestSpawnNeedsDescriptors(t *testing.T) {
	m := newMachine(t, machine.Options{Descriptors: 1})
	rec, _ := spawn(m, machine.Worker{Args: []string{machinetest.WorkerWord, "echo"}})
	if !runUntil(m, func() bool { return rec.err != nil }) || rec.err != machine.ErrDescriptors {
		t.Fatalf("got error %v, want ErrDescriptors", rec.err)
	}
}

func TestInProcessWorkerHasGoroutineAndConnection(t *testing.T) {
	m := newMachine(t, machine.Options{})
	ended := make(chan bool, 1)
	rec, p := spawn(m, machine.Worker{RunInProcess: func(c io.ReadWriteCloser) {
		defer c.Close()
		c.Write([]byte("here"))
		io.Copy(io.Discard, c)
		ended <- true
	}})
	if !runUntil(m, func() bool { return string(rec.got) == "here" }) {
		t.Fatalf("got %q and error %v, want \"here\"", rec.got, rec.err)
	}
	p.Kill()
	<-ended
	if m.CountedDescriptors() != 0 {
		t.Errorf("got %d counted descriptors, want 0", m.CountedDescriptors())
	}
}

// TestOrphanIsKilled guards against a worker that survives its parent: a child process starts a machine with a worker that
// never ends, the test kills the child, and the worker must end too.
func TestOrphanIsKilled(t *testing.T) {
	if os.Getenv("MACHINE_PARENT") != "" {
		m := newMachine(t, machine.Options{})
		rec, _ := spawn(m, machine.Worker{Args: []string{machinetest.WorkerWord, "pid"}})
		runUntil(m, func() bool { return strings.Contains(string(rec.got), "\n") })
		os.Stdout.WriteString("\npid " + string(rec.got))
		select {}
	}
	cmd := exec.Command(os.Args[0], "-test.run=^TestOrphanIsKilled$")
	cmd.Env = append(os.Environ(), "MACHINE_PARENT=1")
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	var output []byte
	b := make([]byte, 512)
	for !strings.Contains(string(output), "pid ") || !strings.HasSuffix(string(output), "\n") {
		n, err := out.Read(b)
		if err != nil {
			t.Fatalf("reading the child's output: %v after %q", err, output)
		}
		output = append(output, b[:n]...)
	}
	_, rest, _ := strings.Cut(string(output), "pid ")
	pid, _, _ := strings.Cut(rest, "\n")
	cmd.Process.Kill()
	cmd.Wait()
	m := newMachine(t, machine.Options{})
	gone := func() bool {
		stat, err := os.ReadFile("/proc/" + pid + "/stat")
		return err != nil || strings.Contains(string(stat), ") Z ") // a zombie counts as ended, because no process here reaps it
	}
	var keepTurning func()
	keepTurning = func() { m.At(m.Now()+5_000, keepTurning) }
	keepTurning()
	if !runUntil(m, gone) {
		t.Errorf("worker %s still runs after its parent was killed", pid)
	}
}
