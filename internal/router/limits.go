// Package router is the router on real sockets: it carries events to the
// decision module and its actions out.
package router

import (
	"math"
	"runtime"
	"runtime/debug"
	"sync/atomic"

	"starlingwinch/internal/settings"
)

const (
	defaultSockets  = 1024
	defaultMemoryMB = 192
	leastSockets    = settings.LeastSockets
	reserved        = 48 // descriptors for what is not counted: the log, the poller, discovery, a moment's overlap
)

// Apply tells the runtime what the machine has.
func (l Limits) Apply() {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	debug.SetMemoryLimit(l.MemoryMB << 20 * 3 / 4)
}

// sockets shares the descriptors out, so that neither side can take those of the other. The
// loop counts the connections to caches itself.
type sockets struct {
	clients       atomic.Int64
	mostClients   int64
	mostUpstreams int
	freed         chan struct{} // holds a word when a client's descriptor has been given back
}

// newSockets shares out what the limits leave. Answers of all caches at once must fit into memory
// beside what is counted there.
func newSockets(l Limits) *sockets {
	free := max(l.Sockets, leastSockets) - reserved
	return &sockets{mostClients: int64(free * 3 / 5), freed: make(chan struct{}, 1),
		mostUpstreams: min(free*2/5, int(max(1, l.MemoryMB<<20/4/mostReply)))}
}

func (s *sockets) takeClient() bool { return take(&s.clients, 1, s.mostClients) }
func (s *sockets) giveClient() {
	s.clients.Add(-1)
	select {
	case s.freed <- struct{}{}:
	default:
	}
}

// crowded reports whether clients' descriptors run short.
func (s *sockets) crowded() bool { return s.clients.Load() > s.mostClients/2 }

func take(n *atomic.Int64, more, most int64) bool {
	if n.Add(more) > most {
		n.Add(-more)
		return false
	}
	return true
}

// memory counts the bytes of requests in hand and of answers that wait for their readers.
type memory struct {
	held atomic.Int64
	most int64
}

func newMemory(mb int64) *memory { return &memory{most: mb << 20 / 4} }

func (m *memory) take(n int64) bool { return take(&m.held, n, m.most) }
func (m *memory) force(n int64)     { m.held.Add(n) }
func (m *memory) give(n int64)      { m.held.Add(-n) }
