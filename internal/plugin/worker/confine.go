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

const (
	// MemoryOverhead is what the worker itself takes beside a hook's memory: the engine, and a module while it is compiled.
	MemoryOverhead = 12 << 20
	// arenaSize is how much address space the runtime asks for at a time, for its heap.
	arenaSize = 64 << 20
	// paddingChunk is the step in which it maps that.
	paddingChunk = 4 << 20
	// garbageAllowance is what may pile up before the collector runs.
	garbageAllowance = 3 << 20
	// reservedAddressSpace is address space for what is not heap: threads, compiled code, the runtime's books.
	reservedAddressSpace = 24 << 20
	// niceIncrement is by how much the worker's priority is below the router's (setpriority(2)).
	niceIncrement = 5
	// maxStack is the deepest that Go code may recurse, as a parser does on brackets without end.
	maxStack = 4 << 20
)

// padding is address space that is taken and never touched.
var padding [][]byte

// Main is the program of a worker process: it serves its standard input, and returns when that ends.
//
// The danger: what stops a service sends its signal to all of its processes. The router drains then, and needs its
// hooks until it has.
func Main() error {
	signal.Ignore(syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	lowerPriority()
	debug.SetMaxStack(maxStack)
	return Serve(os.Stdin, Confine)
}

// Confine bounds the memory of this process by what the hook's budget and the worker's own needs come to, for good. One
// that takes more ends with the runtime's "out of memory", or is refused a page by the kernel and ends likewise.
//
// The danger: no script engine bounds its memory, and a doubled string is gigabytes within a second. Only the
// kernel's word holds at all times.
//
// The runtime asks for address space by arenas, which is too coarse a measure. So the arena that it has is filled up,
// and then the next one up to the bound, by bytes that are never touched and cost nothing; and the collector is told
// of the bound, so that it runs before the bound is reached rather than at twice the size.
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

// fillArena fills what the runtime has of an arena, which begins anywhere in it, until it asks for another one.
func fillArena() bool {
	before, err := addressSpace()
	for range arenaSize / paddingChunk {
		padding = append(padding, make([]byte, paddingChunk))
		now, err2 := addressSpace()
		if err != nil || err2 != nil {
			return false
		}
		if now-before >= arenaSize {
			return true
		}
	}
	return false
}

// addressSpace is how much the process has taken, in bytes (proc(5), statm).
func addressSpace() (int64, error) {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0, err
	}
	first, _, _ := strings.Cut(string(text), " ")
	pages, err := strconv.ParseInt(first, 10, 64)
	return pages * int64(os.Getpagesize()), err
}

// lowerPriority lowers the priority of all threads; those to come inherit it.
func lowerPriority() {
	threads, err := os.ReadDir("/proc/self/task")
	if err != nil {
		return
	}
	for _, thread := range threads {
		if id, err := strconv.Atoi(thread.Name()); err == nil {
			syscall.Setpriority(syscall.PRIO_PROCESS, id, niceIncrement)
		}
	}
}
