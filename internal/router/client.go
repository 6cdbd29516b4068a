package router

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/tidwall/redcon"

	"starlingwinch/decide"
)

const (
	keptBuffer   = 8 << 10                // bytes of room that a connection keeps between commands
	acceptPause  = 10 * time.Millisecond  // before another try where no descriptor was free
	lastArrivals = 500 * time.Millisecond // new connections may still come so long after SIGTERM
	commandGrace = 100 * time.Millisecond // for the rest of a command that has begun when its connection is to close
	drainSlack   = 650 * time.Millisecond // beyond the longest deadline, for the drain after SIGTERM: SIGKILL may follow 50 ms later
	idArg        = 2                      // place of the id in a command
	metaArg      = 3                      // ... of the names and values
	firstWord    = 20_000                 // microseconds in which a client that means to ask has begun
	underWay     = 32                     // commands of one connection on their way to the loop: it must not crowd the others out
)

// command is a client's request as it came.
type command struct {
	args     [][]byte // verb, key, id, names and values, and the value to set if there is one
	size     int      // bytes on the wire
	waitFrom int      // place of d's figure in the names and values
	waitTo   int
	class    string
	tenant   string
	hash     uint64      // of the key
	wait     decide.Time // how long the client waits, cut at what its class allows
	cost     decide.Time
	write    bool
}

// parseCommand reads a C.GET or C.SET of one of the classes. It keeps args.
func parseCommand(args [][]byte, size int, classes []decide.Class) (command, error) {
	c := command{args: args, size: size, write: strings.EqualFold(string(args[0]), "C.SET")}
	want := metaArg + 1
	if c.write {
		want++
	}
	if len(args) != want {
		return c, fmt.Errorf("wrong number of arguments for %s", args[0])
	}
	for _, a := range args[:metaArg+1] {
		if len(a) == 0 || len(a) > mostWord {
			return c, errors.New("an argument is empty or too long")
		}
	}
	h := fnv.New64a()
	h.Write(args[1])
	c.hash = h.Sum64()
	keyed := false
	meta := string(args[metaArg])
	for from := 0; from < len(meta); {
		to := from + len(meta[from:])
		if i := strings.IndexByte(meta[from:], ','); i >= 0 {
			to = from + i
		}
		name, value, _ := strings.Cut(meta[from:to], "=")
		switch name {
		case "c":
			if c.class != "" {
				return c, errors.New("c stands twice")
			}
			c.class = value
		case "t":
			c.tenant = value
		case "d":
			ms, err := strconv.ParseUint(value, 10, 31)
			if err != nil || c.waitTo > 0 {
				return c, errors.New("d is not a number of milliseconds")
			}
			c.wait, c.waitFrom, c.waitTo = decide.Time(ms)*1000, to-len(value), to
		case "k":
			keyed = keyed || value != ""
		case "h":
			if us, err := strconv.ParseInt(value, 10, 64); err == nil && us > 0 {
				c.cost = us
			}
		}
		from = to + 1
	}
	if c.class == "" || c.waitTo == 0 {
		return c, errors.New("c and d are needed")
	}
	i := slices.IndexFunc(classes, func(known decide.Class) bool { return known.Name == c.class })
	if i < 0 {
		return c, errors.New("unknown class")
	}
	if c.write == (classes[i].Effect == decide.Safe) {
		return c, fmt.Errorf("%s does not fit the class", args[0])
	}
	if classes[i].Effect == decide.Keyed && !keyed {
		return c, errors.New("k is needed: no cache can drop a repeat of this class without it")
	}
	if limit := classes[i].Limit; limit > 0 {
		// The danger: timers last as long as the client claims to wait, and hold the request.
		c.wait = min(c.wait, limit)
	}
	return c, nil
}

// appendBusy words a refusal. The wait is rounded up: a client must not come back early.
func appendBusy(b []byte, wait decide.Time) []byte {
	b = append(b, "-BUSY"...)
	if wait > 0 {
		b = strconv.AppendInt(append(b, ' '), (wait+999)/1000, 10)
	}
	return append(b, "\r\n"...)
}

// Server is the router: its listener and its clients' connections round a loop.
type Server struct {
	cfg     *Config
	ln      net.Listener
	loop    *loop
	sockets *sockets
	memory  *memory

	mu       sync.Mutex
	clients  map[*client]struct{}
	wg       sync.WaitGroup // clients' goroutines
	closing  chan struct{}  // closed when no more connections are taken
	arrivals time.Duration  // how long connections are still taken after SIGTERM
}

