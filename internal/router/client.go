package router

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"log"
	"net"
	"os"
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
	mostValue    = 64 << 10               // bytes of a value
	mostWord     = 1 << 10                // ... of a key, an id or the list of names and values
	mostCommand  = mostValue + 4<<10      // ... of a whole command
	keptBuffer   = 8 << 10                // bytes of room that a connection keeps between commands
	pipelined    = 512                    // commands of one connection that may await their answers
	writeTimeout = 5 * time.Second        // for an answer to a client that does not read
	lingerTime   = time.Second            // for a client to read why its connection is closed
	acceptPause  = 10 * time.Millisecond  // before another try where no descriptor was free
	lastArrivals = 500 * time.Millisecond // new connections may still come so long after SIGTERM
	commandGrace = 100 * time.Millisecond // for the rest of a command that has begun when its connection is to close
	drainSlack   = 650 * time.Millisecond // beyond the longest deadline, for the drain after SIGTERM: SIGKILL may follow 50 ms later
	metaArg      = 3                      // place of the names and values in a command
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
	wait     decide.Time // how long the client waits
	cost     decide.Time
	write    bool
}

// parseCommand reads a C.GET or C.SET. It keeps args.
func parseCommand(args [][]byte, size int) (command, error) {
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
	if c.write && len(args[want-1]) > mostValue {
		return c, errors.New("the value is too long")
	}
	h := fnv.New64a()
	h.Write(args[1])
	c.hash = h.Sum64()
	meta := string(args[metaArg])
	for from := 0; from < len(meta); {
		to := from + len(meta[from:])
		if i := strings.IndexByte(meta[from:], ','); i >= 0 {
			to = from + i
		}
		name, value, _ := strings.Cut(meta[from:to], "=")
		switch name {
		case "c":
			c.class = value
		case "t":
			c.tenant = value
		case "d":
			ms, err := strconv.ParseInt(value, 10, 32)
			if err != nil || ms < 0 || c.waitTo > 0 {
				return c, errors.New("d is not a number of milliseconds")
			}
			c.wait, c.waitFrom, c.waitTo = ms*1000, to-len(value), to
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
	s := &Server{cfg: cfg, sockets: newSockets(cfg.Limits.Sockets), memory: newMemory(cfg.Limits.MemoryMB),
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
	log.Printf("serving on %s", s.ln.Addr())
	failed := make(chan error, 1)
	go func() { failed <- s.acceptAll() }()
	select {
	case err := <-failed:
		return fmt.Errorf("accept: %w", err)
	case <-ctx.Done():
	}
	log.Print("draining")
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
		if !s.room() {
			return net.ErrClosed
		}
		nc, err := s.ln.Accept()
		if err != nil {
			s.sockets.giveClient()
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			// Out of descriptors, or a connection that was reset while it queued: neither may
			// end the router. Those in the queue wait.
			time.Sleep(acceptPause)
			continue
		}
		c := &client{srv: s, nc: nc.(*net.TCPConn), open: map[int64]*request{}, queue: make(chan *slot, pipelined)}
		c.lastUsed.Store(s.loop.clock())
		s.mu.Lock()
		s.clients[c] = struct{}{}
		s.mu.Unlock()
		s.wg.Add(2)
		go c.read()
		go c.write()
	}
}

// room waits for a descriptor for one more client; it reports false once the router ends. The
// danger: clients that hold connections they do not use shut out all others. The one idle for
// longest makes room, as the protocol allows between requests.
func (s *Server) room() bool {
	for !s.sockets.takeClient() {
		if c := s.longestIdle(); c != nil {
			c.retire()
		}
		select {
		case <-s.closing:
			return false
		case <-time.After(acceptPause):
		}
	}
	return true
}

func (s *Server) longestIdle() *client {
	s.mu.Lock()
	defer s.mu.Unlock()
	var longest *client
	for c := range s.clients {
		if c.due.Load() == 0 && !c.retired.Load() &&
			(longest == nil || c.lastUsed.Load() < longest.lastUsed.Load()) {
			longest = c
		}
	}
	return longest
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
	retired  atomic.Bool        // to be closed between requests
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
	extended := false
	for {
		complete, args, used, err := nextCommand(buf)
		if err != nil {
			c.say(redcon.AppendError(nil, "ERR Protocol error: "+err.Error()))
			return
		}
		if complete {
			if !c.command(args, buf[:used]) {
				return
			}
			if rest := buf[used:]; cap(buf) > keptBuffer && len(rest) <= keptBuffer {
				buf = bytes.Clone(rest) // many clients with a large command once must not keep its room
			} else {
				buf = append(buf[:0], rest...)
			}
			continue
		}
		if len(buf) >= mostCommand {
			c.say([]byte("-ERR Protocol error: too big a command\r\n"))
			return
		}
		if len(buf) == cap(buf) {
			buf = append(make([]byte, 0, max(1024, 2*cap(buf))), buf...)
		}
		n, err := c.nc.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, os.ErrDeadlineExceeded) && c.retired.Load() {
			if extended || len(buf) == 0 && !c.unread() {
				return
			}
			extended = true // it has begun a command
			c.nc.SetReadDeadline(time.Now().Add(commandGrace))
			continue
		}
		if err != nil {
			c.srv.loop.post(func() { c.srv.loop.depart(c) })
			return
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

// command carries out one command. It reports whether the connection goes on.
func (c *client) command(args [][]byte, raw []byte) bool {
	if len(args) == 0 {
		return true
	}
	read := c.srv.loop.clock()
	verb := strings.ToUpper(string(args[0][:min(len(args[0]), 32)]))
	switch verb {
	case "PING":
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
	default:
		c.say([]byte("-ERR unknown command\r\n"))
		return true
	}
	// The command outlives the buffer.
	_, args, _, err := nextCommand(bytes.Clone(raw))
	if err != nil {
		return false
	}
	cmd, err := parseCommand(args, len(raw))
	if err != nil {
		c.say(redcon.AppendError(nil, "ERR "+err.Error()))
		return true
	}
	s := newSlot(c.srv.memory)
	if !s.memory.take(int64(len(raw))) {
		c.say([]byte(busyReply))
		return true
	}
	s.charge = int64(len(raw))
	c.due.Add(1)
	c.queue <- s
	c.srv.loop.post(func() { c.srv.loop.accept(c, s, cmd, read) })
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
				c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
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
	c.nc.SetReadDeadline(time.Now().Add(lingerTime))
	buf := make([]byte, 4096)
	for total := 0; total < 4*mostCommand; {
		n, err := c.nc.Read(buf)
		if err != nil {
			return
		}
		total += n
	}
}

// nextCommand takes one command off b. The danger: the codec panics on lengths out of range.
func nextCommand(b []byte) (complete bool, args [][]byte, used int, err error) {
	defer func() {
		if recover() != nil {
			err = errors.New("invalid length")
		}
	}()
	complete, args, kind, rest, err := redcon.ReadNextCommand(b, nil)
	if err == nil && kind == redcon.Tile38 {
		err = errors.New("expected '*'")
	}
	return complete, args, len(b) - len(rest), err
}
