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

// overdueSlack is how much longer than a request's wait its answer may be on its way.
const overdueSlack Time = 50_000

// Cache is a cache server that holds every key, and answers at once, or after Delay.
type Cache struct {
	Delay            Time // set before the loop runs
	machine          machine.Machine
	listener         machine.Listener
	setReply         []byte // to a C.SET
	extendedGetReply []byte // to a C.GET
	getReply         []byte // to a GET
	served, taken    atomic.Int64
}

// Counts are the connections that it has taken and the commands that it has answered, for any goroutine.
func (c *Cache) Counts() (taken, served int64) { return c.taken.Load(), c.served.Load() }

// NewCache listens on a free port of an address. Each value has so many bytes.
func NewCache(m machine.Machine, addr string, value int) (*Cache, error) {
	c := &Cache{machine: m}
	c.setReply = redcon.AppendBulkString(redcon.AppendBulkString(redcon.AppendArray(nil, 3), "OK"), "w")
	c.setReply = append(c.setReply, "$-1\r\n"...)
	c.extendedGetReply = redcon.AppendBulkString(redcon.AppendBulk(redcon.AppendArray(nil, 3), make([]byte, value)), "hit")
	c.extendedGetReply = append(c.extendedGetReply, "$-1\r\n"...)
	c.getReply = redcon.AppendBulk(nil, make([]byte, value))
	var err error
	c.listener, err = m.Listen(addr, func(nc machine.Conn) machine.Handler {
		c.taken.Add(1)
		return &cacheConn{cache: c, nc: nc, in: make([]byte, readSize)}
	})
	return c, err
}

// Addr is where it listens.
func (c *Cache) Addr() string { return c.listener.Addr() }

type cacheConn struct {
	cache          *Cache
	nc             machine.Conn
	in             []byte
	unparsed, out  []byte
	pendingAnswers []byte // answers that are to be held back
	closed         bool
}

// Readable answers what has come.
func (c *cacheConn) Readable() {
	for {
		n, err := c.nc.Read(c.in)
		if errors.Is(err, machine.ErrWait) {
			break
		}
		if err != nil {
			c.close()
			return
		}
		c.unparsed = append(c.unparsed, c.in[:n]...)
	}
	used := 0
	for used < len(c.unparsed) {
		args, n, err := resp.NextCommand(c.unparsed[used:])
		if err != nil {
			c.close()
			return
		}
		if n == 0 {
			break
		}
		if used += n; len(args) == 1 {
			c.pendingAnswers = append(c.pendingAnswers, "+PONG\r\n"...)
			continue
		}
		switch len(args) {
		case 2:
			c.pendingAnswers = append(c.pendingAnswers, c.cache.getReply...)
		case 4:
			c.pendingAnswers = append(c.pendingAnswers, c.cache.extendedGetReply...)
		default:
			c.pendingAnswers = append(c.pendingAnswers, c.cache.setReply...)
		}
		c.cache.served.Add(1)
	}
	c.unparsed = append(c.unparsed[:0], c.unparsed[used:]...)
	if c.cache.Delay == 0 {
		c.out = append(c.out, c.pendingAnswers...)
		c.pendingAnswers = c.pendingAnswers[:0]
		c.Writable()
		return
	}
	late := c.pendingAnswers
	c.pendingAnswers = nil
	c.cache.machine.At(c.cache.machine.Now()+c.cache.Delay, func() {
		c.out = append(c.out, late...)
		c.Writable()
	})
}

func (c *cacheConn) close() {
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
		c.close()
		return
	}
	c.out = append(c.out[:0], c.out[n:]...)
}

// Histogram counts times in buckets that are 1/16 apart, from 1 us to over an hour.
type Histogram struct {
	counts [40 * 16]int64
	total  int64
	sum    Time
}

// Add counts one time.
func (h *Histogram) Add(t Time) {
	h.total++
	h.sum += t
	h.counts[bucketOf(t)]++
}

// Join counts the times of another one too.
func (h *Histogram) Join(o *Histogram) {
	h.total += o.total
	h.sum += o.sum
	for i, n := range o.counts {
		h.counts[i] += n
	}
}

