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

// MemoryOverhead is the memory in bytes that a worker uses in addition to the memory of its hook: the engine, and the
// compilation of a module.
const MemoryOverhead = 12 << 20

const (
	arenaSize            = 64 << 20 // bytes of address space that the Go runtime reserves for its heap at a time
	paddingChunk         = 4 << 20  // bytes of address space that fillArena allocates at a time
	garbageAllowance     = 3 << 20  // bytes of garbage between two garbage collections
	reservedAddressSpace = 24 << 20 // bytes of address space outside of the heap: threads, compiled code, the runtime
	niceIncrement        = 5        // nice value of a worker, for a priority below the router's (setpriority(2))
	maxStack             = 4 << 20  // bytes of a goroutine's stack: a parser recurses for nested brackets
)

// padding reserves address space. Its memory is never written, so it occupies no physical pages.
var padding [][]byte

// Main is the main function of a worker process: it serves the connection on standard input and returns when the connection
// ends. It ignores the signals that stop a service: a service manager sends them to all processes of the service, and the
// router needs its hooks until its graceful shutdown is complete.
func Main() error {
	signal.Ignore(syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	lowerPriority()
	debug.SetMaxStack(maxStack)
	return Serve(os.Stdin, LimitMemory)
}

// LimitMemory permanently limits the memory of this process to the hook's budget and MemoryOverhead. A process that exceeds the
// limit ends with the runtime's "out of memory" or because the kernel refuses to map a page. The kernel enforces the limit
// because script engines can't: a string that a script doubles repeatedly takes gigabytes within a second.
//
// The limit applies to address space, which the runtime reserves one arena at a time. LimitMemory therefore fills the current
// arena, and the part of the following arenas that exceeds the allowed size, with memory that is never written and costs nothing.
// LimitMemory also sets the garbage collector's memory limit to the allowed size, so that a collection runs before the limit is
// reached instead of at twice the size of the heap.
func LimitMemory(b plugin.Budget) {
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
	debug.SetGCPercent(max(1, int(garbageAllowance*100/m.HeapAlloc))) // nearly all of HeapAlloc is padding
	space, err := addressSpace()
	if err != nil {
		return
	}
	limit := uint64(space + (arenas-1)*arenaSize + reservedAddressSpace)
	syscall.Setrlimit(syscall.RLIMIT_AS, &syscall.Rlimit{Cur: limit, Max: limit})
	syscall.Setrlimit(syscall.RLIMIT_CORE, &syscall.Rlimit{})
}

// fillArena allocates address space until the runtime reserves another arena, because the current arena is partly used. It
// returns false if the size of the process's address space is unknown.
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

// lowerPriority lowers the priority of all threads of the process. Threads that start later inherit the priority.
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
