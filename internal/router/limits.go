package router

import (
	"math"
	"runtime"
	"runtime/debug"

	"starlingwinch/internal/resp"
	"starlingwinch/internal/settings"
)

// Default values and minimum values of Limits.
const (
	defaultSockets  = 1024
	defaultMemoryMB = 192
	minSockets      = settings.MinSockets

	// reservedDescriptors is the number of descriptors for uses that are not counted individually: the log, the poller,
	// discovery, and connections that overlap briefly.
	reservedDescriptors = 48
)

// Parts of the machine's memory, in bytes.
const (
	// programBytes is the memory outside the Go runtime's control: the resident part of the program file and of the C library.
	programBytes = 14 << 20
	// baseHeapBytes is the memory that a router needs without clients.
	baseHeapBytes = 6 << 20
	// requestBytes is the memory of an open request besides the bytes of its command: its records in the router, the frontend,
	// the decision module and the guard, and its timers.
	requestBytes = 2 << 10
)

// gcPercent lets the heap grow to five times the live heap before the garbage collector runs. A router uses so little memory that
// the default of 100 would run the collector many times a second. The memory limit still applies.
const gcPercent = 400

// Apply configures the Go runtime's processor count, garbage collection and memory limit for the machine's limits.
func (l Limits) Apply() {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(l.heapBytes())
}

// heapBytes returns the limit of the Go runtime's memory. It leaves room for the program itself, which counts against the machine's
// memory too.
func (l Limits) heapBytes() int64 {
	all := l.MemoryMB << 20
	return max(baseHeapBytes, min(all*3/4, all-programBytes))
}

// usableDescriptors returns the number of descriptors available for clients and caches.
func (l Limits) usableDescriptors() int { return max(l.Sockets, minSockets) - reservedDescriptors }

// descriptorQuotas returns the number of descriptors for clients and for caches. Idle connections to caches may borrow descriptors
// that clients do not use. The quota for caches is bounded so that simultaneous answers on all of its connections fit into memory
// beside the bytes that bufferBytes allows for clients.
func (l Limits) descriptorQuotas() (clients, upstreams int) {
	usable := l.usableDescriptors()
	return usable * 3 / 5, min(usable*2/5, int(max(1, l.replyBytes()/resp.MaxReplyBytes)))
}

// replyBytes returns the number of bytes that partly received answers of caches may occupy.
func (l Limits) replyBytes() int64 { return l.MemoryMB << 20 / 4 }

// bufferBytes returns the number of bytes that open requests, partly received commands and answers of clients may occupy. With
// little memory it is less than a quarter: the garbage collector would run without a pause if live memory came near heapBytes.
func (l Limits) bufferBytes() int64 {
	return min(l.MemoryMB<<20/4, max(1<<20, (l.heapBytes()-baseHeapBytes)*3/8))
}
