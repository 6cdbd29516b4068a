package wasm

import (
	"strings"
	"testing"

	"starlingwinch/internal/plugin"
	"starlingwinch/internal/plugin/plugintest"
	. "starlingwinch/internal/plugin/wasmfile"
)

// Indices of the host functions that each test module imports.
const (
	hostLog = iota
	hostTag
	hostTenant
	hostText
	hostWait
)

// Addresses of texts, and of the call buffer, in the memory of each test module.
const (
	atNoSuchCall  = 1024
	atClub        = 1040
	atGuests      = 1048
	atSeen        = 1056
	atBefore      = 1064
	atList        = 1072
	atSpaced      = 1080
	atXs          = 2048 // 128 times x
	bufferAddress = 8192
)

// module returns a module with everything that a hook needs except for the points.
func module(version int32) *Module {
	m := &Module{Pages: 2}
	for _, name := range []string{"log", "tag", "tenant", "text"} {
		m.Import("starlingwinch", name, 2, 0)
	}
	m.Import("starlingwinch", "wait", 1, 0)
	m.Func("hook_version", 0, 1, 0, I32Const(version))
	m.Func("hook_room", 1, 1, 0, I32Const(bufferAddress))
	m.Data(atNoSuchCall, []byte("no such call"))
	m.Data(atClub, []byte("club"))
	m.Data(atGuests, []byte("guests"))
	m.Data(atSeen, []byte("seen"))
	m.Data(atBefore, []byte("before"))
	m.Data(atList, []byte("list"))
	m.Data(atSpaced, []byte("a b"))
	m.Data(atXs, []byte(strings.Repeat("x", 128)))
	return m
}

// on returns a module with one point that has a call as parameter.
func on(point string, locals uint32, body ...Code) []byte {
	m := module(1)
	m.Func(point, 1, 1, locals, body...)
	return m.Bytes()
}

var (
	pass    = I32Const(0)
	call    = LocalGet(0)
	forever = Loop(Br(0))
)

// callWithText calls a host function with a text in memory.
func callWithText(function uint32, at, n int32) Code {
	return Concat(I32Const(at), I32Const(n), Call(function))
}

// callWithField calls a host function with a text field of the call.
func callWithField(function, at uint32) Code {
	return Concat(call, I32Load(at), call, I32Load(at+4), Call(function))
}

// ifKeyBegins executes then if the key begins with c.
func ifKeyBegins(c byte, then ...Code) Code {
	return Concat(call, I32Load(offsetKey+4), If(call, I32Load(offsetKey), I32Load8U(0), I32Const(int32(c)), I32Eq, If(then...)))
}

func returnNumber(n int32) Code { return Concat(I32Const(n), Return) }

// withPoint returns a module with on_request and another point without parameters.
func withPoint(name string, body ...Code) []byte {
	m := module(1)
	m.Func("on_request", 1, 1, 0, pass)
	m.Func(name, 0, 1, 0, body...)
	return m.Bytes()
}

