package eureka

import (
	"log/slog"
	"strings"

	"starlingwinch/internal/endpoints"
	"starlingwinch/internal/httpclient"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/structuredlog"
)

// Values of Options.Delta: when the client polls for deltas in place of the full list.
const (
	DeltaAuto   = "auto"   // unless the list is filtered by application or virtual address and the filtered list is small
	DeltaAlways = "always" // even if the list is filtered; changes of other instances are discarded
	DeltaNever  = "never"
)

// maxDialTime bounds the time to connect, so that an unreachable server doesn't delay the call to another server.
const maxDialTime = 400 * millisecond

// Options are the parameters of a Client. Durations must not be 0; see Default.
type Options struct {
	Name                string // of the source
	Servers             []URL  // in order of preference
	Login               Login
	Application         string // selects the instances of this application; "" for all applications
	VIP                 string // selects the instances with this virtual address; "" for any
	Delta               string // DeltaAuto, DeltaAlways or DeltaNever
	PollInterval        Time   // mean time between calls, jittered by up to a fifth either way
	Timeout             Time   // of a call
	MaxBackoff          Time   // longest time between calls to a failing server
	RetryPreferredAfter Time   // mean time after which a failed server is preferred again
	FullListInterval    Time   // longest time between full lists
	MaxBodyBytes        int    // of a response, both compressed and decompressed
	Bandwidth           int    // response bytes per second; large responses delay the next call
	LeaseGrace          int    // lease durations without a renewal after which an instance counts as draining; 0 for never
	MetadataKeys        MetadataKeys
}

// Status is a summary of a Client's calls.
type Status struct {
	Server          string // the server in use
	LastResponseAt  Time   // time of the latest usable response; 0 for none
	NewestTimestamp Time   // in the last full list, by the registry's clock
	Calls           int64
	FullCalls       int64 // calls for a full list
	Bytes           int64 // of response bodies, as received
	Failures        int64 // calls that failed
	Mismatches      int64 // deltas that were inconsistent with the table
	Faults          int   // number of faults logged last
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
	lastBody []byte // received body of the full list that the table holds; nil if the table differs from a full list
	deltas   deltaState

	nextPoll      machine.Timer
	generation    int  // responses to calls of earlier generations are dropped
	callPending   bool // a call is in flight, or its response is being parsed
	callStartedAt Time // start of the latest call
	confirming    bool // Confirm awaits the next full list
	unavailable   bool // no server can be reached, and a SourceUnavailable was reported
	stopped       bool

	status         Status
	lastResponseAt Time   // time of the latest usable response
	loggedFaults   string // the faults logged last
}

// Follow polls a registry until Stop. It calls onEvent with an endpoints.SourceUpdate for each usable response, and with an
// endpoints.SourceUnavailable if no server can be reached. onEvent is never called from within Follow, and may call Confirm
// and Stop.
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

// Stop cancels all calls. onEvent is not called afterwards.
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

// Confirm fetches the full list at once, from another server if there is one. The next event is a SourceUpdate with Confirmation
// set or a SourceUnavailable.
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
	// onEvent may call Confirm for each response. Without a pause, the client would then call the registry in a tight loop.
	c.pollAt(max(c.m.Now(), c.callStartedAt+c.options.PollInterval/4))
}

// Status returns a summary of the calls so far.
func (c *Client) Status() Status {
	status := c.status
	if c.current != nil {
		status.Server = c.current.url.String()
	}
	status.LastResponseAt = c.lastResponseAt
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
