// Package load measures routers: a cache that answers at once and costs next to nothing, and clients
// that ask it through a router, in a closed loop (each asks again as soon as it is answered) or an open one (requests come
// at a rate, whatever the answers). It runs on a machine, beside the processes that are measured.
package load

import (
	"errors"
	"fmt"
	"math"
	"math/bits"
	"strconv"
	"sync/atomic"

	"github.com/tidwall/redcon"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/resp"
)

// Time is an instant or a span in microseconds.
type Time = machine.Time

const readSize = 64 << 10

// slack is how much longer than a request's wait its answer may be on its way.
const slack Time = 50_000

// Cache is a cache server that holds every key, and answers at once, or after Delay.
type Cache struct {
	Delay         Time // set before the loop runs
	m             machine.Machine
	ln            machine.Listener
	receipt       []byte // to a C.SET
	answer        []byte // to a C.GET
	plain         []byte // to a GET
	served, taken atomic.Int64
}

// Counts are the connections that it has taken and the commands that it has answered, for any goroutine.
func (c *Cache) Counts() (taken, served int64) { return c.taken.Load(), c.served.Load() }

// NewCache listens on a free port of an address. Each value has so many bytes.
func NewCache(m machine.Machine, addr string, value int) (*Cache, error) {
	c := &Cache{m: m}
	c.receipt = redcon.AppendBulkString(redcon.AppendBulkString(redcon.AppendArray(nil, 3), "OK"), "w")
	c.receipt = append(c.receipt, "$-1\r\n"...)
	c.answer = redcon.AppendBulkString(redcon.AppendBulk(redcon.AppendArray(nil, 3), make([]byte, value)), "hit")
	c.answer = append(c.answer, "$-1\r\n"...)
	c.plain = redcon.AppendBulk(nil, make([]byte, value))
	var err error
	c.ln, err = m.Listen(addr, func(nc machine.Conn) machine.Handler {
		c.taken.Add(1)
		return &cacheConn{cache: c, nc: nc, in: make([]byte, readSize)}
	})
	return c, err
}

// Addr is where it listens.
func (c *Cache) Addr() string { return c.ln.Addr() }

type cacheConn struct {
	cache     *Cache
	nc        machine.Conn
	in        []byte
	part, out []byte
	late      []byte // answers that are to be held back
	closed    bool
}

// Readable answers what has come.
func (c *cacheConn) Readable() {
	for {
		n, err := c.nc.Read(c.in)
		if errors.Is(err, machine.ErrWait) {
			break
		}
		if err != nil {
			c.end()
			return
		}
		c.part = append(c.part, c.in[:n]...)
	}
	used := 0
	for used < len(c.part) {
		args, n, err := resp.NextCommand(c.part[used:])
		if err != nil {
			c.end()
			return
		}
		if n == 0 {
			break
		}
		if used += n; len(args) == 1 {
			c.late = append(c.late, "+PONG\r\n"...)
			continue
		}
		switch len(args) {
		case 2:
			c.late = append(c.late, c.cache.plain...)
		case 4:
			c.late = append(c.late, c.cache.answer...)
		default:
			c.late = append(c.late, c.cache.receipt...)
		}
		c.cache.served.Add(1)
	}
	c.part = append(c.part[:0], c.part[used:]...)
	if c.cache.Delay == 0 {
		c.out = append(c.out, c.late...)
		c.late = c.late[:0]
		c.Writable()
		return
	}
	late := c.late
	c.late = nil
	c.cache.m.At(c.cache.m.Now()+c.cache.Delay, func() {
		c.out = append(c.out, late...)
		c.Writable()
	})
}

func (c *cacheConn) end() {
	c.closed = true
	c.nc.Close()
}

// Writable sends what is left of answers.
func (c *cacheConn) Writable() {
	if c.closed {
		return
	}
	n, err := c.nc.Write(c.out)
	if err != nil {
		c.end()
		return
	}
	c.out = append(c.out[:0], c.out[n:]...)
}

// Histogram counts times in buckets that are 1/16 apart, from 1 us to over an hour.
type Histogram struct {
	counts [40 * 16]int64
	n      int64
	sum    Time
}

// Add counts one time.
func (h *Histogram) Add(t Time) {
	h.n++
	h.sum += t
	h.counts[bucket(t)]++
}

// Join counts the times of another one too.
func (h *Histogram) Join(o *Histogram) {
	h.n += o.n
	h.sum += o.sum
	for i, n := range o.counts {
		h.counts[i] += n
	}
}

