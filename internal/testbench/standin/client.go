package standin

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/tidwall/redcon"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/rules"
)

// RetryWait says how long clients wait before they try again.
type RetryWait uint8

const (
	NoRetryWait RetryWait = iota
	FixedWait             // always the same
	Exponential           // twice as long each time
)

// Target is a router as the front knows it.
type Target struct{ Name, Addr string }

// ClientOptions describe a group of clients that share a pool of connections.
type ClientOptions struct {
	Zone, Tenant string
	Classes      []Class
	Keys         *Keys

	Rate       float64 // requests a second, with the gaps of a Poisson process
	BurstEvery Time    // from the beginning of one burst to that of the next; 0 for none
	BurstFor   Time
	BurstTimes float64 // the rate meanwhile, as a multiple

	Connections     int     // open at most; 0 stands for 1024
	Pipeline        float64 // share of requests that are put behind another on its connection
	DialTimeout     Time    // 0 stands for 1 s
	CloseRaceWindow Time    // so soon after a request its connection's end had been on its way before; 0 for 5 ms

	Retries                int
	RetryWait              RetryWait
	RetryWaitTime          Time
	RetryAfterCompliance   float64 // share of refusals whose advice is followed
	MaxRetryAfter          Time    // of an advice; 0 stands for 1.5 s
	AttemptTimeoutFraction float64 // a try is given up after this share of the deadline; 0 stands for 1
	EarlyAbandonFraction   float64 // share of tries that are left early
	Grace                  Time    // for which a client listens past the end of its patience; 0 stands for 50 ms
	MarkRetry              bool
	Hints                  bool
	ValueSize              int // of a write's value
	ReadSize               int // told as size, where above 0

	// Routers is the routers that the front deals connections to, now.
	Routers func() []Target
	// Began, where it is not nil, is told of each request as it is made.
	Began func(class *Class)
	// Ended, where it is not nil, is told how each request ended: whether it was served within its aim.
	Ended func(class *Class, asked Time, inAim bool)
}

// Client is a group of clients. It makes requests until Stop, and sees each to its end.
type Client struct {
	m     machine.Machine
	o     ClientOptions
	rng   *rand.Rand
	obs   rules.Observer
	load  *Workload
	tally []*Tally // by class
	share float64  // sum of the classes' shares

	arrival machine.Timer
	began   Time
	conns   []*clientConn
	next    int // router that the front deals to
	open    int // requests that are not over
	closed  bool
}

// NewClient is a group of clients that asks for nothing yet.
func NewClient(m machine.Machine, o ClientOptions, load *Workload, rng *rand.Rand, obs rules.Observer) *Client {
	if o.Connections == 0 {
		o.Connections = 1024
	}
	if o.DialTimeout == 0 {
		o.DialTimeout = Second
	}
	if o.CloseRaceWindow == 0 {
		o.CloseRaceWindow = usualCrossing
	}
	if o.AttemptTimeoutFraction == 0 {
		o.AttemptTimeoutFraction = 1
	}
	if o.Grace == 0 {
		o.Grace = grace
	}
	if o.MaxRetryAfter == 0 {
		o.MaxRetryAfter = 1500 * Millisecond
	}
	c := &Client{m: m, o: o, rng: rng, obs: seen(obs), load: load}
	for _, class := range o.Classes {
		c.tally = append(c.tally, &Tally{Class: class.Name})
		c.share += class.TrafficFraction
	}
	return c
}

// Start begins to make requests.
func (c *Client) Start() {
	c.began = c.m.Now()
	c.await()
}

// Stop makes no more requests. Those under way go on.
func (c *Client) Stop() {
	if c.arrival != nil {
		c.arrival.Stop()
		c.arrival = nil
	}
}

// Close ends the connections, and leaves what is under way.
func (c *Client) Close() {
	c.Stop()
	c.closed = true
	for _, cc := range slices.Clone(c.conns) {
		for _, t := range cc.tries {
			t.left()
			t.req.end(&t.req.tally.Left)
		}
		cc.drop()
	}
}

// SetRate changes the rate.
func (c *Client) SetRate(rate float64) {
	c.o.Rate = rate
	if c.arrival != nil {
		c.arrival.Stop()
		c.await()
	}
}

