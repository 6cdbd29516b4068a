package wasm

import (
	"context"
	"encoding/binary"

	"github.com/tetratelabs/wazero"
	"github.com/tetratelabs/wazero/api"

	"starlingwinch/internal/plugin"
)

// The contract in WebAssembly, version 1. A module exports its memory and these functions. The memory, hook_version and
// hook_room are required, and at least one of on_request, on_answered and on_list:
//
//	memory
//	hook_version() -> i32      1
//	hook_room(size i32) -> i32 the address of a buffer of so many bytes, which is valid until the next hook_room
//	on_load() -> i32           any number but 0 is a failure
//	on_request(call i32) -> i32   0 pass, 1 refuse, 2 fail
//	on_answered(call i32) -> i32  0
//	on_list(call i32) -> i32      0
//	on_unload() -> i32            0
//
// call is the address of a record of callSize bytes, little endian, whose offsets stand below. A module may import these
// functions of the module "starlingwinch", which add to the verdict. Texts are addresses and lengths in its memory.
//
//	log(text, length i32)
//	tag(text, length i32)
//	tenant(text, length i32)
//	text(text, length i32)     of a failure
//	wait(ms i32)               of a refusal
//
// A module that imports wasi_snapshot_preview1, as compilers generate them, finds no files, no arguments, a clock that
// is the same at every start, and its output is discarded.
const (
	hostModule = "starlingwinch"
	wasiModule = "wasi_snapshot_preview1"

	exportMemory   = "memory"
	exportVersion  = "hook_version"
	exportAllocate = "hook_room"

	offsetVerb          = 0 // address and length, i32 each, as the four below
	offsetClass         = 8
	offsetTenant        = 16
	offsetKey           = 24
	offsetValue         = 32 // address 0 where the hook does not get it
	offsetSize          = 40 // i32: bytes of the value
	offsetOutcome       = 44 // i32: 0 served, 1 refused, 2 failed
	offsetTimeLeft      = 48 // i64, µs
	offsetTook          = 56 // i64, µs
	offsetNow           = 64 // i64, µs
	offsetCaches        = 72 // i32
	offsetServingCaches = 76 // i32
	callSize            = 80
)

// exports are the names of the functions that a module exports for the points.
var exports = [...]string{
	plugin.Load:        "on_load",
	plugin.OnRequest:   "on_request",
	plugin.Answered:    "on_answered",
	plugin.ListChanged: "on_list",
	plugin.Unload:      "on_unload",
}

// callBytes returns how many bytes a call takes in the memory of a module.
func callBytes(c *plugin.Call) int {
	return callSize + len(c.Verb) + len(c.Class) + len(c.Tenant) + len(c.Key) + len(c.Value)
}

// writeCall writes a call into b, the module's memory from the given address on.
func writeCall(b []byte, address uint32, c *plugin.Call) {
	le := binary.LittleEndian
	end := callSize // of the texts written so far, which follow the record
	place := func(offset, n int) []byte {
		le.PutUint32(b[offset:], address+uint32(end))
		le.PutUint32(b[offset+4:], uint32(n))
		end += n
		return b[end-n : end]
	}
	copy(place(offsetVerb, len(c.Verb)), c.Verb)
	copy(place(offsetClass, len(c.Class)), c.Class)
	copy(place(offsetTenant, len(c.Tenant)), c.Tenant)
	copy(place(offsetKey, len(c.Key)), c.Key)
	copy(place(offsetValue, len(c.Value)), c.Value)
	if c.Value == nil {
		le.PutUint32(b[offsetValue:], 0)
	}
	le.PutUint32(b[offsetSize:], uint32(c.Size))
	le.PutUint32(b[offsetOutcome:], uint32(c.Outcome))
	le.PutUint64(b[offsetTimeLeft:], uint64(c.TimeLeft))
	le.PutUint64(b[offsetTook:], uint64(c.Took))
	le.PutUint64(b[offsetNow:], uint64(c.Now))
	le.PutUint32(b[offsetCaches:], uint32(c.Caches))
	le.PutUint32(b[offsetServingCaches:], uint32(c.ServingCaches))
}

// exportHostFunctions provides the functions that a module may import. A wrong use ends the call: the panic's value is its
// error.
func (h *hook) exportHostFunctions(ctx context.Context, rt wazero.Runtime) error {
	d := &h.draft
	textParameters := []api.ValueType{api.ValueTypeI32, api.ValueTypeI32}
	build := rt.NewHostModuleBuilder(hostModule)
	for _, f := range []struct {
		name string
		take func(string) error
	}{
		{"log", func(s string) error { d.Log(s); return nil }},
		{"tag", d.AddTag},
		{"tenant", d.SetTenant},
		{"text", d.SetText},
	} {
		build.NewFunctionBuilder().WithGoModuleFunction(textFunction(f.take), textParameters, nil).Export(f.name)
	}
	wait := api.GoFunc(func(_ context.Context, stack []uint64) {
		if err := d.SetRetryAfter(plugin.Time(int32(stack[0])) * 1000); err != nil {
			panic(err)
		}
	})
	build.NewFunctionBuilder().WithGoFunction(wait, []api.ValueType{api.ValueTypeI32}, nil).Export("wait")
	_, err := build.Instantiate(ctx)
	return err
}

// textFunction returns a host function that takes a text of the module's memory, truncated to just beyond the longest valid
// text before it is copied.
func textFunction(take func(string) error) api.GoModuleFunc {
	return func(_ context.Context, m api.Module, stack []uint64) {
		memory := m.Memory()
		if memory == nil { // a start function of a module without a memory calls it
			panic(&plugin.Failure{Kind: plugin.Crashed, Text: "a word without a memory"})
		}
		address, length := uint32(stack[0]), uint32(stack[1])
		if uint64(address)+uint64(length) > uint64(memory.Size()) {
			panic(&plugin.Failure{Kind: plugin.Crashed, Text: "a text that lies outside of its memory"})
		}
		text, _ := memory.Read(address, min(length, plugin.MaxLogLine+1))
		if err := take(string(text)); err != nil {
			panic(err)
		}
	}
}