// New makes a router and opens its listener.
func New(cfg *Config) (*Server, error) {
	s := &Server{cfg: cfg, sockets: newSockets(cfg.Limits), memory: newMemory(cfg.Limits.MemoryMB),
		clients: map[*client]struct{}{}, closing: make(chan struct{}),
		arrivals: lastArrivals}
	var err error
	if s.loop, err = newLoop(cfg, s.sockets); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if s.ln, err = net.Listen("tcp", cfg.Listen); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return s, nil
}

// Run serves until ctx ends, then answers what has come in and returns.
func (s *Server) Run(ctx context.Context) error {
	loopCtx, stop := context.WithCancel(context.Background())
	defer func() {
		stop()
		<-s.loop.done
	}()
	go s.loop.run(loopCtx)
	<-s.loop.begun // a PING must not be told that no caches are known when they are
	s.loop.log(fmt.Sprintf("serving on %s", s.ln.Addr()))
	failed := make(chan error, 1)
	go func() { failed <- s.acceptAll() }()
	select {
	case err := <-failed:
		return fmt.Errorf("accept: %w", err)
	case <-ctx.Done():
	}
	s.loop.log("draining") // not by itself: nobody may read the log, and the drain would wait for that
	limit := time.After(time.Duration(s.loop.longest)*time.Microsecond + drainSlack)
	time.Sleep(s.arrivals)
	close(s.closing)
	s.ln.Close()
	<-failed // no client is added any more
	s.drain()
	gone := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(gone)
	}()
	select {
	case <-gone:
	case <-limit:
	}
	return nil
}

// Reload takes over a new configuration while the router serves.
func (s *Server) Reload(cfg *Config) { s.loop.post(func() { s.loop.reload(cfg) }) }

// Log writes a line to the log, unless nobody reads it.
func (s *Server) Log(line string) { s.loop.log(line) }

// acceptAll takes connections until the listener is closed.
func (s *Server) acceptAll() error {
	for {
		nc, err := s.ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			// Out of descriptors, or a connection that was reset while it queued: neither may
			// end the router. Those in the queue wait.
			time.Sleep(acceptPause)
			continue
		}
		s.room()
		c := &client{srv: s, nc: nc.(*net.TCPConn), open: map[int64]*request{}, queue: make(chan *slot, s.cfg.Bounds.Clients.Pipelined),
			share: make(chan struct{}, underWay)}
		c.lastUsed.Store(s.loop.clock())
		s.mu.Lock()
		s.clients[c] = struct{}{}
		s.mu.Unlock()
		s.wg.Add(2)
		go c.read()
		go c.write()
	}
}

// room waits for a descriptor's turn for a connection that has been accepted. The danger: clients
// that hold connections they do not use shut out all others.
func (s *Server) room() {
	for !s.sockets.takeClient() {
		if c := s.leastMissed(); c != nil {
			c.retire()
		}
		select {
		case <-s.closing: // there is no next one: it is the last to be over the bound
			s.sockets.clients.Add(1)
			return
		case <-s.sockets.freed:
		case <-time.After(acceptPause):
		}
	}
}

// leastMissed is the client whose connection makes room, as the protocol allows between requests: the
// one that has been open for longest without a command, but for those just opened; else the one
// idle for longest.
func (s *Server) leastMissed() *client {
	s.mu.Lock()
	defer s.mu.Unlock()
	var least *client
	leastSilent, settled := false, s.loop.clock()-firstWord
	for c := range s.clients {
		if c.due.Load() > 0 || c.retired.Load() {
			continue
		}
		silent := !c.asked.Load() && c.lastUsed.Load() < settled
		if least == nil || silent && !leastSilent || silent == leastSilent && c.lastUsed.Load() < least.lastUsed.Load() {
			least, leastSilent = c, silent
		}
	}
	return least
}

// drain has each client's connection closed as soon as it is between requests.
func (s *Server) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.clients {
		c.retire()
	}
}