func bucket(t Time) int {
	if t < 16 {
		return int(max(t, 0))
	}
	e := bits.Len64(uint64(t)) - 5 // t >> e lies in [16, 32)
	return min((e+1)*16+int(t>>e)-16, 40*16-1)
}

// N is how many times there are.
func (h *Histogram) N() int64 { return h.n }

// Mean is their mean.
func (h *Histogram) Mean() float64 { return float64(h.sum) / math.Max(1, float64(h.n)) }

// Quantile is the upper end of the bucket in which the share q of times is reached.
func (h *Histogram) Quantile(q float64) Time {
	left := int64(math.Ceil(q * float64(h.n)))
	for i, n := range h.counts {
		if left -= n; left <= 0 {
			if i < 16 {
				return Time(i)
			}
			return Time(i%16+17) << (i/16 - 1)
		}
	}
	return 0
}

// Options say how clients ask.
type Options struct {
	Connections int
	Rate        float64 // requests a second over all, in an open loop; 0 for a closed one
	Pipeline    int     // requests that a connection has out at a time, in a closed loop; 0 for 1
	Keys        int
	HotShare    float64 // share of requests that name one key
	Class       string
	Wait        Time // that a request is given
	Idle        int  // connections beside these that ask once and then never
	Plain       bool // GET KEY, for proxies that know no other commands
	Write       bool // C.SET, of a class whose repeats caches drop
	Aim         Time // in which an answer is in time
}

// Clients ask one server, which may be a router or a plain proxy.
type Clients struct {
	m     machine.Machine
	o     Options
	addr  string
	idle  int // idle clients that were connected so far
	conns []*clientConn
	from  Time // answers before it are not counted
	until Time
	asked int64
	next  int
	rng   uint64

	Latency Histogram
	// Served, Refused and Failed count answers, Broken connections that ended.
	Served, Refused, Failed, Broken int64
	Up                              int
	answered                        int // idle clients, by the one answer each is owed
	// Of the requests that came in the span: how many there were, how many have an answer, how many of them within
	// Aim, and after their Wait with a little more. Surplus counts answers to nothing.
	Asked, Done, InTime, Overdue, Surplus int64
}

// idleAtATime is how many idle clients come at once. The danger: more than a listener's queue holds are turned away.
const idleAtATime = 256

// NewClients connects clients to an address.
func NewClients(m machine.Machine, addr string, o Options) *Clients {
	c := &Clients{m: m, o: o, addr: addr, rng: 88172645463325252}
	for range o.Connections {
		c.dial(&clientConn{clients: c, in: make([]byte, readSize)})
	}
	for range min(o.Idle, idleAtATime) {
		c.dialIdle()
	}
	return c
}

// dialIdle connects the next client that asks once.
func (c *Clients) dialIdle() {
	if c.idle < c.o.Idle {
		c.idle++
		c.dial(&clientConn{clients: c, in: make([]byte, 64), idle: true})
	}
}

func (c *Clients) dial(k *clientConn) {
	c.conns = append(c.conns, k)
	c.m.Dial(c.addr, 5_000_000, func(nc machine.Conn, err error) machine.Handler {
		if err != nil {
			c.Broken++
			return nil
		}
		c.Up++
		k.nc = nc
		if k.idle {
			nc.Write([]byte("PING\r\n"))
		}
		return k
	})
}

// Run has them ask for a span, after a time that is not counted, and then calls done.
func (c *Clients) Run(warm, span Time, done func()) {
	now := c.m.Now()
	c.from, c.until = now+warm, now+warm+span
	if c.o.Rate > 0 {
		c.arrive(float64(now))
	} else {
		for _, k := range c.conns[:c.o.Connections] {
			for range max(1, c.o.Pipeline) {
				k.ask(now)
			}
		}
	}
	c.m.At(c.until, done)
}

// Close ends the connections.
func (c *Clients) Close() {
	for _, k := range c.conns {
		if k.nc != nil {
			k.nc.Close()
		}
	}
}

// arrive lets the next request of an open loop come. Its time counts from when it should have come.
func (c *Clients) arrive(due float64) {
	for due <= float64(c.m.Now()) {
		c.conns[c.next%c.o.Connections].ask(Time(due))
		c.next++
		due += 1e6 / c.o.Rate
	}
	if Time(due) < c.until {
		c.m.At(Time(due), func() { c.arrive(due) })
	}
}

func (c *Clients) random() uint64 {
	c.rng ^= c.rng << 13
	c.rng ^= c.rng >> 7
	c.rng ^= c.rng << 17
	return c.rng
}

