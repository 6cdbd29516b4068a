package wasm

import (
	"context"
	"encoding/binary"

	"github.com/tetratelabs/wazero"
	"github.com/tetratelabs/wazero/api"

	"starlingwinch/internal/plugin"
)

// The binary interface of WebAssembly modules, version 1 of the contract. A module exports its memory and the functions below.
// The memory, hook_version, hook_room and at least one of on_request, on_answered and on_list are required:
//
//	memory
//	hook_version() -> i32      1
//	hook_room(size i32) -> i32 the address of a buffer of size bytes, valid until the next call of hook_room
//	on_load() -> i32           0; any other number is a failure
//	on_request(call i32) -> i32   0 pass, 1 refuse, 2 fail
//	on_answered(call i32) -> i32  0
//	on_list(call i32) -> i32      0
//	on_unload() -> i32            0
//
// call is the address of a little-endian record of callSize bytes, whose offsets are the constants below. A module may import
// these functions of the module "starlingwinch", which add to the verdict. A text is passed as its address and length in the
// module's memory.
//
//	log(text, length i32)
//	tag(text, length i32)
//	tenant(text, length i32)
//	text(text, length i32)     the text of a failure
//	wait(ms i32)               the delay of a refusal
//
// Compilers generate modules that import wasi_snapshot_preview1. Such a module sees no files, no arguments and a clock with the
// same value at every start, and its output is discarded.
const (
	hostModule = "starlingwinch"
	wasiModule = "wasi_snapshot_preview1"

	exportMemory   = "memory"
	exportVersion  = "hook_version"
	exportAllocate = "hook_room"

	offsetVerb          = 0 // address and length, i32 each; the next four fields have the same layout
	offsetClass         = 8
	offsetTenant        = 16
	offsetKey           = 24
	offsetValue         = 32 // address 0 where the value is not passed to the hook
	offsetSize          = 40 // i32: bytes of the value
	offsetOutcome       = 44 // i32: 0 served, 1 refused, 2 failed
	offsetTimeLeft      = 48 // i64, µs
	offsetTook          = 56 // i64, µs
	offsetNow           = 64 // i64, µs
	offsetCaches        = 72 // i32
	offsetServingCaches = 76 // i32
	callSize            = 80
)

// exports are the names of the exported functions by point.
var exports = [...]string{
	plugin.Load:        "on_load",
	plugin.OnRequest:   "on_request",
	plugin.Answered:    "on_answered",
	plugin.ListChanged: "on_list",
	plugin.Unload:      "on_unload",
}

// callBytes returns the size of an encoded call in a module's memory.
func callBytes(c *plugin.Call) int {
	return callSize + len(c.Verb) + len(c.Class) + len(c.Tenant) + len(c.Key) + len(c.Value)
}

// writeCall encodes a call into b, which is the module's memory at the given address.
func writeCall(b []byte, address uint32, c *plugin.Call) {
	le := binary.LittleEndian
	end := callSize // the offset after the texts written so far, which follow the record
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

// exportHostFunctions defines the functions that a module may import. Invalid arguments end the call with a panic whose value
// is the error of the call.
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

// textFunction returns a host function that reads a text from the module's memory and passes it to take. The text is truncated
// to one byte more than the longest valid text before it is copied.
func textFunction(take func(string) error) api.GoModuleFunc {
	return func(_ context.Context, m api.Module, stack []uint64) {
		memory := m.Memory()
		if memory == nil { // called by a start function of a module without a memory
			panic(&plugin.Failure{Kind: plugin.Crashed, Text: "a call of a host function by a module without a memory"})
		}
		address, length := uint32(stack[0]), uint32(stack[1])
		if uint64(address)+uint64(length) > uint64(memory.Size()) {
			panic(&plugin.Failure{Kind: plugin.Crashed, Text: "a text outside of its memory"})
		}
		text, _ := memory.Read(address, min(length, plugin.MaxLogLine+1))
		if err := take(string(text)); err != nil {
			panic(err)
		}
	}
}
