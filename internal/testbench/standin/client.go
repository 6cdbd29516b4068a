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

// RetryWait is the clients' policy for the wait before a retry.
type RetryWait uint8

const (
	// NoRetryWait retries at once.
	NoRetryWait RetryWait = iota
	// FixedWait waits for the same time before each retry.
	FixedWait
	// Exponential doubles the wait with each retry.
	Exponential
)

// Target is a router that clients connect to.
type Target struct {
	Name string // the router's name
	Addr string // address that the router listens on
}

// ClientOptions describe a load client: a group of users that share a pool of connections.
type ClientOptions struct {
	Zone    string  // of the clients
	Tenant  string  // value of t in each request's metadata
	Classes []Class // classes from which requests are drawn
	Keys    *Keys   // keys from which requests are drawn

	Rate       float64 // mean arrivals per second, a Poisson process
	BurstEvery Time    // interval between the starts of two bursts; 0 for no bursts
	BurstFor   Time    // length of a burst
	BurstTimes float64 // factor of Rate during a burst

	Connections     int     // maximum of open connections; 0 stands for 1024
	Pipeline        float64 // fraction of requests that are pipelined behind another one
	DialTimeout     Time    // 0 stands for 1 s
	CloseRaceWindow Time    // if a connection ends this soon after a request was sent, the router is taken not to have read it; 0 stands for 5 ms

	Retries                int       // maximum number of retries after the first attempt
	RetryWait              RetryWait // how the wait before a retry grows
	RetryWaitTime          Time      // wait before the first retry
	RetryAfterCompliance   float64   // fraction of rejections whose retry-after is followed
	MaxRetryAfter          Time      // longest retry-after that is followed; 0 stands for 1.5 s
	AttemptTimeoutFraction float64   // timeout of an attempt as a fraction of the client timeout; 0 stands for 1
	EarlyAbandonFraction   float64   // fraction of attempts that the client abandons before their timeout
	Grace                  Time      // how long after its timeout a client still accepts a reply; 0 stands for 50 ms
	MarkRetry              bool      // retries carry r=1
	Hints                  bool      // requests carry their work as h
	ValueSize              int       // size of a write's value in bytes
	ReadSize               int       // value size that each read requests, if above 0

	// Routers returns the routers that currently accept connections.
	Routers func() []Target
	// Began, if not nil, is called when a request is made.
	Began func(class *Class)
	// Ended, if not nil, is called when a request ends; inTime reports whether the request was served within its latency objective.
	Ended func(class *Class, asked Time, inTime bool)
}

// Client is a load client. It makes requests until Stop, and completes the requests in flight after that.
type Client struct {
	m            machine.Machine
	options      ClientOptions
	rng          *rand.Rand
	observer     rules.Observer
	workload     *Workload
	tallies      []*Tally // by class
	totalTraffic float64  // sum of the classes' traffic fractions

	arrival      machine.Timer // timer of the next arrival; nil while stopped
	startedAt    Time
	conns        []*clientConn
	nextRouter   int // round-robin index of the router for the next connection
	openRequests int // number of unfinished requests
	closed       bool
}

// Defaults of ClientOptions.
const (
	defaultClientConnections = 1024
	defaultMaxRetryAfter     = 1500 * Millisecond
)

// NewClient returns a stopped load client.
func NewClient(m machine.Machine, o ClientOptions, load *Workload, rng *rand.Rand, obs rules.Observer) *Client {
	if o.Connections == 0 {
		o.Connections = defaultClientConnections
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
		o.MaxRetryAfter = defaultMaxRetryAfter
	}
	c := &Client{m: m, options: o, rng: rng, observer: observerOrBlind(obs), workload: load}
	for _, class := range o.Classes {
		c.tallies = append(c.tallies, &Tally{Class: class.Name})
		c.totalTraffic += class.TrafficFraction
	}
	return c
}

// Start begins to make requests at the configured rate.
func (c *Client) Start() {
	c.startedAt = c.m.Now()
	c.scheduleArrival()
}

