//go:build wasip1

// Package hook is the API for hooks that are written in Go and built for WebAssembly:
//
//	GOOS=wasip1 GOARCH=wasm go build -buildmode=c-shared -o club.wasm .
//
// A hook imports this package and registers its functions in an init function. The main function is empty and never runs.
//
//	func init() {
//		hook.OnRequest(func(r *hook.Request) hook.Verdict {
//			if r.Key == "" {
//				return hook.Refuse(0)
//			}
//			return hook.Pass
//		})
//	}
//	func main() {}
//
// The module contains the Go runtime. It has at least 1.8 MB and takes a second to load, during which its worker uses 50 MiB.
// The operator must allow that in the settings memory and load_time. docs/operators/hooks.md lists languages that compile to
// small modules.
package hook

import "unsafe"

// Request is the argument of the function that OnRequest registers. A Request is valid only during the call; a hook
// that retains a part of it must copy that part.
type Request struct {
	Now      int64 // µs on a monotonic clock with an arbitrary zero
	Verb     string
	Class    string
	Tenant   string
	Key      string
	Size     int    // bytes of the value
	TimeLeft int64  // µs until the client stops waiting
	Value    []byte // nil unless the operator set wants_value
}

// Outcome is the kind of a final answer.
type Outcome int

const (
	Served  Outcome = iota // answered with a value
	Refused                // not carried out; the client may retry
	Failed                 // answered with an error that does not say whether the request was carried out
)

// Answer is the argument of the function that OnAnswered registers.
type Answer struct {
	Now     int64
	Verb    string
	Class   string
	Tenant  string
	Key     string
	Size    int // bytes of the value
	Outcome Outcome
	Took    int64 // µs since the request was read
}

// List is the argument of the function that OnList registers.
type List struct {
	Now      int64
	Caches   int // the number of listed caches
	TakeWork int // the number of listed caches that are serving
}

// Verdict is a hook's decision on a request.
type Verdict int32

const (
	Pass    Verdict = 0 // the request continues to the next hook, or to the router after the last one
	refused Verdict = 1 // returned by Refuse
	failed  Verdict = 2 // returned by Fail
)

// Refuse rejects the request. The answer says that the request was not carried out, and asks the client to wait waitMS
// milliseconds before a retry (0 for no advice, at most 60,000).
func Refuse(waitMS int) Verdict {
	wait(int32(waitMS))
	return refused
}

// Fail fails the request with a message of at most 256 bytes.
func Fail(message string) Verdict {
	text(message)
	return failed
}

// Tag adds a tag to the request. The router counts requests by tag. A tag consists of 1 to 64 letters, digits, _ - . : and /.
func Tag(name string) { tag(name) }

// Tenant attributes the request to another tenant for the hooks that follow and for the router. A name consists of 1 to 256
// letters, digits, _ - . : and /.
func Tenant(name string) { tenant(name) }

// Log adds a line to the router's log.
func Log(line string) { log(line) }

// OnRequest registers the function that decides on requests. OnRequest and the other registrations are called in an init
// function.
func OnRequest(f func(*Request) Verdict) { request = f }

// OnAnswered registers the function that is called for each final answer.
func OnAnswered(f func(*Answer)) { answered = f }

// OnList registers the function that is called when the list of caches changes.
func OnList(f func(*List)) { list = f }

// OnLoad registers the function that is called before all others. If it returns an error, the hook is not loaded.
func OnLoad(f func() error) { load = f }

// OnUnload registers the function that is called after all others.
func OnUnload(f func()) { unload = f }

var (
	request  = func(*Request) Verdict { return Pass }
	answered = func(*Answer) {}
	list     = func(*List) {}
	load     = func() error { return nil }
	unload   = func() {}
)

//go:wasmimport starlingwinch log
func log(text string)

//go:wasmimport starlingwinch tag
func tag(text string)

//go:wasmimport starlingwinch tenant
func tenant(text string)

//go:wasmimport starlingwinch text
func text(text string)

//go:wasmimport starlingwinch wait
func wait(ms int32)

// buffer is the memory into which the router writes the arguments of a call. The router requests a larger buffer for a call
// that does not fit.
var buffer []byte

//go:wasmexport hook_version
func version() int32 { return 1 }

//go:wasmexport hook_room
func allocateBuffer(size int32) int32 {
	buffer = make([]byte, size)
	return int32(uintptr(unsafe.Pointer(unsafe.SliceData(buffer))))
}

// call is the layout of the record that the router writes. It is little endian, like WebAssembly.
type call struct {
	verb, class, tenant, key, value span
	size, outcome                   int32
	timeLeft, took, now             int64
	caches, takeWork                int32
}

// span is the address and the length of a text.
type span struct{ address, length uint32 }

func (s span) bytes() []byte {
	if s.address == 0 {
		return nil
	}
	start := uint32(uintptr(unsafe.Pointer(unsafe.SliceData(buffer))))
	return buffer[s.address-start:][:s.length]
}

// String returns a copy of the text.
func (s span) String() string { return string(s.bytes()) }

// currentCall returns the record of the current call.
func currentCall() *call { return (*call)(unsafe.Pointer(unsafe.SliceData(buffer))) }

//go:wasmexport on_request
func onRequest(int32) int32 {
	c := currentCall()
	return int32(request(&Request{Now: c.now, Verb: c.verb.String(), Class: c.class.String(), Tenant: c.tenant.String(),
		Key: c.key.String(), Size: int(c.size), TimeLeft: c.timeLeft, Value: c.value.bytes()}))
}

//go:wasmexport on_answered
func onAnswered(int32) int32 {
	c := currentCall()
	answered(&Answer{Now: c.now, Verb: c.verb.String(), Class: c.class.String(), Tenant: c.tenant.String(),
		Key: c.key.String(), Size: int(c.size), Outcome: Outcome(c.outcome), Took: c.took})
	return 0
}

//go:wasmexport on_list
func onList(int32) int32 {
	c := currentCall()
	list(&List{Now: c.now, Caches: int(c.caches), TakeWork: int(c.takeWork)})
	return 0
}

//go:wasmexport on_load
func onLoad() int32 {
	if err := load(); err != nil {
		log(err.Error())
		return 1
	}
	return 0
}

//go:wasmexport on_unload
func onUnload() int32 {
	unload()
	return 0
}
