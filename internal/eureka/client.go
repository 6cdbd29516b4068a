package eureka

import (
	"bytes"
	"fmt"
	"net/url"
	"slices"
	"strings"

	"starlingwinch/internal/endpoints"
	"starlingwinch/internal/httpclient"
	"starlingwinch/internal/machine"
)

// When deltas are asked for.
const (
	DeltaAuto   = "auto"   // where the whole list is asked for, or one application's is large
	DeltaAlways = "always" // all changes of the registry are read, and other applications' left out
	DeltaNever  = "never"
)

// Spans and figures that nobody needs to set.
const (
	dialTime    = 400 * millisecond // a server that has vanished must not hold up the turn to another one
	hasty       = 600 * millisecond // for an answer, at least, where another server could be asked instead
	deltaGap    = 60 * second       // servers forget changes after 3 min; a longer gap takes a full list
	deltasOff   = 10 * minute       // a server that refuses deltas is not asked for them for so long
	distrust    = minute            // nor one whose deltas don't add up
	mostStrikes = 3                 // deltas in a row that didn't, each after a full list
	largeApp    = 64 << 10          // bytes on the wire of an application's list, beyond which deltas are cheaper
	mostTries   = 5                 // doublings of the span after which a preferred server is tried again
)

// Options are what Follow is told. Zero spans are not allowed; see Default.
type Options struct {
	Name        string // of the source
	Servers     []URL  // in the order of preference
	Login       Login
	Application string // one application; "" for all
	VIP         string // one virtual address; "" for all
	Delta       string
	Cadence     Time // between calls, give or take a fifth
	Timeout     Time // of a call
	BackoffMost Time // between calls to a server that fails
	PreferAgain Time // a server that failed is preferred again after that
	FullEvery   Time // the whole list is fetched at least so often
	Body        int  // bytes of an answer, packed or not
	Bandwidth   int  // bytes a second: calls wait where answers are larger
	LeaseGrace  int  // leases without a renewal after which an instance counts as draining; 0 for never
	Names       Names
}

// Status is how a Client fares.
type Status struct {
	Server     string // in use
	Answered   Time   // when it last gave an answer that can be used; 0 for never
	Newest     Time   // the newest time in the last full list, by the registry's clock
	Calls      int64
	Fulls      int64 // calls of those for a whole list
	Bytes      int64 // of answers' bodies, as they came
	Failures   int64 // calls that failed
	Mismatches int64 // deltas that did not add up
	Unread     int   // faults of the last answer that had any
}

// Client follows a registry. Use Follow.
type Client struct {
	m     machine.Machine
	o     Options
	told  func(endpoints.Event)
	login Login

	servers []*server
	at      *server // the one whose list is held
	state   *state
	timer   machine.Timer
	turn    int  // answers to calls of turns that are over are dropped
	out     bool // a call is out, or its answer is being read
	over    bool
	lost    bool // no server can be reached, and that was told

	full     bool // the next call is to fetch the whole list
	repeat   bool // ... and its answer is to be told as a Repeat
	whole    bool // the state is that of the whole registry, to which deltas fit
	fulled   Time // when the whole list was last fetched
	version  int64
	last     []byte // body of the last full list, as it came
	strikes  int    // deltas that did not add up since one that did
	large    bool   // the application's list is so large that deltas are cheaper ...
	own      bool   // ... but the registry's whole list could not be had
	started  Time   // the last call
	faults   string // as last logged
	status   Status
	answered Time
}

// call is one that is out.
type call struct {
	turn   int
	server *server
	delta  bool
	one    bool // it asks for one application or virtual address
	trial  bool // of a preferred server, while another one serves
	repeat bool
	start  Time
}

// kind is 0 for a whole list, 1 for a delta.
func (k *call) kind() int {
	if k.delta {
		return 1
	}
	return 0
}