// Stop ends the arrivals. Requests in flight continue.
func (c *Client) Stop() {
	if c.arrival != nil {
		c.arrival.Stop()
		c.arrival = nil
	}
}

// Close abandons all requests and closes the connections.
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

// SetRate changes the rate of arrivals, with immediate effect.
func (c *Client) SetRate(rate float64) {
	c.options.Rate = rate
	if c.arrival != nil {
		c.arrival.Stop()
		c.scheduleArrival()
	}
}

// Open returns the number of requests in flight.
func (c *Client) Open() int { return c.openRequests }

// Tallies returns the counts by class.
func (c *Client) Tallies() []*Tally { return c.tallies }

// minRate is the minimum rate of arrivals in requests per second. It keeps the interval between arrivals finite.
const minRate = 1e-6

// scheduleArrival draws the time of the next arrival. Arrivals form an open loop: they do not wait for replies.
func (c *Client) scheduleArrival() {
	rate, now := c.options.Rate, c.m.Now()
	if c.options.BurstEvery > 0 && (now-c.startedAt)%c.options.BurstEvery < c.options.BurstFor {
		rate *= c.options.BurstTimes
	}
	gap := Time(c.rng.ExpFloat64() / max(rate, minRate) * float64(Second))
	c.arrival = c.m.At(now+gap, func() {
		c.scheduleArrival()
		c.Request(c.drawClass(), c.options.Keys.Draw(c.rng))
	})
}

// drawClass draws the index of a class by the traffic fractions.
func (c *Client) drawClass() int {
	x := c.rng.Float64() * c.totalTraffic
	for i, class := range c.options.Classes {
		x -= class.TrafficFraction
		if x < 0 {
			return i
		}
	}
	return len(c.options.Classes) - 1
}

// request is a client's request with all its attempts.
type request struct {
	client         *Client
	class          *Class
	tally          *Tally // of its class
	key            string
	idempotencyKey string // empty unless the class is IdempotentByKey
	createdAt      Time   // when it was made
	attempts       int    // number of attempts so far, without resends
	resends        int    // resends because the router closed the connection before it read the request
	finished       bool
}