func bucketOf(t Time) int {
	if t < 16 {
		return int(max(t, 0))
	}
	e := bits.Len64(uint64(t)) - 5 // t >> e lies in [16, 32)
	return min((e+1)*16+int(t>>e)-16, 40*16-1)
}

// N is how many times there are.
func (h *Histogram) N() int64 { return h.total }

// Mean is their mean.
func (h *Histogram) Mean() float64 { return float64(h.sum) / math.Max(1, float64(h.total)) }

// Quantile is the upper end of the bucket in which the share q of times is reached.
func (h *Histogram) Quantile(q float64) Time {
	left := int64(math.Ceil(q * float64(h.total)))
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
	Connections      int
	Rate             float64 // requests a second over all, in an open loop; 0 for a closed one
	Pipeline         int     // requests that a connection has out at a time, in a closed loop; 0 for 1
	Keys             int
	HotFraction      float64 // share of requests that name one key
	Class            string
	Wait             Time // that a request is given
	Idle             int  // connections beside these that ask once and then never
	Plain            bool // GET KEY, for proxies that know no other commands
	Write            bool // C.SET, of a class whose repeats caches drop
	LatencyObjective Time // in which an answer is in time
}

// Clients ask one server, which may be a router or a plain proxy.
type Clients struct {
	machine      machine.Machine
	options      Options
	addr         string
	idle         int // idle clients that were connected so far
	conns        []*clientConn
	from         Time // answers before it are not counted
	until        Time
	requestsSent int64
	next         int
	rng          uint64

	Latency Histogram
	// Served, Refused and Failed count answers, Broken connections that ended.
	Served, Refused, Failed, Broken int64
	Up                              int
	idleAnswers                     int // idle clients, by the one answer each is owed
	// Of the requests that came in the span: how many there were, how many have an answer, how many of them within
	// Aim, and after their Wait with a little more. Surplus counts answers to nothing.
	Asked, Done, InTime, Overdue, Surplus int64
}

// maxIdleDials is how many idle clients come at once. The danger: more than a listener's queue holds are turned away.
const maxIdleDials = 256

// NewClients connects clients to an address.
func NewClients(m machine.Machine, addr string, o Options) *Clients {
	c := &Clients{machine: m, options: o, addr: addr, rng: 88172645463325252}
	for range o.Connections {
		c.dial(&clientConn{clients: c, in: make([]byte, readSize)})
	}
	for range min(o.Idle, maxIdleDials) {
		c.dialIdle()
	}
	return c
}

// dialIdle connects the next client that asks once.
func (c *Clients) dialIdle() {
	if c.idle < c.options.Idle {
		c.idle++
		c.dial(&clientConn{clients: c, in: make([]byte, 64), idle: true})
	}
}