// Follow asks a registry for its list, again and again until Stop. told is never called from within Follow, and may
// call Confirm and Stop.
func Follow(m machine.Machine, o Options, told func(endpoints.Event)) *Client {
	o.Application = strings.ToUpper(o.Application)
	c := &Client{m: m, o: o, told: told, login: o.Login, full: true}
	for _, u := range o.Servers {
		http := httpclient.New(m, u.addr, httpclient.Options{DialTime: min(dialTime, o.Timeout), MaxBodyBytes: o.Body})
		c.servers = append(c.servers, &server{url: u, http: http})
	}
	c.state = newState(filter{app: o.Application, vip: o.VIP}, o.LeaseGrace)
	if err := c.login.read(m); err != nil {
		m.Log(c.line("%v", err))
	}
	c.wake(m.Now() + Time(float64(o.Cadence)*chance(m)))
	return c
}

// Stop ends it. Nothing is told any more.
func (c *Client) Stop() {
	c.over = true
	c.turn++
	if c.timer != nil {
		c.timer.Stop()
	}
	for _, s := range c.servers {
		s.http.Close()
	}
}

// Confirm has the whole list fetched at once, from another server where there is one. Its answer is told as a
// Repeat; a Lost says that there was none.
func (c *Client) Confirm() {
	if c.over || c.repeat {
		return
	}
	c.full, c.repeat = true, true
	if c.at != nil {
		c.at.shun = c.m.Now() + c.o.PreferAgain
	}
	if c.out {
		c.out = false
		c.turn++
		for _, s := range c.servers {
			s.http.Cancel()
		}
	}
	// The danger: each answer to a Confirm may lead to another one.
	c.wake(max(c.m.Now(), c.started+c.o.Cadence/4))
}

// Status tells how it fares.
func (c *Client) Status() Status {
	s := c.status
	if c.at != nil {
		s.Server = c.at.url.String()
	}
	s.Answered, s.Newest = c.answered, c.state.newest
	return s
}

func (c *Client) line(format string, args ...any) string {
	return c.o.Name + ": " + fmt.Sprintf(format, args...)
}

// wake has the next call made at t.
func (c *Client) wake(t Time) {
	if c.timer != nil {
		c.timer.Stop()
	}
	c.timer = c.m.At(t, c.next)
}

// pick is the server to ask now, or when there will be one. Of those that may be asked, the first one that is not
// shunned counts, then the one in use.
func (c *Client) pick(now Time) (*server, Time) {
	soon := Time(0)
	var second *server
	for _, s := range c.servers {
		if s.rest > now {
			if soon == 0 || s.rest < soon {
				soon = s.rest
			}
			continue
		}
		if s.shun <= now {
			return s, 0
		}
		if second == nil || s == c.at && !c.repeat || second == c.at && c.repeat {
			second = s // to confirm a list, any other one goes before the one in use
		}
	}
	return second, soon
}

// next makes a call.
func (c *Client) next() {
	now := c.m.Now()
	s, soon := c.pick(now)
	if s == nil {
		c.wake(soon)
		return
	}
	k := &call{turn: c.turn, server: s, start: now, repeat: c.repeat}
	k.trial = c.at != nil && s != c.at && c.at.fails == 0 && !c.repeat
	deltas := c.deltas(s, now)
	k.delta = s == c.at && !c.full && c.whole && deltas && now-c.answered < deltaGap && now-c.fulled < c.o.FullEvery
	k.one = !deltas && (c.o.Application != "" || c.o.VIP != "")
	c.out, c.started = true, now
	c.status.Calls++
	if !k.delta {
		c.status.Fulls++
	}
	r := httpclient.Request{Method: "GET", Path: s.url.path + c.path(k), Headers: s.headers(c.login)}
	s.http.Do(r, c.patience(k, now), func(resp *httpclient.Response, err error) {
		if k.turn == c.turn {
			c.came(k, resp, err)
		}
	})
}

