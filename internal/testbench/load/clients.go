package load

import "starlingwinch/internal/machine"

const (
	dialTimeout Time = 5_000_000 // µs
	// initialSeed is the initial state of the random number generator of each Clients; xorshift64 needs a state other than 0.
	initialSeed uint64 = 88172645463325252
)

// Clients is a group of clients that send requests to one server, which may be a router or a plain proxy.
type Clients struct {
	machine      machine.Machine
	options      Options
	addr         string
	idle         int // idle clients that were dialed so far
	conns        []*clientConn
	from         Time // start of the measured span; earlier answers are not counted
	until        Time // end of the measured span
	requestsSent int64
	next         int // connection of the open loop's next request
	rng          uint64

	Latency Histogram
	// Served, Refused and Failed count answers; Broken counts connections that failed or ended.
	Served, Refused, Failed, Broken int64
	Up                              int // connections that were established
	idleAnswers                     int // answers to idle clients; each idle client expects one
	// Asked counts the requests of the measured span; Done the answered requests among them; InTime those answered within
	// the latency objective; Overdue those answered later than Wait plus overdueSlack. Surplus counts answers without a request.
	Asked, Done, InTime, Overdue, Surplus int64
}

// maxIdleDials is the number of idle clients that connect at once; a listener rejects more connections than its queue holds.
const maxIdleDials = 256

// NewClients connects clients to an address.
func NewClients(m machine.Machine, addr string, o Options) *Clients {
	c := &Clients{machine: m, options: o, addr: addr, rng: initialSeed}
	for range o.Connections {
		c.dial(&clientConn{clients: c, in: make([]byte, readSize)})
	}
	for range min(o.Idle, maxIdleDials) {
		c.dialIdle()
	}
	return c
}

// dialIdle connects the next idle client, which sends one request.
func (c *Clients) dialIdle() {
	if c.idle < c.options.Idle {
		c.idle++
		c.dial(&clientConn{clients: c, in: make([]byte, 64), idle: true})
	}
}

// dial connects a client.
func (c *Clients) dial(k *clientConn) {
	c.conns = append(c.conns, k)
	c.machine.Dial(c.addr, dialTimeout, func(nc machine.Conn, err error) machine.Handler {
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

// Run makes the clients send requests for a warm-up that is not counted and then for a measured span, and calls done at the end.
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

// Close closes the connections.
func (c *Clients) Close() {
	for _, k := range c.conns {
		if k.nc != nil {
			k.nc.Close()
		}
	}
}

// arrive sends the requests of an open loop that are due. The latency of each request counts from the instant it was due.
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

// random returns a pseudorandom number (xorshift64).
func (c *Clients) random() uint64 {
	c.rng ^= c.rng << 13
	c.rng ^= c.rng >> 7
	c.rng ^= c.rng << 17
	return c.rng
}
