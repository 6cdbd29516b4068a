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

// RetryWait says how long clients wait before they retry.
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
	Name string // of the router
	Addr string // that it listens on
}

// ClientOptions describe a load client: a group of users that share a pool of connections.
type ClientOptions struct {
	Zone    string  // of the clients
	Tenant  string  // t of each request
	Classes []Class // that requests are drawn from
	Keys    *Keys   // that requests are drawn from

	Rate       float64 // requests a second, of a Poisson process
	BurstEvery Time    // from the beginning of one burst to that of the next; 0 for no bursts
	BurstFor   Time    // length of a burst
	BurstTimes float64 // rate in a burst, as a multiple of Rate

	Connections     int     // open at once; 0 stands for 1024
	Pipeline        float64 // fraction of requests that are pipelined behind another one
	DialTimeout     Time    // 0 stands for 1 s
	CloseRaceWindow Time    // a connection that ends so soon after a request was closed before it was read; 0 stands for 5 ms

	Retries                int       // after the first attempt
	RetryWait              RetryWait // how the wait before a retry grows
	RetryWaitTime          Time      // the first of these waits
	RetryAfterCompliance   float64   // fraction of rejections whose retry-after is followed
	MaxRetryAfter          Time      // longest retry-after that is followed; 0 stands for 1.5 s
	AttemptTimeoutFraction float64   // of the client timeout, for one attempt; 0 stands for 1
	EarlyAbandonFraction   float64   // fraction of attempts that the client leaves before their timeout
	Grace                  Time      // a client listens so much longer than its timeout; 0 stands for 50 ms
	MarkRetry              bool      // retries carry r=1
	Hints                  bool      // requests carry h, their work
	ValueSize              int       // of a write's value, in bytes
	ReadSize               int       // size of each read, where above 0

	// Routers returns the routers that take connections now.
	Routers func() []Target
	// Began, where it is not nil, is called for each request as it is made.
	Began func(class *Class)
	// Ended, where it is not nil, is called as a request ends; inTime says whether it was served within its objective.
	Ended func(class *Class, asked Time, inTime bool)
}

// Client is a load client. It makes requests until Stop, and sees each to its end.
type Client struct {
	m            machine.Machine
	options      ClientOptions
	rng          *rand.Rand
	observer     rules.Observer
	workload     *Workload
	tallies      []*Tally // by class
	totalTraffic float64  // sum of the classes' traffic fractions

	arrival      machine.Timer // of the next request; nil while stopped
	startedAt    Time
	conns        []*clientConn
	nextRouter   int // connections are dealt to the routers in turn
	openRequests int // requests that are not finished
	closed       bool
}

// Defaults of ClientOptions.
const (
	defaultClientConnections = 1024
	defaultMaxRetryAfter     = 1500 * Millisecond
)

// NewClient returns a load client that is not started yet.
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

// Stop ends the arrivals. Requests under way go on.
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

// SetRate changes the rate of arrivals from now on.
func (c *Client) SetRate(rate float64) {
	c.options.Rate = rate
	if c.arrival != nil {
		c.arrival.Stop()
		c.scheduleArrival()
	}
}

// Open returns the number of requests under way.
func (c *Client) Open() int { return c.openRequests }

// Tallies returns the counts by class.
func (c *Client) Tallies() []*Tally { return c.tallies }

// minRate is the least rate of arrivals, in requests a second, so that the gap is finite.
const minRate = 1e-6

// scheduleArrival draws the next arrival. Arrivals do not wait for replies.
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

// drawClass draws the place of a class by the traffic fractions.
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

// request is a request of a client over all its attempts.
type request struct {
	client         *Client
	class          *Class
	tally          *Tally // of its class
	key            string
	idempotencyKey string // empty unless the class is IdempotentByKey
	createdAt      Time   // when it was made
	attempts       int    // so far, resent ones not counted
	resends        int    // times that the router closed the connection before it read the request
	finished       bool
}

// Request makes one request for a key, of the class at a place of ClientOptions.Classes.
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

// minAttemptTime is how much of its timeout a request must have left for another attempt.
const minAttemptTime = 50 * Millisecond

// deadline returns when the client gives up, over all attempts.
func (r *request) deadline() Time { return r.createdAt + r.class.ClientTimeout }

// defaultGrace is how much longer than its timeout a client listens, as timers on real sockets may be late.
const defaultGrace = 50 * Millisecond

// clientAttempt is one sending of a request to one router.
type clientAttempt struct {
	request       *request
	id            string
	conn          *clientConn   // nil while it has none
	sentAt        Time          // 0 before
	deadline      Time          // as the router is told
	abandonTimer  machine.Timer // ends the client's patience
	deadlineTimer machine.Timer // extends the deadline of a pipelined attempt; nil without pipelining
	finished      bool
}

// startAttempt makes an attempt under a new id and assigns it to a connection.
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

// retry makes another attempt after a wait. Without retries or time left the request ends, counted at outcome.
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

// served ends a request that has its value, and counts the points for it.
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

// encode returns the command as it is written at an instant, with the time that is left as d.
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

// extendDeadline is called at the deadline. A pipelined attempt waits for as long as those before it may take.
func (t *clientAttempt) extendDeadline() {
	if t.sentAt == 0 || t.conn == nil || t.conn.attempts[0] == t {
		return
	}
	// The one before may be due at the same instant, with its deadline not extended yet, so that all are compared.
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

// leave ends the attempt and reports that its client waits no more.
func (t *clientAttempt) leave() {
	t.stop()
	if t.sentAt != 0 {
		t.request.client.observer.Left(t.request.client.m.Now(), t.id)
	}
}

// abandon is called when the client has waited long enough. It closes the connection and sends what else waits on it
// once more on another one.
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
// one, or the router has before it read the request. It does not count as a retry.
func (t *clientAttempt) resend() {
	t.leave()
	if t.request.client.m.Now()+minAttemptTime >= t.deadline {
		t.request.finish(&t.request.tally.Left)
		return
	}
	t.request.attempts--
	t.request.startAttempt()
}

// handleReply is called with the reply.
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