// Open is the number of requests that are under way.
func (c *Client) Open() int { return c.open }

// Tallies are the counts by class.
func (c *Client) Tallies() []*Tally { return c.tally }

// await draws the next arrival. Arrivals do not wait for answers.
func (c *Client) await() {
	rate, now := c.o.Rate, c.m.Now()
	if c.o.BurstEvery > 0 && (now-c.began)%c.o.BurstEvery < c.o.BurstFor {
		rate *= c.o.BurstTimes
	}
	gap := Time(c.rng.ExpFloat64() / max(rate, 1e-6) * float64(Second))
	c.arrival = c.m.At(now+gap, func() {
		c.await()
		c.Request(c.drawClass(), c.o.Keys.Draw(c.rng))
	})
}

func (c *Client) drawClass() int {
	x := c.rng.Float64() * c.share
	for i, class := range c.o.Classes {
		if x -= class.TrafficFraction; x < 0 {
			return i
		}
	}
	return len(c.o.Classes) - 1
}

// request is what a client wants, over all its tries.
type request struct {
	c      *Client
	class  *Class
	tally  *Tally
	key    string
	idem   string
	asked  Time
	tries  int
	resent int // times that the close of its connection has crossed it
	over   bool
}

// Request makes one request of a class, given by its place.
func (c *Client) Request(class int, key string) {
	r := &request{c: c, class: &c.o.Classes[class], tally: c.tally[class], key: key, asked: c.m.Now()}
	if r.class.Semantics == IdempotentByKey {
		r.idem = fmt.Sprintf("%016x", c.rng.Uint64())
	}
	r.tally.Requests++
	if c.o.Began != nil {
		c.o.Began(r.class)
	}
	r.tally.Offered += r.class.PriorityWeight
	c.open++
	r.try()
}

// hopeless is the time that is left of a request's for which no client tries again.
const hopeless = 50 * Millisecond

// deadline is when the client stops waiting, whatever it has tried.
func (r *request) deadline() Time { return r.asked + r.class.ClientTimeout }

// grace is how much longer than it says a client listens: on sockets each limit of time is as much longer.
const grace = 50 * Millisecond

// try is one writing of a request.
type try struct {
	req      *request
	id       string
	conn     *clientConn
	sent     Time // 0 before
	deadline Time
	giveUp   machine.Timer
	due      machine.Timer // nil where no request stands behind another
	over     bool
}

func (r *request) try() {
	c := r.c
	if c.closed {
		r.end(&r.tally.Left)
		return
	}
	now := c.m.Now()
	r.tries++
	t := &try{req: r, id: fmt.Sprintf("%016x", c.rng.Uint64())}
	t.deadline = min(now+Time(c.o.AttemptTimeoutFraction*float64(r.class.ClientTimeout)), r.deadline())
	until := t.deadline + c.o.Grace
	if chance(c.rng, c.o.EarlyAbandonFraction) {
		until = between(c.rng, now, t.deadline)
	}
	t.giveUp = c.m.At(until, t.givenUp)
	if c.o.Pipeline > 0 {
		t.due = c.m.At(t.deadline, t.behind)
	}
	c.place(t)
}

// again tries once more after a wait, where tries and time are left. Else the request ends as outcome says.
func (r *request) again(wait Time, outcome *int) {
	c := r.c
	at := c.m.Now() + max(wait, r.backoff())
	if r.tries > c.o.Retries || at+hopeless >= r.deadline() {
		r.end(outcome)
		return
	}
	c.m.At(at, r.try)
}

func (r *request) backoff() Time {
	switch r.c.o.RetryWait {
	case FixedWait:
		return r.c.o.RetryWaitTime
	case Exponential:
		return r.c.o.RetryWaitTime << (r.tries - 1)
	}
	return 0
}

func (r *request) end(outcome *int) {
	if r.over {
		return
	}
	r.over = true
	r.c.open--
	*outcome++
	if r.c.o.Ended != nil {
		r.c.o.Ended(r.class, r.asked, outcome == &r.tally.OnTime)
	}
}

