package machine_test

import (
	"io"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/machine/machinetest"
)

// TestMachineKeepsItsContract: the same suite holds for the virtual machine. The test goroutine takes the loop's
// place and goes turn by turn, as the suite looks at its conditions between turns.
func TestMachineKeepsItsContract(t *testing.T) {
	full := machine.FullAddress(t)
	machinetest.Run(t, func(t *testing.T) machinetest.Rig {
		m, err := machine.New(machine.Options{Log: io.Discard})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(m.Stop)
		return machinetest.Rig{
			A: m, B: m,
			IPA: "127.0.0.1", IPB: "127.0.0.1",
			RunUntil: func(until func() bool) bool { return runUntil(m, until) },
			PutFile: func(content []byte) string {
				name := filepath.Join(t.TempDir(), "file")
				if err := os.WriteFile(name, content, 0o600); err != nil {
					t.Fatal(err)
				}
				return name
			},
			Signal: func(s machine.Signal) {
				if err := syscall.Kill(os.Getpid(), numbers[s]); err != nil {
					t.Fatal(err)
				}
			},
			Nowhere: full,
		}
	})
}

var numbers = map[machine.Signal]syscall.Signal{machine.Terminate: syscall.SIGTERM, machine.HangUp: syscall.SIGHUP}

func runUntil(m *machine.Real, until func() bool) bool {
	// It decides no verdict of a sound machine.
	const patience = 20 * time.Second
	for end := time.Now().Add(patience); !until(); m.Step() {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}
