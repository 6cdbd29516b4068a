package sim

import (
	"testing"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/machine/machinetest"
)

func TestMachineContract(t *testing.T) {
	for _, ties := range []bool{false, true} {
		for seed := range uint64(5) {
			machinetest.Run(t, func(t *testing.T) machinetest.Rig { return rig(seed, ties, FailingCalls{}) })
		}
	}
}

func TestMachineContractUnderFailingCalls(t *testing.T) {
	for _, f := range []FailingCalls{{ShortReads: 0.3, MaxShortRead: 200}, {ShortReads: 1, MaxShortRead: 1}, {Dials: 0.5}} {
		for seed := range uint64(5) {
			machinetest.Run(t, func(t *testing.T) machinetest.Rig { return rig(seed, false, f) })
		}
	}
}

func rig(seed uint64, ties bool, f FailingCalls) machinetest.Rig {
	w := New(seed)
	w.ShuffleTies = ties
	a := w.Host("a", "10.0.0.1", HostOptions{Zone: "a"})
	b := w.Host("b", "10.0.0.2", HostOptions{Zone: "b"})
	a.Worker = machinetest.VirtualWorker
	a.FailCalls(f)
	b.FailCalls(f)
	a.MakeFolder("/folder")
	return machinetest.Rig{
		Worker: machinetest.ByCommand,
		A:      a.Machine(), B: b.Machine(),
		IPA: "10.0.0.1", IPB: "10.0.0.2",
		RunUntil: func(until func() bool) bool { return w.RunUntil(w.Now()+100*Second, until) },
		PutFile: func(content []byte) string {
			a.PutFile("file", content)
			return "file"
		},
		Folder: "/folder", PutLink: a.PutOdd, RemoveFolder: func() { a.RemoveFolder("/folder") },
		Signal:  func(s machine.Signal) { a.Signal(s) },
		Nowhere: "10.9.9.9:1",
	}
}