func (c *Clients) dial(k *clientConn) {
	c.conns = append(c.conns, k)
	c.machine.Dial(c.addr, 5_000_000, func(nc machine.Conn, err error) machine.Handler {
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
	now := c.machine.Now()
	c.from, c.until = now+warm, now+warm+span
	if c.options.Rate > 0 {
		c.arrive(float64(now))
	} else {
		for _, k := range c.conns[:c.options.Connections] {
			for range max(1, c.options.Pipeline) {
				k.sendRequest(now)
			}
		}
	}
	c.machine.At(c.until, done)
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
	for due <= float64(c.machine.Now()) {
		c.conns[c.next%c.options.Connections].sendRequest(Time(due))
		c.next++
		due += 1e6 / c.options.Rate
	}
	if Time(due) < c.until {
		c.machine.At(Time(due), func() { c.arrive(due) })
	}
}

func (c *Clients) random() uint64 {
	c.rng ^= c.rng << 13
	c.rng ^= c.rng >> 7
	c.rng ^= c.rng << 17
	return c.rng
}

type clientConn struct {
	clients        *Clients
	nc             machine.Conn
	in             []byte
	unparsed       []byte
	out            []byte
	outstanding    []Time // of the requests that are out, in order
	idle           bool
	valueBytesLeft int // bytes of a value that are still to come
	answersDue     int // answers that what has come may still hold: requests that were out before it came
}

func (k *clientConn) sendRequest(since Time) {
	c := k.clients
	if k.nc == nil {
		return
	}
	key := uint64(0)
	if c.options.HotFraction == 0 || float64(c.random()>>11)/(1<<53) >= c.options.HotFraction {
		key = 1 + c.random()%uint64(max(1, c.options.Keys))
	}
	c.requestsSent++
	if since >= c.from && since < c.until {
		c.Asked++
	}
	if c.options.Plain {
		b := append(k.out, "*2\r\n$3\r\nGET\r\n"...)
		k.out = redcon.AppendBulkString(b, "key"+strconv.FormatUint(key, 10))
		k.outstanding = append(k.outstanding, since)
		k.Writable()
		return
	}
	verb, words, meta := "C.GET", 4, fmt.Sprintf("c=%s,d=%d", c.options.Class, c.options.Wait/1000)
	id := c.options.Class[:1] + strconv.FormatInt(c.requestsSent, 16) // classes share a router, which wants each id once
	if c.options.Write {
		verb, words, meta = "C.SET", 5, meta+",k="+id
	}
	b := redcon.AppendBulkString(redcon.AppendArray(k.out, words), verb)
	b = redcon.AppendBulkString(b, "key"+strconv.FormatUint(key, 10))
	b = redcon.AppendBulkString(redcon.AppendBulkString(b, id), meta)
	if c.options.Write {
		b = redcon.AppendBulkString(b, "a value to set")
	}
	k.out = b
	k.outstanding = append(k.outstanding, since)
	k.Writable()
}

// Writable sends what is left of requests.
func (k *clientConn) Writable() {
	n, err := k.nc.Write(k.out)
	if err != nil {
		k.clients.Broken++
		k.close()
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
			k.close()
			return
		}
		if k.idle {
			c.idleAnswers++
			c.dialIdle()
		} else {
			k.parse(k.in[:n])
		}
		if k.nc == nil {
			return
		}
	}
}

func (k *clientConn) parse(b []byte) {
	k.answersDue = len(k.outstanding)
	for len(b) > 0 && k.nc != nil {
		if k.valueBytesLeft > 0 {
			n := min(k.valueBytesLeft, len(b))
			b = b[n:]
			if k.valueBytesLeft -= n; k.valueBytesLeft == 0 {
				k.answered(&k.clients.Served)
			}
			continue
		}
		end := 0
		for end < len(b) && b[end] != '\n' {
			end++
		}
		if end == len(b) {
			k.unparsed = append(k.unparsed, b...)
			return
		}
		line := b[:end+1]
		if len(k.unparsed) > 0 {
			k.unparsed = append(k.unparsed, line...)
			line = k.unparsed
		}
		b = b[end+1:]
		switch {
		case line[0] == '$':
			size, _ := strconv.Atoi(string(line[1 : len(line)-2]))
			k.valueBytesLeft = size + 2
		case len(line) > 4 && string(line[:5]) == "-BUSY":
			k.answered(&k.clients.Refused)
		default:
			k.answered(&k.clients.Failed)
		}
		k.unparsed = k.unparsed[:0]
	}
}

// close closes the connection; it asks no more.
func (k *clientConn) close() {
	k.nc.Close()
	k.nc = nil
}

func (k *clientConn) answered(count *int64) {
	c := k.clients
	now := c.machine.Now()
	if k.answersDue == 0 {
		// The danger: more answers than requests, each of which asks again, grow without end.
		c.Failed++
		c.Surplus++
		k.close()
		return
	}
	k.answersDue--
	since := k.outstanding[0]
	k.outstanding = append(k.outstanding[:0], k.outstanding[1:]...)
	if since >= c.from && since < c.until {
		c.Done++
		if now-since <= c.options.LatencyObjective {
			c.InTime++
		}
		if now-since > c.options.Wait+overdueSlack {
			c.Overdue++
		}
	}
	if now >= c.from && now < c.until {
		*count++
		c.Latency.Add(now - since)
	}
	if c.options.Rate == 0 && now < c.until {
		k.sendRequest(now)
	}
}