func hooks() map[string][]byte {
	notifications := module(1)
	letter := Concat(
		I32Const(bufferAddress+4096), I32Const('s'), I32Store8(0), call, I32Load(offsetOutcome), I32Const(1), I32Eq,
		If(I32Const(bufferAddress+4096), I32Const('r'), I32Store8(0)), call, I32Load(offsetOutcome), I32Const(2), I32Eq,
		If(I32Const(bufferAddress+4096), I32Const('f'), I32Store8(0)), callWithText(hostLog, bufferAddress+4096, 1), pass)
	notifications.Func("on_answered", 1, 1, 0, letter)
	notifications.Func("on_list", 1, 1, 0, callWithText(hostLog, atList, 4), pass)
	notifications.Func("on_load", 0, 1, 0, pass)

	recurse := module(1)
	recurse.Func("on_request", 1, 1, 0, call, Call(7))

	noVersion := &Module{Pages: 1}
	noVersion.Func("hook_room", 1, 1, 0, I32Const(bufferAddress))
	noVersion.Func("on_request", 1, 1, 0, pass)

	otherVersion := module(2)
	otherVersion.Func("on_request", 1, 1, 0, pass)

	badSignature := module(1)
	badSignature.Func("on_request", 0, 1, 0, pass)

	unknownFunction := &Module{Pages: 1}
	unknownFunction.Import("starlingwinch", "send", 1, 1)
	unknownFunction.Func("hook_version", 0, 1, 0, I32Const(1))
	unknownFunction.Func("hook_room", 1, 1, 0, I32Const(bufferAddress))
	unknownFunction.Func("on_request", 1, 1, 0, call, Call(0))

	var nineTags Code
	for i := range int32(9) {
		nineTags = Concat(nineTags, callWithText(hostTag, atXs, i+1))
	}
	const counter = 512
	return map[string][]byte{
		"verdicts": on("on_request", 0,
			ifKeyBegins('R', I32Const(250), Call(hostWait), returnNumber(1)),
			ifKeyBegins('F', callWithText(hostText, atNoSuchCall, 12), returnNumber(2)),
			ifKeyBegins('T', callWithText(hostTag, atClub, 4), callWithText(hostTag, atClub, 4), callWithText(hostTenant, atGuests, 6)),
			ifKeyBegins('L', callWithText(hostLog, atSeen, 4)), pass),
		"echo": on("on_request", 0,
			ifKeyBegins('v', callWithField(hostText, offsetVerb), returnNumber(2)),
			ifKeyBegins('c', callWithField(hostText, offsetClass), returnNumber(2)),
			ifKeyBegins('t', callWithField(hostText, offsetTenant), returnNumber(2)),
			ifKeyBegins('k', callWithField(hostText, offsetKey), returnNumber(2)),
			ifKeyBegins('V', call, I32Load(offsetValue), If(callWithField(hostText, offsetValue), returnNumber(2))),
			ifKeyBegins('s', call, I32Load(offsetSize), Call(hostWait), returnNumber(1)), pass),
		"count": on("on_request", 0,
			I32Const(counter), I32Const(counter), I32Load(0), I32Const(1), I32Add, I32Store(0),
			ifKeyBegins('C', Unreachable), I32Const(counter), I32Load(0), Call(hostWait), I32Const(1)),
		"crash":         on("on_request", 0, callWithText(hostTag, atClub, 4), callWithText(hostLog, atBefore, 6), Unreachable),
		"notifications": notifications.Bytes(),
		"loop":          on("on_request", 0, ifKeyBegins('L', forever), pass),

		"recurse":                recurse.Bytes(),
		"allocate":               on("on_request", 0, Loop(I32Const(1), MemoryGrow, Drop, Br(0)), pass),
		"invalid decision":       on("on_request", 0, I32Const(7)),
		"rejecting notification": on("on_answered", 0, I32Const(1)),
		"tagging notification":   on("on_answered", 0, callWithText(hostTag, atClub, 4), pass),
		"long line":              on("on_request", 0, I32Const(31), MemoryGrow, Drop, callWithText(hostLog, atXs, 1<<20), pass),
		"many lines":             on("on_request", 1, Loop(callWithText(hostLog, atSeen, 4), LocalGet(1), I32Const(1), I32Add, LocalTee(1), I32Const(10000), I32LtU, BrIf(0)), pass),
		"long tag":               on("on_request", 0, callWithText(hostTag, atXs, 65), pass),
		"bad tag":                on("on_request", 0, callWithText(hostTag, atSpaced, 3), pass),
		"many tags":              on("on_request", 0, nineTags, pass),
		"long wait":              on("on_request", 0, I32Const(60001), Call(hostWait), I32Const(1)),
		"load crash":             withPoint("on_load", Unreachable),
		"load loop":              withPoint("on_load", forever, Unreachable),
		"unload crash":           withPoint("on_unload", Unreachable),
		"answered crash":         on("on_answered", 0, Unreachable),
		"other version":          otherVersion.Bytes(),
		"no point":               module(1).Bytes(),
		"no version":             noVersion.Bytes(),
		"bad signature":          badSignature.Bytes(),
		"unknown function":       unknownFunction.Bytes(),
	}
}

func TestWasmEngineMeetsContract(t *testing.T) { plugintest.Run(t, Engine{}, hooks()) }