// client is a connection of a client.
type client struct {
	srv      *Server
	nc       *net.TCPConn
	open     map[int64]*request // requests without a final answer; the loop's
	queue    chan *slot         // answers due, in the order of the commands
	share    chan struct{}      // a word for each command that is under way to the loop
	retired  atomic.Bool        // to be closed between requests
	asked    atomic.Bool        // a whole command has come
	errors   int                // bad commands in a row; the reader's
	due      atomic.Int64       // commands whose answer is not written
	lastUsed atomic.Int64       // when the last answer was written
}

// retire has the connection closed as soon as it is between requests.
func (c *client) retire() {
	c.retired.Store(true)
	c.nc.SetReadDeadline(time.Now())
}

// slot is the place of an answer in its connection's order.
type slot struct {
	memory *memory
	charge int64 // bytes held for it
	wire   chan []byte
}

func newSlot(m *memory) *slot { return &slot{memory: m, wire: make(chan []byte, 1)} }

// answer fills the slot; nil stands for no answer. It does not block and is called once.
func (s *slot) answer(b []byte) {
	if len(b) > 0 && !s.memory.take(int64(len(b))) {
		b = []byte(failedReply) // many answers wait for readers that are slow
		s.memory.force(int64(len(b)))
	}
	s.wire <- b
}

// read takes commands until the connection ends.
func (c *client) read() {
	defer c.srv.wg.Done()
	defer close(c.queue)
	var buf []byte
	held := int64(0) // bytes of buf that are counted
	defer func() { c.srv.memory.give(held) }()
	began := time.Now()
	for {
		args, used, err := nextCommand(buf)
		if err != nil {
			c.say(redcon.AppendError(nil, "ERR Protocol error: "+err.Error()))
			return
		}
		if used > 0 {
			if !c.command(args, buf[:used]) {
				return
			}
			if rest := buf[used:]; cap(buf) > keptBuffer && len(rest) <= keptBuffer {
				buf = bytes.Clone(rest) // many clients with a large command once must not keep its room
				c.srv.memory.give(held)
				held = 0
			} else {
				buf = append(buf[:0], rest...)
			}
			began = time.Now()
			continue
		}
		if len(buf) == cap(buf) {
			size := min(max(1024, 2*cap(buf)), mostCommand)
			if size == cap(buf) {
				c.say([]byte("-ERR Protocol error: too big a command\r\n"))
				return
			}
			if more := int64(size - cap(buf)); size > keptBuffer {
				if !c.srv.memory.take(more) {
					c.say([]byte(busyReply))
					return
				}
				held += more
			}
			buf = append(make([]byte, 0, size), buf...)
		}
		n, err := c.receive(buf[len(buf):cap(buf)], len(buf) > 0, began)
		if len(buf) == 0 {
			began = time.Now()
		}
		buf = buf[:len(buf)+n]
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && len(buf) > 0:
			c.say([]byte("-ERR Protocol error: the command does not go on\r\n"))
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			return
		case err != nil:
			c.srv.loop.post(func() { c.srv.loop.depart(c) })
			return
		}
	}
}

// receive reads more of a command, which began at the given time if it has begun. The danger: a
// client that stops in a command, or says nothing at all, keeps its connection for good.
func (c *client) receive(b []byte, begun bool, began time.Time) (int, error) {
	bounds := &c.srv.cfg.Bounds.Clients
	for {
		limit := began.Add(bounds.CommandTime)
		if !begun && c.asked.Load() {
			limit = began.Add(bounds.IdleTime)
			if c.srv.sockets.crowded() {
				limit = began.Add(bounds.CrowdedTime)
			}
		}
		pause := limit
		if !begun { // look again now and then: it gets crowded, and nothing idles while answers are due
			if next := time.Now().Add(bounds.CrowdedTime / 4); next.Before(pause) {
				pause = next
			}
		}
		if c.retired.Load() {
			soon := time.Now()
			if begun || c.unread() {
				soon = soon.Add(commandGrace)
			}
			if soon.Before(limit) {
				limit = soon
			}
			pause = limit
		}
		c.nc.SetReadDeadline(pause)
		if c.retired.Load() && pause != limit {
			continue // it was retired in between, and its deadline is overwritten
		}
		n, err := c.nc.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if c.due.Load() > 0 && !begun {
			began = time.Now()
			if !c.retired.Load() {
				continue
			}
		}
		if !time.Now().Before(limit) {
			return 0, err
		}
	}
}