// served ends a request with the answer it wanted.
func (r *request) served() {
	took := r.c.m.Now() - r.asked
	r.tally.Latency.Add(took)
	if took <= r.class.LatencyObjective {
		r.tally.Earned += r.class.PriorityWeight
		r.end(&r.tally.OnTime)
		return
	}
	r.tally.Earned += r.class.PriorityWeight * r.class.LateWeightFraction
	r.end(&r.tally.Late)
}

// words are the request as it is written, with what the client will wait from now on.
func (t *try) words(now Time) []byte {
	r, o := t.req, &t.req.c.o
	verb, n := "C.GET", valueArg
	if r.class.Write {
		verb, n = "C.SET", valueArg+1
	}
	meta := "c=" + r.class.Name + ",t=" + o.Tenant + ",d=" + strconv.FormatInt(max(1, (t.deadline-now)/Millisecond), 10)
	if r.idem != "" {
		meta += ",k=" + r.idem
	}
	if o.MarkRetry && r.tries > 1 {
		meta += ",r=1"
	}
	if o.Hints {
		meta += ",h=" + strconv.FormatInt(r.c.load.Of(r.class.Name, t.id), 10)
	}
	if o.ReadSize > 0 && !r.class.Write {
		meta += ",size=" + strconv.Itoa(o.ReadSize)
	}
	b := redcon.AppendArray(nil, n)
	for _, word := range []string{verb, r.key, t.id, meta} {
		b = redcon.AppendBulkString(b, word)
	}
	if r.class.Write {
		b = redcon.AppendBulkString(b, Value("p", t.id, r.key, o.ValueSize))
	}
	return b
}

// end takes the try off its connection's books.
func (t *try) end() {
	t.over = true
	t.giveUp.Stop()
	if t.due != nil {
		t.due.Stop()
	}
}

// behind is called at the deadline. A request that stands behind others waits for as long as they may take.
func (t *try) behind() {
	if t.sent == 0 || t.conn == nil || t.conn.tries[0] == t {
		return
	}
	// All of them, not the last alone: where two are due at one instant, the other's time may not have been moved yet.
	latest := t.deadline
	for _, before := range t.conn.tries[:slices.Index(t.conn.tries, t)] {
		latest = max(latest, before.deadline)
	}
	if latest <= t.deadline {
		return
	}
	t.deadline = latest
	t.req.c.obs.Behind(t.req.c.m.Now(), t.id, t.deadline)
	t.giveUp.Stop()
	t.giveUp = t.req.c.m.At(t.deadline+t.req.c.o.Grace, t.givenUp)
	t.due = t.req.c.m.At(t.deadline, t.behind)
}

// left reports that the client waits no more.
func (t *try) left() {
	t.end()
	if t.sent != 0 {
		t.req.c.obs.Left(t.req.c.m.Now(), t.id)
	}
}

// givenUp is called when the client has waited long enough. It closes the connection: what else is on
// it is asked once more on another.
func (t *try) givenUp() {
	if t.over {
		return
	}
	r, cc := t.req, t.conn
	t.left()
	outcome := &r.tally.Left
	if r.c.m.Now() >= t.deadline {
		outcome = &r.tally.Lost
	}
	if cc != nil {
		cc.tries = without(cc.tries, t)
		others := cc.tries
		cc.drop()
		for _, other := range others {
			other.move()
		}
	}
	r.again(0, outcome)
}

// move writes the request once more, on another connection and under another id: the client has closed
// this one, or the router has before it read the request.
func (t *try) move() {
	t.left()
	if t.req.c.m.Now()+hopeless >= t.deadline {
		t.req.end(&t.req.tally.Left)
		return
	}
	t.req.tries--
	t.req.try()
}

// answered is called with the answer.
func (t *try) answered(a answer) {
	r, c := t.req, t.req.c
	t.end()
	c.obs.Answered(c.m.Now(), t.id, a.kind, a.value)
	switch a.kind {
	case rules.Served:
		r.served()
	case rules.Refused:
		wait := Time(0)
		if a.wait > 0 && chance(c.rng, c.o.RetryAfterCompliance) {
			wait = min(a.wait, c.o.MaxRetryAfter)
		}
		r.again(wait, &r.tally.Rejected)
	default:
		r.again(0, &r.tally.Failed)
	}
}
