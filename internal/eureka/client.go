package eureka

import (
	"log/slog"
	"strings"

	"starlingwinch/internal/endpoints"
	"starlingwinch/internal/httpclient"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/structuredlog"
)

// Values of Options.Delta: when the changes are polled in place of the full list.
const (
	DeltaAuto   = "auto"   // unless one application or virtual address is wanted whose own list is small
	DeltaAlways = "always" // also where one application is wanted: the changes of the others are dropped
	DeltaNever  = "never"
)

// maxDialTime bounds the wait for a connection: a server that has vanished must not delay the call of another one.
const maxDialTime = 400 * millisecond

// Options are the parameters of a Client. Spans must not be 0; see Default.
type Options struct {
	Name                string // of the source
	Servers             []URL  // in the order of preference
	Login               Login
	Application         string // the endpoints are its instances; "" for all applications
	VIP                 string // the endpoints have this virtual address; "" for any
	Delta               string // DeltaAuto, DeltaAlways or DeltaNever
	PollInterval        Time   // between calls, give or take a fifth
	Timeout             Time   // of a call
	MaxBackoff          Time   // between calls to a server that fails
	RetryPreferredAfter Time   // a server that failed is preferred again after that
	FullListInterval    Time   // the full list is fetched at least so often
	MaxBodyBytes        int    // of a response, compressed or not
	Bandwidth           int    // bytes a second of responses: calls are delayed where responses are larger
	LeaseGrace          int    // leases without a renewal after which an instance counts as draining; 0 for never
	MetadataKeys        MetadataKeys
}

// Status is a summary of a Client's calls.
type Status struct {
	Server          string // in use
	AnsweredAt      Time   // the latest usable response; 0 for none
	NewestTimestamp Time   // in the last full list, by the registry's clock
	Calls           int64
	FullCalls       int64 // calls for a full list
	Bytes           int64 // of response bodies, as received
	Failures        int64 // calls that failed
	Mismatches      int64 // deltas that were inconsistent with the list
	Faults          int   // in the last response that had any
}

// Client polls a registry, one call at a time. Use Follow.
type Client struct {
	m       machine.Machine
	options Options
	onEvent func(endpoints.Event)
	logger  *slog.Logger
	login   Login

	servers  []*server
	current  *server // whose list the table holds; nil before the first response
	table    *instanceTable
	lastBody []byte // of the full list that the table holds, as received; nil where it holds something else
	deltas   deltaState

	nextPoll      machine.Timer
	generation    int  // responses to calls of earlier generations are dropped
	callPending   bool // a call is out, or its response is being parsed
	callStartedAt Time // the latest call
	confirming    bool // the next full list is the answer to Confirm
	unavailable   bool // no server can be reached, and that was reported
	stopped       bool

	status       Status
	answeredAt   Time   // the latest usable response
	loggedFaults string // of a list, as last logged
}

// Follow polls a registry until Stop. onEvent gets an endpoints.SourceUpdate for each response and an
// endpoints.SourceUnavailable where no server can be reached. It is never called from within Follow, and may call Confirm and
// Stop.
func Follow(m machine.Machine, o Options, onEvent func(endpoints.Event)) *Client {
	o.Application = strings.ToUpper(o.Application)
	c := &Client{
		m:       m,
		options: o,
		onEvent: onEvent,
		logger:  structuredlog.New(m),
		login:   o.Login,
		table:   newInstanceTable(filter{application: o.Application, vip: o.VIP}, o.LeaseGrace),
		deltas:  deltaState{needFull: true},
	}
	for _, u := range o.Servers {
		bounds := httpclient.Options{DialTimeout: min(maxDialTime, o.Timeout), MaxBodyBytes: o.MaxBodyBytes}
		c.servers = append(c.servers, &server{url: u, client: httpclient.New(m, u.address, bounds)})
	}
	if err := c.login.readPasswordFile(m); err != nil {
		c.logPasswordUnreadable(err)
	}
	c.pollAt(m.Now() + Time(float64(o.PollInterval)*randomFraction(m)))
	return c
}

// Stop ends all calls. onEvent is not called afterwards.
func (c *Client) Stop() {
	c.stopped = true
	c.generation++
	if c.nextPoll != nil {
		c.nextPoll.Stop()
	}
	for _, s := range c.servers {
		s.client.Close()
	}
}

// Confirm fetches the full list at once, from another server where there is one. The event that follows is a SourceUpdate
// with Repeat set, or a SourceUnavailable.
func (c *Client) Confirm() {
	if c.stopped || c.confirming {
		return
	}
	c.deltas.needFull, c.confirming = true, true
	if c.current != nil {
		c.current.avoidUntil = c.m.Now() + c.options.RetryPreferredAfter
	}
	if c.callPending {
		c.callPending = false
		c.generation++
		for _, s := range c.servers {
			s.client.Cancel()
		}
	}
	// The response may lead to the next Confirm: without a pause, these would follow one another without end.
	c.pollAt(max(c.m.Now(), c.callStartedAt+c.options.PollInterval/4))
}

// Status returns a summary of the calls so far.
func (c *Client) Status() Status {
	status := c.status
	if c.current != nil {
		status.Server = c.current.url.String()
	}
	status.AnsweredAt = c.answeredAt
	status.NewestTimestamp = c.table.newestTimestamp
	return status
}

// pollAt schedules the next call.
func (c *Client) pollAt(at Time) {
	if c.nextPoll != nil {
		c.nextPoll.Stop()
	}
	c.nextPoll = c.m.At(at, c.poll)
}