type clientConn struct {
	clients *Clients
	nc      machine.Conn
	in      []byte
	part    []byte
	out     []byte
	asked   []Time // of the requests that are out, in order
	idle    bool
	skip    int // bytes of a value that are still to come
	due     int // answers that what has come may still hold: requests that were out before it came
}

func (k *clientConn) ask(since Time) {
	c := k.clients
	if k.nc == nil {
		return
	}
	key := uint64(0)
	if c.o.HotShare == 0 || float64(c.random()>>11)/(1<<53) >= c.o.HotShare {
		key = 1 + c.random()%uint64(max(1, c.o.Keys))
	}
	c.asked++
	if since >= c.from && since < c.until {
		c.Asked++
	}
	if c.o.Plain {
		b := append(k.out, "*2\r\n$3\r\nGET\r\n"...)
		k.out = redcon.AppendBulkString(b, "key"+strconv.FormatUint(key, 10))
		k.asked = append(k.asked, since)
		k.Writable()
		return
	}
	verb, words, meta := "C.GET", 4, fmt.Sprintf("c=%s,d=%d", c.o.Class, c.o.Wait/1000)
	id := c.o.Class[:1] + strconv.FormatInt(c.asked, 16) // classes share a router, which wants each id once
	if c.o.Write {
		verb, words, meta = "C.SET", 5, meta+",k="+id
	}
	b := redcon.AppendBulkString(redcon.AppendArray(k.out, words), verb)
	b = redcon.AppendBulkString(b, "key"+strconv.FormatUint(key, 10))
	b = redcon.AppendBulkString(redcon.AppendBulkString(b, id), meta)
	if c.o.Write {
		b = redcon.AppendBulkString(b, "a value to set")
	}
	k.out = b
	k.asked = append(k.asked, since)
	k.Writable()
}

// Writable sends what is left of requests.
func (k *clientConn) Writable() {
	n, err := k.nc.Write(k.out)
	if err != nil {
		k.clients.Broken++
		k.end()
		return
	}
	k.out = append(k.out[:0], k.out[n:]...)
}

// Readable takes answers: a line, or a line and a value behind it.
func (k *clientConn) Readable() {
	c := k.clients
	for {
		n, err := k.nc.Read(k.in)
		if errors.Is(err, machine.ErrWait) {
			return
		}
		if err != nil {
			c.Broken++
			k.end()
			return
		}
		if k.idle {
			c.answered++
			c.dialIdle()
		} else {
			k.take(k.in[:n])
		}
		if k.nc == nil {
			return
		}
	}
}

func (k *clientConn) take(b []byte) {
	k.due = len(k.asked)
	for len(b) > 0 && k.nc != nil {
		if k.skip > 0 {
			n := min(k.skip, len(b))
			b = b[n:]
			if k.skip -= n; k.skip == 0 {
				k.answered(&k.clients.Served)
			}
			continue
		}
		end := 0
		for end < len(b) && b[end] != '\n' {
			end++
		}
		if end == len(b) {
			k.part = append(k.part, b...)
			return
		}
		line := b[:end+1]
		if len(k.part) > 0 {
			k.part = append(k.part, line...)
			line = k.part
		}
		b = b[end+1:]
		switch {
		case line[0] == '$':
			size, _ := strconv.Atoi(string(line[1 : len(line)-2]))
			k.skip = size + 2
		case len(line) > 4 && string(line[:5]) == "-BUSY":
			k.answered(&k.clients.Refused)
		default:
			k.answered(&k.clients.Failed)
		}
		k.part = k.part[:0]
	}
}

// end closes the connection; it asks no more.
func (k *clientConn) end() {
	k.nc.Close()
	k.nc = nil
}

func (k *clientConn) answered(count *int64) {
	c := k.clients
	now := c.m.Now()
	if k.due == 0 {
		// The danger: more answers than requests, each of which asks again, grow without end.
		c.Failed++
		c.Surplus++
		k.end()
		return
	}
	k.due--
	since := k.asked[0]
	k.asked = append(k.asked[:0], k.asked[1:]...)
	if since >= c.from && since < c.until {
		c.Done++
		if now-since <= c.o.Aim {
			c.InTime++
		}
		if now-since > c.o.Wait+slack {
			c.Overdue++
		}
	}
	if now >= c.from && now < c.until {
		*count++
		c.Latency.Add(now - since)
	}
	if c.o.Rate == 0 && now < c.until {
		k.ask(now)
	}
}
