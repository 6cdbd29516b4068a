package router

import (
	"math"
	"runtime"
	"runtime/debug"

	"starlingwinch/internal/resp"
	"starlingwinch/internal/settings"
)

const (
	defaultSockets  = 1024
	defaultMemoryMB = 192
	leastSockets    = settings.MinSockets
	reserved        = 48 // descriptors for what is not counted: the log, the poller, discovery, a moment's overlap
)

// gcPercent has the collector run when the heap is five times what is in use. A router uses some 4 MB: at
// twice that, 27,000 requests a second ran it twenty times a second. The memory limit comes first.
const gcPercent = 400

// Apply tells the runtime what the machine has.
func (l Limits) Apply() {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(l.MemoryMB << 20 * 3 / 4)
}

// free is the descriptors for clients and caches.
func (l Limits) free() int { return max(l.Sockets, leastSockets) - reserved }

// shares of the descriptors that each side has for sure. What clients do not use is lent to idle connections to caches.
func (l Limits) shares() (clients, upstreams int) {
	free := l.free()
	// Answers of all caches at once must fit into memory beside what is counted there.
	return free * 3 / 5, min(free*2/5, int(max(1, l.memory()/resp.MaxReplyBytes)))
}

// memory is the bytes that clients' commands and answers may hold, and those of caches as much again.
func (l Limits) memory() int64 { return l.MemoryMB << 20 / 4 }
