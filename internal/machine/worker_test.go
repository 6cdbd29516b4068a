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
	machine.PlayWorker = func(args []string) bool {
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

// talk is a handler that keeps what comes.
type talk struct {
	c   machine.Conn
	got []byte
	err error
}

func (k *talk) Writable() {}
func (k *talk) Readable() {
	var b [256]byte
	for k.err == nil {
		n, err := k.c.Read(b[:])
		k.got = append(k.got, b[:n]...)
		if err == machine.ErrWait {
			return
		}
		k.err = err
	}
}

func spawn(m *machine.Real, w machine.Worker) (*talk, machine.Process) {
	k := &talk{}
	return k, m.Spawn(w, func(c machine.Conn, err error) machine.Handler {
		k.c, k.err = c, err
		return k
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
	k, p := spawn(m, machine.Worker{Args: []string{machinetest.WorkerWord, "pid"}, Env: []string{"HOOK=1"}})
	if !runUntil(m, func() bool { return strings.Count(string(k.got), "\n") == 2 }) {
		t.Fatalf("the worker said %q, %v", k.got, k.err)
	}
	lines := strings.Split(string(k.got), "\n")
	if lines[1] != "HOOK=1" {
		t.Errorf("its environment is %q", lines[1])
	}
	if m.Held() != 2 {
		t.Errorf("%d descriptors are counted", m.Held())
	}
	p.Kill()
	if !runUntil(m, func() bool { return m.Held() == 0 }) {
		t.Fatalf("%d descriptors are counted after its end", m.Held())
	}
	if _, err := os.Stat("/proc/" + lines[0]); !os.IsNotExist(err) {
		t.Errorf("process %s is still there: %v", lines[0], err)
	}
}

func TestSpinningWorkerIsKilledWithMachine(t *testing.T) {
	m := newMachine(t, machine.Options{})
	k, _ := spawn(m, machine.Worker{Args: []string{machinetest.WorkerWord, "spin"}})
	if !runUntil(m, func() bool { return k.c != nil }) {
		t.Fatal("no worker")
	}
	m.Post(m.Stop)
	m.Run() // which closes all
}

func TestSpawnNeedsDescriptors(t *testing.T) {
	m := newMachine(t, machine.Options{Descriptors: 1})
	k, _ := spawn(m, machine.Worker{Args: []string{machinetest.WorkerWord, "echo"}})
	if !runUntil(m, func() bool { return k.err != nil }) || k.err != machine.ErrDescriptors {
		t.Fatalf("got %v", k.err)
	}
}

func TestInProcessWorkerHasGoroutineAndConnection(t *testing.T) {
	m := newMachine(t, machine.Options{})
	ended := make(chan bool, 1)
	k, p := spawn(m, machine.Worker{Inside: func(c io.ReadWriteCloser) {
		defer c.Close()
		c.Write([]byte("here"))
		io.Copy(io.Discard, c)
		ended <- true
	}})
	if !runUntil(m, func() bool { return string(k.got) == "here" }) {
		t.Fatalf("got %q, %v", k.got, k.err)
	}
	p.Kill()
	<-ended
	if m.Held() != 0 {
		t.Errorf("%d descriptors are counted", m.Held())
	}
}

// TestOrphanIsKilled starts a machine in a process of its own, which starts a worker that spins, and kills it.
func TestOrphanIsKilled(t *testing.T) {
	if os.Getenv("MACHINE_PARENT") != "" {
		m := newMachine(t, machine.Options{})
		k, _ := spawn(m, machine.Worker{Args: []string{machinetest.WorkerWord, "pid"}})
		runUntil(m, func() bool { return strings.Contains(string(k.got), "\n") })
		os.Stdout.WriteString("\npid " + string(k.got))
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
	var said []byte
	b := make([]byte, 512)
	for !strings.Contains(string(said), "pid ") || !strings.HasSuffix(string(said), "\n") {
		n, err := out.Read(b)
		if err != nil {
			t.Fatalf("%v after %q", err, said)
		}
		said = append(said, b[:n]...)
	}
	_, rest, _ := strings.Cut(string(said), "pid ")
	pid, _, _ := strings.Cut(rest, "\n")
	cmd.Process.Kill()
	cmd.Wait()
	m := newMachine(t, machine.Options{})
	gone := func() bool {
		stat, err := os.ReadFile("/proc/" + pid + "/stat")
		return err != nil || strings.Contains(string(stat), ") Z ") // nobody here waits for it
	}
	var look func()
	look = func() { m.At(m.Now()+5_000, look) }
	look()
	if !runUntil(m, gone) {
		t.Errorf("worker %s outlives its parent", pid)
	}
}
