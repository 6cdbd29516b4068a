package machine_test

import (
	"io"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/machine/machinetest"
)

func TestRealMachineContract(t *testing.T) {
	testContract(t, machinetest.ByCommand, machine.RealKernel, false)
}

func TestInProcessWorkersContract(t *testing.T) {
	testContract(t, func(which string) machine.Worker {
		return machine.Worker{RunInProcess: func(c io.ReadWriteCloser) {
			defer c.Close()
			machinetest.PlayWorker(which, c)
		}}
	}, machine.RealKernel, false)
}

func testContract(t *testing.T, worker func(string) machine.Worker, kernel func() machine.Kernel, partialTransfers bool) {
	unresponsive := machine.FullBacklogAddress(t)
	machinetest.Run(t, func(t *testing.T) machinetest.Rig {
		k := kernel()
		m, err := machine.New(machine.Options{Log: io.Discard, Kernel: &k})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(m.Stop)
		folder := filepath.Join(t.TempDir(), "folder")
		if err := os.Mkdir(folder, 0o700); err != nil {
			t.Fatal(err)
		}
		return machinetest.Rig{
			Worker:   worker,
			A:        m,
			B:        m,
			IPA:      "127.0.0.1",
			IPB:      "127.0.0.1",
			RunUntil: func(until func() bool) bool { return runUntil(m, until) },
			PutFile: func(content []byte) string {
				name := filepath.Join(t.TempDir(), "file")
				if err := os.WriteFile(name, content, 0o600); err != nil {
					t.Fatal(err)
				}
				return name
			},
			Folder: folder,
			PutLink: func(name string) {
				if err := os.Symlink("/etc/passwd", name); err != nil {
					t.Fatal(err)
				}
			},
			RemoveFolder: func() { os.RemoveAll(folder) },
			Signal: func(s machine.Signal) {
				sig := syscall.SIGTERM
				if s == machine.HangUp {
					sig = syscall.SIGHUP
				}
				if err := syscall.Kill(syscall.Getpid(), sig); err != nil {
					t.Fatal(err)
				}
			},
			TakesLess: partialTransfers,
			Nowhere:   unresponsive,
		}
	})
}

// runUntil runs turns until the condition holds and reports whether it held within 20 s.
func runUntil(m *machine.Real, until func() bool) bool {
	late := false
	limit := m.At(m.Now()+20_000_000, func() { late = true })
	defer limit.Stop()
	for !until() {
		if late || !m.Turn() {
			return false
		}
	}
	return true
}
