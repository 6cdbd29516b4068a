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
	m            machine.Machine
	options      ClientOptions
	rng          *rand.Rand
	observer     rules.Observer
	workload     *Workload
	tallies      []*Tally // by class
	totalTraffic float64  // sum of the classes' shares

	arrival      machine.Timer
	startedAt    Time
	conns        []*clientConn
	nextRouter   int // router that the front deals to
	openRequests int // requests that are not over
	closed       bool
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
		o.CloseRaceWindow = defaultCloseRaceWindow
	}
	if o.AttemptTimeoutFraction == 0 {
		o.AttemptTimeoutFraction = 1
	}
	if o.Grace == 0 {
		o.Grace = defaultGrace
	}
	if o.MaxRetryAfter == 0 {
		o.MaxRetryAfter = 1500 * Millisecond
	}
	c := &Client{m: m, options: o, rng: rng, observer: observerOrBlind(obs), workload: load}
	for _, class := range o.Classes {
		c.tallies = append(c.tallies, &Tally{Class: class.Name})
		c.totalTraffic += class.TrafficFraction
	}
	return c
}

// Start begins to make requests.
func (c *Client) Start() {
	c.startedAt = c.m.Now()
	c.scheduleArrival()
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
		for _, t := range cc.attempts {
			t.leave()
			t.request.finish(&t.request.tally.Left)
		}
		cc.drop()
	}
}

// SetRate changes the rate.
func (c *Client) SetRate(rate float64) {
	c.options.Rate = rate
	if c.arrival != nil {
		c.arrival.Stop()
		c.scheduleArrival()
	}
}

// Open is the number of requests that are under way.
func (c *Client) Open() int { return c.openRequests }

// Tallies are the counts by class.
func (c *Client) Tallies() []*Tally { return c.tallies }

// scheduleArrival draws the next arrival. Arrivals do not wait for answers.
func (c *Client) scheduleArrival() {
	rate, now := c.options.Rate, c.m.Now()
	if c.options.BurstEvery > 0 && (now-c.startedAt)%c.options.BurstEvery < c.options.BurstFor {
		rate *= c.options.BurstTimes
	}
	gap := Time(c.rng.ExpFloat64() / max(rate, 1e-6) * float64(Second))
	c.arrival = c.m.At(now+gap, func() {
		c.scheduleArrival()
		c.Request(c.drawClass(), c.options.Keys.Draw(c.rng))
	})
}

func (c *Client) drawClass() int {
	x := c.rng.Float64() * c.totalTraffic
	for i, class := range c.options.Classes {
		if x -= class.TrafficFraction; x < 0 {
			return i
		}
	}
	return len(c.options.Classes) - 1
}

// request is what a client wants, over all its tries.
type request struct {
	client         *Client
	class          *Class
	tally          *Tally
	key            string
	idempotencyKey string
	askedAt        Time
	attempts       int
	resends        int // times that the close of its connection has crossed it
	finished       bool
}

// Request makes one request of a class, given by its place.
func (c *Client) Request(class int, key string) {
	r := &request{client: c, class: &c.options.Classes[class], tally: c.tallies[class], key: key, askedAt: c.m.Now()}
	if r.class.Semantics == IdempotentByKey {
		r.idempotencyKey = fmt.Sprintf("%016x", c.rng.Uint64())
	}
	r.tally.Requests++
	if c.options.Began != nil {
		c.options.Began(r.class)
	}
	r.tally.Offered += r.class.PriorityWeight
	c.openRequests++
	r.startAttempt()
}

// minAttemptTime is the time that is left of a request's for which no client tries again.
const minAttemptTime = 50 * Millisecond

// deadline is when the client stops waiting, whatever it has tried.
func (r *request) deadline() Time { return r.askedAt + r.class.ClientTimeout }

// defaultGrace is how much longer than it says a client listens: on sockets each limit of time is as much longer.
const defaultGrace = 50 * Millisecond

// clientAttempt is one writing of a request.
type clientAttempt struct {
	request       *request
	id            string
	conn          *clientConn
	sentAt        Time // 0 before
	deadline      Time
	abandonTimer  machine.Timer
	deadlineTimer machine.Timer // nil where no request stands behind another
	finished      bool
}

func (r *request) startAttempt() {
	c := r.client
	if c.closed {
		r.finish(&r.tally.Left)
		return
	}
	now := c.m.Now()
	r.attempts++
	t := &clientAttempt{request: r, id: fmt.Sprintf("%016x", c.rng.Uint64())}
	t.deadline = min(now+Time(c.options.AttemptTimeoutFraction*float64(r.class.ClientTimeout)), r.deadline())
	until := t.deadline + c.options.Grace
	if chance(c.rng, c.options.EarlyAbandonFraction) {
		until = between(c.rng, now, t.deadline)
	}
	t.abandonTimer = c.m.At(until, t.abandon)
	if c.options.Pipeline > 0 {
		t.deadlineTimer = c.m.At(t.deadline, t.extendDeadline)
	}
	c.assign(t)
}