// patience is how long to wait for an answer. Where another server could be asked instead, it is a few times what
// such answers have taken. The danger: a server that vanishes, or the try of one, takes the time in which a drain
// must be learned.
func (c *Client) patience(k *call, now Time) Time {
	s := k.server
	took := s.took[k.kind()]
	if k.trial {
		took = max(took, c.at.took[k.kind()])
	}
	other := slices.ContainsFunc(c.servers, func(o *server) bool { return o != s && o.rest <= now })
	if !other || took == 0 {
		return c.o.Timeout
	}
	return min(c.o.Timeout, max(hasty, 4*took))
}

// deltas reports whether they are wanted of a server. An application's own list is the whole of what is asked for, and
// small; the registry's deltas and the full lists that they are checked against tell of all applications.
func (c *Client) deltas(s *server, now Time) bool {
	switch c.o.Delta {
	case DeltaNever:
		return false
	case DeltaAuto:
		if (c.o.Application != "" || c.o.VIP != "") && (!c.large || c.own) {
			return false
		}
	}
	return now >= s.noDelta
}

// path is what a call asks for.
func (c *Client) path(k *call) string {
	switch {
	case k.delta:
		return "/apps/delta"
	case k.one && c.o.Application != "":
		return "/apps/" + url.PathEscape(c.o.Application)
	case k.one:
		return "/vips/" + url.PathEscape(c.o.VIP)
	}
	return "/apps"
}

// came takes an answer.
func (c *Client) came(k *call, resp *httpclient.Response, err error) {
	if err != nil {
		c.failed(k, err.Error())
		return
	}
	c.status.Bytes += int64(len(resp.Body))
	switch status := resp.Status; {
	case status == 200:
	case k.delta && (status == 403 || status == 404 || status == 405 || status == 501):
		k.server.noDelta = c.m.Now() + deltasOff
		c.m.Log(c.line("%s answers %d to /apps/delta: whole lists are fetched", k.server.url, status))
		c.full = true
		c.after(k, len(resp.Body))
		return
	case status == 404 && k.one && k.server.listed:
		// An application without instances is forgotten. The danger: a wrong path is told from that only by the list that
		// the same server gave before.
		c.apply(k, &List{}, 0)
		return
	case status == 401:
		c.login.read(c.m) // it may have been changed; where it can't be read, the old one is tried again
		c.failed(k, "HTTP 401: user or password is wrong")
		return
	case status >= 300 && status < 400:
		c.failed(k, fmt.Sprintf("HTTP %d: redirects are not followed", status))
		return
	default:
		c.failed(k, fmt.Sprintf("HTTP %d", status))
		return
	}
	if c.same(k, resp.Body) {
		c.done(k, &endpoints.SourceUpdate{Source: c.o.Name}, len(resp.Body))
		return
	}
	c.read(k, resp)
}

// same reports whether a whole list is the one before, byte for byte: then there is nothing to read.
func (c *Client) same(k *call, body []byte) bool {
	return !k.delta && !k.repeat && !c.lost && k.server == c.at && len(body) > 0 && bytes.Equal(body, c.last)
}

// read unpacks and reads an answer, beside the loop.
func (c *Client) read(k *call, resp *httpclient.Response) {
	var list List
	var err error
	body, names := c.o.Body, c.o.Names
	work := func() {
		var plain []byte
		if plain, err = resp.DecodedBody(body); err == nil {
			list, err = Parse(plain, names)
		}
	}
	c.m.Work(work, func() {
		switch {
		case k.turn != c.turn:
		case err != nil:
			c.failed(k, err.Error())
		default:
			if !k.delta {
				c.last = resp.Body
			}
			c.apply(k, &list, len(resp.Body))
		}
	})
}