// Request makes one request for a key; class is an index of ClientOptions.Classes.
func (c *Client) Request(class int, key string) {
	r := &request{client: c, class: &c.options.Classes[class], tally: c.tallies[class], key: key, createdAt: c.m.Now()}
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

// minAttemptTime is the minimum time before the client timeout that another attempt needs.
const minAttemptTime = 50 * Millisecond

// deadline returns when the client timeout, which covers all attempts, expires.
func (r *request) deadline() Time { return r.createdAt + r.class.ClientTimeout }

// defaultGrace is how long after its timeout a client still accepts a reply, because timers on real sockets may be late.
const defaultGrace = 50 * Millisecond

// clientAttempt is one attempt of a request, at one router.
type clientAttempt struct {
	request       *request
	id            string
	conn          *clientConn   // nil while no connection is assigned
	sentAt        Time          // 0 until the attempt is sent
	deadline      Time          // deadline that the router is sent
	abandonTimer  machine.Timer // abandons the attempt
	deadlineTimer machine.Timer // extends the deadline of a pipelined attempt; nil without pipelining
	finished      bool
}

// startAttempt makes an attempt with a new id and assigns a connection to it.
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

// retry makes another attempt after a wait. If no retries or too little time remain, the request ends and is counted at outcome.
func (r *request) retry(wait Time, outcome *int) {
	c := r.client
	at := c.m.Now() + max(wait, r.backoff())
	if r.attempts > c.options.Retries || at+minAttemptTime >= r.deadline() {
		r.finish(outcome)
		return
	}
	c.m.At(at, r.startAttempt)
}

// backoff returns the wait before the next attempt.
func (r *request) backoff() Time {
	switch r.client.options.RetryWait {
	case FixedWait:
		return r.client.options.RetryWaitTime
	case Exponential:
		return r.client.options.RetryWaitTime << (r.attempts - 1)
	}
	return 0
}

// finish ends the request and counts it at outcome.
func (r *request) finish(outcome *int) {
	if r.finished {
		return
	}
	r.finished = true
	r.client.openRequests--
	*outcome++
	if r.client.options.Ended != nil {
		r.client.options.Ended(r.class, r.createdAt, outcome == &r.tally.OnTime)
	}
}

// served ends a request that was served, and counts its points.
func (r *request) served() {
	took := r.client.m.Now() - r.createdAt
	r.tally.Latency.Add(took)
	if took <= r.class.LatencyObjective {
		r.tally.Earned += r.class.PriorityWeight
		r.finish(&r.tally.OnTime)
		return
	}
	r.tally.Earned += r.class.PriorityWeight * r.class.LateWeightFraction
	r.finish(&r.tally.Late)
}

// encode returns the command to write at now, with the remaining time as d.
func (t *clientAttempt) encode(now Time) []byte {
	r, o := t.request, &t.request.client.options
	verb, n := "C.GET", valueArg
	if r.class.Write {
		verb, n = "C.SET", valueArg+1
	}
	metadata := "c=" + r.class.Name + ",t=" + o.Tenant + ",d=" + strconv.FormatInt(max(1, (t.deadline-now)/Millisecond), 10)
	if r.idempotencyKey != "" {
		metadata += ",k=" + r.idempotencyKey
	}
	if o.MarkRetry && r.attempts > 1 {
		metadata += ",r=1"
	}
	if o.Hints {
		metadata += ",h=" + strconv.FormatInt(r.client.workload.Of(r.class.Name, t.id), 10)
	}
	if o.ReadSize > 0 && !r.class.Write {
		metadata += ",size=" + strconv.Itoa(o.ReadSize)
	}
	b := redcon.AppendArray(nil, n)
	for _, argument := range []string{verb, r.key, t.id, metadata} {
		b = redcon.AppendBulkString(b, argument)
	}
	if r.class.Write {
		b = redcon.AppendBulkString(b, Value("p", t.id, r.key, o.ValueSize))
	}
	return b
}

// stop ends the attempt and its timers.
func (t *clientAttempt) stop() {
	t.finished = true
	t.abandonTimer.Stop()
	if t.deadlineTimer != nil {
		t.deadlineTimer.Stop()
	}
}

// extendDeadline is called at the deadline. It extends a pipelined attempt's deadline to the latest of the attempts before it.
func (t *clientAttempt) extendDeadline() {
	if t.sentAt == 0 || t.conn == nil || t.conn.attempts[0] == t {
		return
	}
	// The previous attempt may be due at the same instant without an extended deadline yet, so all attempts are compared.
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

// leave ends the attempt and reports that the client no longer waits for it.
func (t *clientAttempt) leave() {
	t.stop()
	if t.sentAt != 0 {
		t.request.client.observer.Left(t.request.client.m.Now(), t.id)
	}
}

// abandon is called when the client stops waiting. It closes the connection and resends the other attempts that wait on it
// on another connection.
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

// resend sends the request once more, on another connection and under another id, after the client has closed this
// connection, or the router has closed it before reading the request. It does not count as a retry.
func (t *clientAttempt) resend() {
	t.leave()
	if t.request.client.m.Now()+minAttemptTime >= t.deadline {
		t.request.finish(&t.request.tally.Left)
		return
	}
	t.request.attempts--
	t.request.startAttempt()
}

// handleReply ends the attempt with a reply, and retries or finishes the request.
func (t *clientAttempt) handleReply(reply clientReply) {
	r, c := t.request, t.request.client
	t.stop()
	c.observer.Answered(c.m.Now(), t.id, reply.kind, reply.value)
	switch reply.kind {
	case rules.Served:
		r.served()
	case rules.Refused:
		wait := Time(0)
		if reply.retryAfter > 0 && chance(c.rng, c.options.RetryAfterCompliance) {
			wait = min(reply.retryAfter, c.options.MaxRetryAfter)
		}
		r.retry(wait, &r.tally.Rejected)
	default:
		r.retry(0, &r.tally.Failed)
	}
}