func TestOversizedModulesAreRejectedBeforeCompilation(t *testing.T) {
	with := func(change func(*Module)) []byte {
		m := module(1)
		m.Func("on_request", 1, 1, 0, pass)
		change(m)
		return m.Bytes()
	}
	for want, code := range map[string][]byte{ // any order
		"a table of 10000000 entries (wanted at most 65536)":                   with(func(m *Module) { m.Table = 10_000_000 }),
		"it asks for 65536 KiB of memory (its budget is 16384":                 with(func(m *Module) { m.Pages = 1024 }),
		"function 3 has more than 4096 locals":                                 with(func(m *Module) { m.Func("", 0, 0, 50_000) }),
		"a file of 8388609 bytes (wanted at most 8388608)":                     make([]byte, plugin.MaxCode+1),
		"not a WebAssembly module of version 1":                                []byte("\x00asm\x0d\x00\x01\x00"),
		"section 1 is cut off":                                                 []byte("\x00asm\x01\x00\x00\x00\x01\x7f"),
		"a number is too large":                                                []byte("\x00asm\x01\x00\x00\x00\x01\xff\xff\xff\xff\xff\x01"),
		"unknown section 99":                                                   []byte("\x00asm\x01\x00\x00\x00\x63\x00"),
		"4294967295 functions (wanted at most 65536)":                          []byte("\x00asm\x01\x00\x00\x00\x03\x05\xff\xff\xff\xff\x0f"),
		"it imports \"fd_open\" of \"env\", which the router does not provide": with(func(m *Module) {}),
	} {
		if strings.HasPrefix(want, "it imports") {
			m := &Module{Pages: 1}
			m.Import("env", "fd_open", 1, 1)
			code = m.Bytes()
		}
		_, err := Engine{}.Load("x", code, plugin.DefaultBudget)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want %s", err, want)
		}
	}
}

func TestBufferOutsideMemoryFailsCall(t *testing.T) {
	for _, at := range []int32{-1, 0, 2<<16 - 4, 1 << 30} {
		m := &Module{Pages: 2}
		m.Func("hook_version", 0, 1, 0, I32Const(1))
		m.Func("hook_room", 1, 1, 0, I32Const(at))
		m.Func("on_request", 1, 1, 0, pass)
		h, err := Engine{}.Load("x", m.Bytes(), plugin.DefaultBudget)
		if err != nil {
			t.Fatal(err)
		}
		defer h.Close()
		err = h.Call(&plugin.Call{Point: plugin.OnRequest}, &plugin.Verdict{})
		if err == nil || !strings.Contains(err.Error(), "outside of its memory") {
			t.Errorf("buffer at %d: got error %v", at, err)
		}
	}
}

func TestTextOutsideMemoryFailsCall(t *testing.T) {
	for _, text := range [][2]int32{{-1, 4}, {2<<16 - 2, 4}, {0, -1}} {
		h, err := Engine{}.Load("x", on("on_request", 0, callWithText(hostTag, text[0], text[1]), pass), plugin.DefaultBudget)
		if err != nil {
			t.Fatal(err)
		}
		defer h.Close()
		err = h.Call(&plugin.Call{Point: plugin.OnRequest}, &plugin.Verdict{})
		if err == nil || !strings.Contains(err.Error(), "outside of its memory") {
			t.Errorf("text at %d of %d bytes: got error %v", text[0], text[1], err)
		}
	}
}

func FuzzModuleLoad(f *testing.F) {
	for _, name := range []string{"verdicts", "echo", "count", "notifications", "no point"} {
		f.Add(hooks()[name])
	}
	b := plugin.DefaultBudget
	b.Memory, b.LoadTime = 1<<20, 20_000
	f.Fuzz(func(t *testing.T, code []byte) {
		if len(code) > 4096 || checkModule(code, b) != nil {
			return
		}
		h, err := Engine{}.Load("x", code, b)
		if (h == nil) == (err == nil) {
			t.Errorf("hook %v, error %v", h, err)
		}
		if h != nil {
			h.Close()
		}
	})
}

func BenchmarkWasm(b *testing.B) { plugintest.Bench(b, Engine{}, hooks()) }