// apply takes a list over and tells what is new.
func (c *Client) apply(k *call, l *List, size int) {
	now := c.m.Now()
	c.blame(k, l)
	heard := &endpoints.SourceUpdate{Source: c.o.Name}
	if !k.delta {
		heard.Full, heard.Repeat = true, k.repeat
		heard.Claims, heard.Unreadable = c.state.replace(l, now, k.repeat)
		c.repeat, c.version, c.whole = false, 0, !k.one
		c.large = c.large || k.one && size > largeApp
		if size == 0 || c.state.held {
			c.last = nil // it must be looked at again
		}
		k.server.listed = true
		c.done(k, heard, size)
		return
	}
	var older bool
	heard.Claims, heard.Unreadable, older = c.state.apply(l, now)
	older = older || l.Version > 0 && l.Version < c.version
	c.version = l.Version
	c.last = nil // the state is no longer that list's
	if !older && (!l.Hashed || l.Hash == c.state.hash()) && !l.cut {
		c.strikes = 0
	} else {
		c.mismatch(k, l, older)
	}
	c.done(k, heard, size)
}

// mismatch has the whole list fetched after a delta that does not lead to what the registry holds. The danger: a server
// whose deltas never add up would be asked twice for everything.
func (c *Client) mismatch(k *call, l *List, older bool) {
	c.full = true
	c.status.Mismatches++
	if c.strikes++; c.strikes < mostStrikes {
		return
	}
	c.strikes = 0
	k.server.noDelta = c.m.Now() + distrust
	why := fmt.Sprintf("their hash code is %.80q, wanted %.80q", l.Hash, c.state.hash())
	if older {
		why = "they are older than what it told before"
	}
	c.m.Log(c.line("deltas of %s do not add up (%s): whole lists are fetched for a while", k.server.url, why))
}

// blame logs what can't be read, once.
func (c *Client) blame(k *call, l *List) {
	all := strings.Join(l.Faults, "; ")
	if all == "" || all == c.faults {
		return
	}
	c.faults, c.status.Unread = all, len(l.Faults)
	c.m.Log(c.line("%s: %s", k.server.url, all))
}

// done ends a call that went well.
func (c *Client) done(k *call, heard *endpoints.SourceUpdate, size int) {
	s := k.server
	if c.at != nil && c.at != s {
		c.m.Log(c.line("%s is asked from now on", s.url))
		_ = s
	}
	if c.lost {
		c.m.Log(c.line("%s answers again", s.url))
	}
	c.at, c.lost, c.answered = s, false, c.m.Now()
	s.fails, s.tries, s.rest, s.shun = 0, 0, 0, 0
	s.took[k.kind()] = max(c.answered-k.start, s.took[k.kind()]*3/4, millisecond)
	if !k.delta {
		c.full, c.fulled = false, c.answered
	}
	c.after(k, size)
	c.told(heard)
}

// after sets the time of the next call: the cadence, or later for a server that is slow or answers much.
func (c *Client) after(k *call, size int) {
	c.out = false
	now := c.m.Now()
	least := max(2*(now-k.start), Time(float64(size)/float64(c.o.Bandwidth)*float64(second)))
	least += Time(float64(least) * 0.2 * chance(c.m))
	c.wake(max(now, k.start+max(least, jitter(c.m, c.o.Cadence))))
}

// failed takes a call that gave no list.
func (c *Client) failed(k *call, why string) {
	s, now := k.server, c.m.Now()
	c.out = false
	c.status.Failures++
	s.http.Close()
	s.fails++
	s.rest = now + backoff(c.m, c.o.Cadence, c.o.BackoffMost, s.fails)
	s.shun = now + jitter(c.m, c.o.PreferAgain<<min(s.tries, mostTries))
	if !k.delta && !k.one && c.large {
		c.own = true // the registry's whole list may be beyond the bounds
	}
	if k.trial {
		s.tries++
	} else {
		c.full = true
		if s.fails == 1 {
			c.m.Log(c.line("%s: %s", s.url, why))
		}
	}
	next, soon := c.pick(now)
	if next != nil {
		c.wake(now)
		return
	}
	c.wake(soon)
	if c.lost && !c.repeat {
		return
	}
	c.lost, c.repeat = true, false
	c.told(&endpoints.SourceUnavailable{Source: c.o.Name, Reason: fmt.Sprintf("%s: %s", s.url, why)})
}
