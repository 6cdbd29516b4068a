package wasm

import (
	"context"
	"encoding/binary"

	"github.com/tetratelabs/wazero"
	"github.com/tetratelabs/wazero/api"

	"starlingwinch/internal/plugin"
)

// The contract in WebAssembly, version 1. A module exports its memory and these functions; all but the points are
// needed, and of the points at least one:
//
//	memory
//	hook_version() -> i32      1
//	hook_room(size i32) -> i32 where so many bytes may be written, from now on until it is asked for more
//	on_load() -> i32           any number but 0 is a failure
//	on_request(call i32) -> i32   0 pass, 1 refuse, 2 fail
//	on_answered(call i32) -> i32  0
//	on_list(call i32) -> i32      0
//	on_unload() -> i32            0
//
// call is the address of callSize bytes, little endian, below. It may import, from the module "starlingwinch",
// what words a verdict: addresses and lengths of texts in its memory.
//
//	log(text, length i32)
//	tag(text, length i32)
//	tenant(text, length i32)
//	text(text, length i32)     of a failure
//	wait(ms i32)               of a refusal
//
// A module that imports wasi_snapshot_preview1, as compilers make them, finds no files, no arguments, a clock that
// is the same at every start, and nobody who reads what it prints.
const (
	hostModule = "starlingwinch"
	wasiModule = "wasi_snapshot_preview1"

	exportMemory   = "memory"
	exportVersion  = "hook_version"
	exportAllocate = "hook_room"

	atVerb     = 0 // address and length, i32 each, as those below
	atClass    = 8
	atTenant   = 16
	atKey      = 24
	atValue    = 32 // address 0 where the hook has not asked for it
	atSize     = 40 // i32: bytes of the value
	atOutcome  = 44 // i32: 0 served, 1 refused, 2 failed
	atTimeLeft = 48 // i64, µs
	atTook     = 56 // i64, µs
	atNow      = 64 // i64, µs
	atCaches   = 72 // i32
	atTakeWork = 76 // i32
	callSize   = 80
)

// exports are the functions of the points.
var exports = [...]string{
	plugin.Load:        "on_load",
	plugin.OnRequest:   "on_request",
	plugin.Answered:    "on_answered",
	plugin.ListChanged: "on_list",
	plugin.Unload:      "on_unload",
}

// callBytes is how many bytes a call takes in the memory of a module.
func callBytes(c *plugin.Call) int {
	return callSize + len(c.Verb) + len(c.Class) + len(c.Tenant) + len(c.Key) + len(c.Value)
}

// writeCall puts a call into b, which stands at the address at.
func writeCall(b []byte, at uint32, c *plugin.Call) {
	le := binary.LittleEndian
	end := callSize
	place := func(field, n int) []byte {
		le.PutUint32(b[field:], at+uint32(end))
		le.PutUint32(b[field+4:], uint32(n))
		end += n
		return b[end-n : end]
	}
	copy(place(atVerb, len(c.Verb)), c.Verb)
	copy(place(atClass, len(c.Class)), c.Class)
	copy(place(atTenant, len(c.Tenant)), c.Tenant)
	copy(place(atKey, len(c.Key)), c.Key)
	copy(place(atValue, len(c.Value)), c.Value)
	if c.Value == nil {
		le.PutUint32(b[atValue:], 0)
	}
	le.PutUint32(b[atSize:], uint32(c.Size))
	le.PutUint32(b[atOutcome:], uint32(c.Outcome))
	le.PutUint64(b[atTimeLeft:], uint64(c.TimeLeft))
	le.PutUint64(b[atTook:], uint64(c.Took))
	le.PutUint64(b[atNow:], uint64(c.Now))
	le.PutUint32(b[atCaches:], uint32(c.Caches))
	le.PutUint32(b[atTakeWork:], uint32(c.ServingCaches))
}

// exportHostFunctions are the functions that a module may import. A wrong use ends the call: the panic's value is its error.
func (h *hook) exportHostFunctions(ctx context.Context, rt wazero.Runtime) error {
	// Longer texts than the longest that counts are cut before they are copied out.
	word := func(take func(string) error) api.GoModuleFunc {
		return func(_ context.Context, m api.Module, stack []uint64) {
			mem := m.Memory()
			if mem == nil { // a word from a start function, before there is a memory
				panic(&plugin.Failure{Kind: plugin.Crashed, Text: "a word without a memory"})
			}
			at, n := uint32(stack[0]), uint32(stack[1])
			if uint64(at)+uint64(n) > uint64(mem.Size()) {
				panic(&plugin.Failure{Kind: plugin.Crashed, Text: "a text that lies outside of its memory"})
			}
			b, _ := mem.Read(at, min(n, plugin.MaxLogLine+1))
			if err := take(string(b)); err != nil {
				panic(err)
			}
		}
	}
	d := &h.draft
	texts := []api.ValueType{api.ValueTypeI32, api.ValueTypeI32}
	build := rt.NewHostModuleBuilder(hostModule)
	for _, w := range []struct {
		name string
		take func(string) error
	}{
		{"log", func(s string) error { d.Log(s); return nil }},
		{"tag", d.AddTag},
		{"tenant", d.SetTenant},
		{"text", d.SetText},
	} {
		build.NewFunctionBuilder().WithGoModuleFunction(word(w.take), texts, nil).Export(w.name)
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