// retry tries once more after a wait, where tries and time are left. Else the request ends as outcome says.
func (r *request) retry(wait Time, outcome *int) {
	c := r.client
	at := c.m.Now() + max(wait, r.backoff())
	if r.attempts > c.options.Retries || at+minAttemptTime >= r.deadline() {
		r.finish(outcome)
		return
	}
	c.m.At(at, r.startAttempt)
}

func (r *request) backoff() Time {
	switch r.client.options.RetryWait {
	case FixedWait:
		return r.client.options.RetryWaitTime
	case Exponential:
		return r.client.options.RetryWaitTime << (r.attempts - 1)
	}
	return 0
}

func (r *request) finish(outcome *int) {
	if r.finished {
		return
	}
	r.finished = true
	r.client.openRequests--
	*outcome++
	if r.client.options.Ended != nil {
		r.client.options.Ended(r.class, r.askedAt, outcome == &r.tally.OnTime)
	}
}

// served ends a request with the answer it wanted.
func (r *request) served() {
	took := r.client.m.Now() - r.askedAt
	r.tally.Latency.Add(took)
	if took <= r.class.LatencyObjective {
		r.tally.Earned += r.class.PriorityWeight
		r.finish(&r.tally.OnTime)
		return
	}
	r.tally.Earned += r.class.PriorityWeight * r.class.LateWeightFraction
	r.finish(&r.tally.Late)
}

// encode are the request as it is written, with what the client will wait from now on.
func (t *clientAttempt) encode(now Time) []byte {
	r, o := t.request, &t.request.client.options
	verb, n := "C.GET", valueArg
	if r.class.Write {
		verb, n = "C.SET", valueArg+1
	}
	meta := "c=" + r.class.Name + ",t=" + o.Tenant + ",d=" + strconv.FormatInt(max(1, (t.deadline-now)/Millisecond), 10)
	if r.idempotencyKey != "" {
		meta += ",k=" + r.idempotencyKey
	}
	if o.MarkRetry && r.attempts > 1 {
		meta += ",r=1"
	}
	if o.Hints {
		meta += ",h=" + strconv.FormatInt(r.client.workload.Of(r.class.Name, t.id), 10)
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

// stop takes the try off its connection's books.
func (t *clientAttempt) stop() {
	t.finished = true
	t.abandonTimer.Stop()
	if t.deadlineTimer != nil {
		t.deadlineTimer.Stop()
	}
}

// extendDeadline is called at the deadline. A request that stands behind others waits for as long as they may take.
func (t *clientAttempt) extendDeadline() {
	if t.sentAt == 0 || t.conn == nil || t.conn.attempts[0] == t {
		return
	}
	// All of them, not the last alone: where two are due at one instant, the other's time may not have been moved yet.
	latest := t.deadline
	for _, before := range t.conn.attempts[:slices.Index(t.conn.attempts, t)] {
		latest = max(latest, before.deadline)
	}
	if latest <= t.deadline {
		return
	}
	t.deadline = latest
	t.request.client.observer.Behind(t.request.client.m.Now(), t.id, t.deadline)
	t.abandonTimer.Stop()
	t.abandonTimer = t.request.client.m.At(t.deadline+t.request.client.options.Grace, t.abandon)
	t.deadlineTimer = t.request.client.m.At(t.deadline, t.extendDeadline)
}

// leave reports that the client waits no more.
func (t *clientAttempt) leave() {
	t.stop()
	if t.sentAt != 0 {
		t.request.client.observer.Left(t.request.client.m.Now(), t.id)
	}
}

// abandon is called when the client has waited long enough. It closes the connection: what else is on
// it is asked once more on another.
func (t *clientAttempt) abandon() {
	if t.finished {
		return
	}
	r, cc := t.request, t.conn
	t.leave()
	outcome := &r.tally.Left
	if r.client.m.Now() >= t.deadline {
		outcome = &r.tally.Lost
	}
	if cc != nil {
		cc.attempts = removeFirst(cc.attempts, t)
		others := cc.attempts
		cc.drop()
		for _, other := range others {
			other.resend()
		}
	}
	r.retry(0, outcome)
}

// resend writes the request once more, on another connection and under another id: the client has closed
// this one, or the router has before it read the request.
func (t *clientAttempt) resend() {
	t.leave()
	if t.request.client.m.Now()+minAttemptTime >= t.deadline {
		t.request.finish(&t.request.tally.Left)
		return
	}
	t.request.attempts--
	t.request.startAttempt()
}

// handleReply is called with the answer.
func (t *clientAttempt) handleReply(a clientReply) {
	r, c := t.request, t.request.client
	t.stop()
	c.observer.Answered(c.m.Now(), t.id, a.kind, a.value)
	switch a.kind {
	case rules.Served:
		r.served()
	case rules.Refused:
		wait := Time(0)
		if a.retryAfter > 0 && chance(c.rng, c.options.RetryAfterCompliance) {
			wait = min(a.retryAfter, c.options.MaxRetryAfter)
		}
		r.retry(wait, &r.tally.Rejected)
	default:
		r.retry(0, &r.tally.Failed)
	}
}
