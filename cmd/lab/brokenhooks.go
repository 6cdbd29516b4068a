package main

import (
	"fmt"
	"os"
	"path/filepath"

	"starlingwinch/internal/plugin/wasmfile"
)

// brokenHook is a hook that is broken on purpose.
type brokenHook struct {
	name, ending string
	code         func(always bool) []byte
}

// brokenHooks are those of broken-hook. Each strikes always, or where a key ends with 00, which is one in a hundred.
func brokenHooks() []brokenHook {
	return []brokenHook{
		starlark("loop", "for i in range(1 << 40):\n            pass"),
		starlark("built-in", "sorted(range(1 << 19))"),
		starlark("crash", "[][1]"),
		starlark("memory", "s = \"x\"\n        for i in range(40):\n            s += s"),
		starlark("no-verdict", "return 7"),
		starlark("line", "log(\"x\" * (1 << 20))"),
		webAssembly("loop", wasmfile.Loop(wasmfile.Br(0))),
		webAssembly("recursion", wasmfile.LocalGet(0), wasmfile.Call(atItself), wasmfile.Drop),
		webAssembly("crash", wasmfile.Unreachable),
		webAssembly("memory",
			wasmfile.Loop(wasmfile.I32Const(1), wasmfile.MemoryGrow, wasmfile.Drop, wasmfile.Br(0))),
		webAssembly("no-verdict", wasmfile.I32Const(7), wasmfile.Return),
		webAssembly("line", wasmfile.I32Const(0), wasmfile.I32Const(1<<20), wasmfile.Call(0)),
	}
}

func starlark(name, strike string) brokenHook {
	return brokenHook{name, ".star", func(always bool) []byte {
		when := "r.key.endswith(\"00\")"
		if always {
			when = "True"
		}
		return fmt.Appendf(nil, "version = 1\n\ndef on_request(r):\n    if %s:\n        %s\n", when, strike)
	}}
}

// What a module here is made of.
const (
	atItself = 3 // on_request's number: behind the word log, hook_version and hook_room
	room     = 8192
	keyAt    = 24 // in a call: where its key is, and how long it is
	keySize  = 28
)

func webAssembly(name string, strike ...wasmfile.Code) brokenHook {
	return brokenHook{name, ".wasm", func(always bool) []byte {
		m := &wasmfile.Module{Pages: 20} // with room for a line of a megabyte
		m.Import("starlingwinch", "log", 2, 0)
		m.Func("hook_version", 0, 1, 0, wasmfile.I32Const(1))
		m.Func("hook_room", 1, 1, 0, wasmfile.I32Const(room))
		ends := func(then ...wasmfile.Code) wasmfile.Code { // the last two bytes of the key are 00
			last := wasmfile.Concat(wasmfile.LocalGet(0), wasmfile.I32Load(keyAt), wasmfile.LocalGet(0),
				wasmfile.I32Load(keySize), wasmfile.I32Add, wasmfile.I32Const(1), wasmfile.I32Sub)
			before := wasmfile.Concat(last, wasmfile.I32Const(1), wasmfile.I32Sub)
			return wasmfile.Concat(last, wasmfile.I32Load8U(0), wasmfile.I32Const('0'), wasmfile.I32Eq,
				wasmfile.If(before, wasmfile.I32Load8U(0), wasmfile.I32Const('0'), wasmfile.I32Eq, wasmfile.If(then...)))
		}
		if always {
			ends = wasmfile.Concat
		}
		m.Func("on_request", 1, 1, 0, ends(strike...), wasmfile.I32Const(0))
		return m.Bytes()
	}}
}

// deploy writes the hook and the operators' file that switches it on for a class, and returns the file's path.
func (b brokenHook) deploy(dir, class, onFailure string, always bool) (string, error) {
	name := "broken" + b.ending
	if err := os.WriteFile(filepath.Join(dir, name), b.code(always), 0o600); err != nil {
		return "", err
	}
	path := filepath.Join(dir, "hooks.toml")
	text := fmt.Sprintf("kind = \"hooks\"\nfolder = %q\n\n[[hook]]\nfile = %q\nclasses = [%q]\non_failure = %q\n",
		dir, name, class, onFailure)
	return path, os.WriteFile(path, []byte(text), 0o600)
}
