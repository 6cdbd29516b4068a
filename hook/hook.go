//go:build wasip1

// Package hook is the API for hooks that are written in Go and built for WebAssembly:
//
//	GOOS=wasip1 GOARCH=wasm go build -buildmode=c-shared -o club.wasm .
//
// A hook imports this package and registers its functions in an init function. Its main is empty and never runs.
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
// The module holds Go's own runtime: it has 1.8 MB or more, takes a second to load, and its worker takes 50 MiB
// meanwhile. An operator has to allow that (memory, load_time). docs/operators/hooks.md names languages that make
// small modules.
package hook

import "unsafe"

// Request is what OnRequest is handed. It is valid during the call alone: a hook that retains a part of it copies that.
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
	Served  Outcome = iota // with a value
	Refused                // it never ran, and the client may try again
	Failed                 // with an error that promises nothing
)

// Answer is what OnAnswered is handed.
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

// List is what OnList is handed.
type List struct {
	Now      int64
	Caches   int // that are listed
	TakeWork int // of them, those that are serving
}

// Verdict is what becomes of a request.
type Verdict int32

const (
	Pass    Verdict = 0 // it goes on
	refused Verdict = 1 // of Refuse
	failed  Verdict = 2 // of Fail
)

// Refuse rejects the request: the client learns that it was not carried out, and is asked to stay away for waitMS
// milliseconds (0 for no advice, at most 60,000).
func Refuse(waitMS int) Verdict {
	wait(int32(waitMS))
	return refused
}

// Fail fails the request with a message of at most 256 bytes.
func Fail(message string) Verdict {
	text(message)
	return failed
}

// Tag gives the request a name of the hook's own, which the router counts: at most 64 letters, digits, _ - . : and /.
func Tag(name string) { tag(name) }

// Tenant has the request count for another tenant from here on.
func Tenant(name string) { tenant(name) }

// Log adds a line to the router's log.
func Log(line string) { log(line) }

// OnRequest registers the function that decides on requests. It is called in an init function, as are the others.
func OnRequest(f func(*Request) Verdict) { request = f }

// OnAnswered registers the function that is notified of final answers.
func OnAnswered(f func(*Answer)) { answered = f }

// OnList registers the function that is notified of changes of the list of caches.
func OnList(f func(*List)) { list = f }

// OnLoad registers the function that is called first. With an error, the hook is not loaded.
func OnLoad(f func() error) { load = f }

// OnUnload registers the function that is called last.
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

// room is where the router writes what a call is handed. The router asks for more where a call is longer.
var room []byte

//go:wasmexport hook_version
func version() int32 { return 1 }

//go:wasmexport hook_room
func makeRoom(size int32) int32 {
	room = make([]byte, size)
	return int32(uintptr(unsafe.Pointer(unsafe.SliceData(room))))
}

// call is the layout of what the router writes, little endian as WebAssembly is.
type call struct {
	verb, class, tenant, key, value span
	size, outcome                   int32
	timeLeft, took, now             int64
	caches, takeWork                int32
}

// span is a text: its address and its length.
type span struct{ at, n uint32 }

func (s span) bytes() []byte {
	if s.at == 0 {
		return nil
	}
	start := uint32(uintptr(unsafe.Pointer(unsafe.SliceData(room))))
	return room[s.at-start:][:s.n]
}

// String returns a copy of the text.
func (s span) String() string { return string(s.bytes()) }

func given() *call { return (*call)(unsafe.Pointer(unsafe.SliceData(room))) }

//go:wasmexport on_request
func onRequest(int32) int32 {
	c := given()
	return int32(request(&Request{Now: c.now, Verb: c.verb.String(), Class: c.class.String(), Tenant: c.tenant.String(),
		Key: c.key.String(), Size: int(c.size), TimeLeft: c.timeLeft, Value: c.value.bytes()}))
}

//go:wasmexport on_answered
func onAnswered(int32) int32 {
	c := given()
	answered(&Answer{Now: c.now, Verb: c.verb.String(), Class: c.class.String(), Tenant: c.tenant.String(),
		Key: c.key.String(), Size: int(c.size), Outcome: Outcome(c.outcome), Took: c.took})
	return 0
}

//go:wasmexport on_list
func onList(int32) int32 {
	c := given()
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
