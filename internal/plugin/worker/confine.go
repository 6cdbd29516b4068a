package worker

import (
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"

	"starlingwinch/internal/plugin"
)

// MemoryOverhead is the memory in bytes that a worker takes beside its hook's: the engine, and a module while it is compiled.
const MemoryOverhead = 12 << 20

const (
	arenaSize            = 64 << 20 // bytes of address space that the Go runtime reserves at a time for its heap
	paddingChunk         = 4 << 20  // bytes of address space that fillArena takes at a time
	garbageAllowance     = 3 << 20  // bytes of garbage between two runs of the collector
	reservedAddressSpace = 24 << 20 // bytes of address space beside the heap: threads, compiled code, the runtime itself
	niceIncrement        = 5        // by which a worker's priority is below the router's (setpriority(2))
	maxStack             = 4 << 20  // bytes of a goroutine's stack: a parser recurses on nested brackets
)

// padding is address space that is reserved and never touched.
var padding [][]byte

// Main is the program of a worker process: it serves its standard input, and returns when that ends. It ignores the signals
// that stop a service, which are sent to all of the service's processes: the router calls its hooks until its graceful
// shutdown is over.
func Main() error {
	signal.Ignore(syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	lowerPriority()
	debug.SetMaxStack(maxStack)
	return Serve(os.Stdin, Confine)
}

// Confine bounds the memory of this process for good, by the hook's budget and MemoryOverhead. A process that exceeds it ends
// with the runtime's "out of memory", or as the kernel refuses it a page. The kernel enforces the bound, as no script engine
// does: a string that is doubled over and over takes gigabytes within a second.
//
// The limit is on address space, which the runtime reserves by whole arenas. So the present arena is filled up, and part of
// the next one up to the bound, by bytes that are never touched and cost nothing; and the collector's memory limit is set to
// the bound, so that it runs before the bound is reached rather than at twice the size of the heap.
func Confine(b plugin.Budget) {
	allowed := b.Memory + MemoryOverhead
	arenas := (allowed + arenaSize - 1) / arenaSize
	debug.SetGCPercent(-1)
	if !fillArena() {
		return
	}
	padding = append(padding, make([]byte, arenas*arenaSize-allowed))
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	debug.SetMemoryLimit(int64(m.Sys-m.HeapReleased) + allowed - MemoryOverhead/3)
	debug.SetGCPercent(max(1, int(garbageAllowance*100/m.HeapAlloc))) // of which nearly all is ballast
	space, err := addressSpace()
	if err != nil {
		return
	}
	limit := uint64(space + (arenas-1)*arenaSize + reservedAddressSpace)
	syscall.Setrlimit(syscall.RLIMIT_AS, &syscall.Rlimit{Cur: limit, Max: limit})
	syscall.Setrlimit(syscall.RLIMIT_CORE, &syscall.Rlimit{})
}

// fillArena takes address space until the runtime reserves another arena: the present one is partly used. It reports false
// where the process's address space is not known.
func fillArena() bool {
	before, err := addressSpace()
	for range arenaSize / paddingChunk {
		padding = append(padding, make([]byte, paddingChunk))
		now, errNow := addressSpace()
		if err != nil || errNow != nil {
			return false
		}
		if now-before >= arenaSize {
			return true
		}
	}
	return false
}

// addressSpace returns the size of the process's address space in bytes (proc(5), statm).
func addressSpace() (int64, error) {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0, err
	}
	first, _, _ := strings.Cut(string(text), " ")
	pages, err := strconv.ParseInt(first, 10, 64)
	return pages * int64(os.Getpagesize()), err
}

// lowerPriority lowers the priority of all threads; those that start later inherit it.
func lowerPriority() {
	threads, err := os.ReadDir("/proc/self/task")
	if err != nil {
		return
	}
	for _, thread := range threads {
		id, err := strconv.Atoi(thread.Name())
		if err == nil {
			syscall.Setpriority(syscall.PRIO_PROCESS, id, niceIncrement)
		}
	}
}
