package router

import (
	"math"
	"runtime"
	"runtime/debug"

	"starlingwinch/internal/resp"
	"starlingwinch/internal/settings"
)

// Defaults and bounds of Limits.
const (
	defaultSockets  = 1024
	defaultMemoryMB = 192
	minSockets      = settings.MinSockets

	// reservedDescriptors are for what is not counted one by one: the log, the poller, discovery, and connections that
	// overlap for a moment.
	reservedDescriptors = 48
)

// gcPercent lets the heap grow to five times what is in use before the collector runs. A router uses so little memory that
// the usual 100 would run it many times a second; the memory limit still holds.
const gcPercent = 400

// Apply sets the Go runtime's limits to those of the machine.
func (l Limits) Apply() {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(l.MemoryMB << 20 * 3 / 4)
}

// usableDescriptors returns how many descriptors there are for clients and caches.
func (l Limits) usableDescriptors() int { return max(l.Sockets, minSockets) - reservedDescriptors }

// descriptorQuotas returns how many descriptors each side has for itself. Those that clients do not use are lent to idle
// connections to caches. Answers of all caches at once must fit into memory beside what bufferBytes counts.
func (l Limits) descriptorQuotas() (clients, upstreams int) {
	usable := l.usableDescriptors()
	return usable * 3 / 5, min(usable*2/5, int(max(1, l.bufferBytes()/resp.MaxReplyBytes)))
}

// bufferBytes returns how many bytes clients' commands and answers may take, and those of caches as much again.
func (l Limits) bufferBytes() int64 { return l.MemoryMB << 20 / 4 }