// unread reports whether bytes have come that were not read yet.
func (c *client) unread() bool {
	raw, err := c.nc.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n > 0
}

// say queues an answer of the router's own.
func (c *client) say(answer []byte) {
	s := newSlot(c.srv.memory)
	s.answer(answer)
	c.due.Add(1)
	c.queue <- s
}

// reject answers a bad command. It reports whether the connection goes on: one that sends nothing
// else is closed.
func (c *client) reject(why string) bool {
	c.say(redcon.AppendError(nil, "ERR "+why))
	c.errors++
	return c.errors < c.srv.cfg.Bounds.Clients.ErrorsInARow
}

// command carries out one command. It reports whether the connection goes on.
func (c *client) command(args [][]byte, raw []byte) bool {
	if len(args) == 0 {
		return true
	}
	read := c.srv.loop.clock()
	verb := strings.ToUpper(string(args[0][:min(len(args[0]), 32)]))
	switch verb {
	case "PING":
		c.asked.Store(true)
		switch {
		case !c.srv.loop.serving.Load():
			c.say([]byte("-LOADING no caches are known yet\r\n"))
		case len(args) > 1:
			c.say(redcon.AppendBulk(nil, args[1]))
		default:
			c.say([]byte("+PONG\r\n"))
		}
		return true
	case "QUIT":
		c.say([]byte("+OK\r\n"))
		return false
	case "C.GET", "C.SET":
	case "POST", "HOST:":
		// The danger: a web page has a browser send HTTP here, and a command in the body is carried out.
		c.say(redcon.AppendError(nil, "ERR Protocol error: this is no HTTP server"))
		return false
	default:
		if raw[0] != '*' && bytes.Contains(args[len(args)-1], []byte("HTTP/")) {
			c.say(redcon.AppendError(nil, "ERR Protocol error: this is no HTTP server"))
			return false
		}
		return c.reject("unknown command")
	}
	// The command outlives the buffer.
	args, _, err := nextCommand(bytes.Clone(raw))
	if err == nil && raw[0] != '*' {
		err = errors.New("an array is wanted")
	}
	var cmd command
	if err == nil {
		cmd, err = parseCommand(args, len(raw), c.srv.cfg.Settings.Classes)
	}
	if err != nil {
		return c.reject(err.Error())
	}
	c.errors = 0
	c.asked.Store(true)
	s := newSlot(c.srv.memory)
	if !s.memory.take(int64(len(raw))) {
		c.say([]byte(busyReply))
		return true
	}
	s.charge = int64(len(raw))
	c.due.Add(1)
	c.queue <- s
	select {
	case c.share <- struct{}{}:
	case <-c.srv.loop.done:
		return false
	}
	c.srv.loop.post(func() {
		<-c.share
		c.srv.loop.accept(c, s, cmd, read)
	})
	return true
}

// write sends the answers in the order of the commands.
func (c *client) write() {
	defer c.srv.wg.Done()
	gone := false
	for s := range c.queue {
		var b []byte
		select {
		case b = <-s.wire:
		case <-c.srv.loop.done:
		}
		if !gone {
			if b == nil {
				gone = true
			} else {
				c.nc.SetWriteDeadline(time.Now().Add(c.srv.cfg.Bounds.Clients.WriteTime))
				_, err := c.nc.Write(b)
				gone = err != nil
			}
			if gone {
				c.nc.Close() // its reader notes that the client is gone
			}
		}
		s.memory.give(s.charge + int64(len(b)))
		c.lastUsed.Store(c.srv.loop.clock())
		c.due.Add(-1)
	}
	if !gone {
		c.linger()
	}
	c.nc.Close()
	c.srv.mu.Lock()
	delete(c.srv.clients, c)
	c.srv.mu.Unlock()
	c.srv.sockets.giveClient()
}

// linger lets the client read the last answer. The danger: closing while bytes of an
// oversized command still come resets the connection, and the answer is lost with it.
func (c *client) linger() {
	if !c.unread() || c.nc.CloseWrite() != nil {
		return
	}
	c.nc.SetReadDeadline(time.Now().Add(c.srv.cfg.Bounds.Clients.LingerTime))
	buf := make([]byte, 4096)
	for total := 0; total < 4*mostCommand; {
		n, err := c.nc.Read(buf)
		if err != nil {
			return
		}
		total += n
	}
}
