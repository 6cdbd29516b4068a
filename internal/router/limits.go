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

// gcPercent lets the heap grow to five times the live heap before the garbage collector runs. A router uses so little memory that
// the default of 100 would run the collector many times a second. The memory limit still applies.
const gcPercent = 400

// Apply configures the Go runtime's processor count, garbage collection and memory limit for the machine's limits.
func (l Limits) Apply() {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(l.MemoryMB << 20 * 3 / 4)
}

// usableDescriptors returns the number of descriptors available for clients and caches.
func (l Limits) usableDescriptors() int { return max(l.Sockets, minSockets) - reservedDescriptors }

// descriptorQuotas returns the number of descriptors for clients and for caches. Idle connections to caches may borrow descriptors
// that clients do not use. The quota for caches is bounded so that simultaneous answers on all of its connections fit into memory
// beside the bytes that bufferBytes allows for clients.
func (l Limits) descriptorQuotas() (clients, upstreams int) {
	usable := l.usableDescriptors()
	return usable * 3 / 5, min(usable*2/5, int(max(1, l.bufferBytes()/resp.MaxReplyBytes)))
}

// bufferBytes returns the number of bytes that commands and answers of clients may occupy. Answers of caches may occupy the same
// number again.
func (l Limits) bufferBytes() int64 { return l.MemoryMB << 20 / 4 }
