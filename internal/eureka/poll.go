package eureka

import (
	"net/http"
	"net/url"
	"slices"

	"starlingwinch/internal/httpclient"
)

const (
	minTimeout         = 600 * millisecond // of a call, where another server could be called instead
	timeoutMultiplier  = 4                 // of the server's recent response time, for that timeout
	bandwidthJitter    = 0.2               // the pause after a large or slow response is longer by up to this fraction
	responseTimeFactor = 2                 // times a response's time, at least, from one call to the next
)

// call is a call that is out.
type call struct {
	generation int
	server     *server
	kind       listKind
	filtered   bool // it fetches the list of one application or virtual address
	retry      bool // of a preferred server that failed, while another one is in use
	confirming bool // it answers Confirm
	startedAt  Time
}

// poll makes the next call.
func (c *Client) poll() {
	now := c.m.Now()
	s, retryAt := c.selectServer(now)
	if s == nil {
		c.pollAt(retryAt)
		return
	}
	k := c.newCall(s, now)
	c.callPending, c.callStartedAt = true, now
	c.status.Calls++
	if k.kind == fullList {
		c.status.FullCalls++
	}
	request := httpclient.Request{Method: http.MethodGet, Path: s.url.path + c.path(k), Headers: c.login.headers(s.url)}
	s.client.Do(request, c.timeout(k, now), func(response *httpclient.Response, err error) {
		if k.generation == c.generation {
			c.onResponse(k, response, err)
		}
	})
}

// newCall decides what to fetch from a server.
func (c *Client) newCall(s *server, now Time) *call {
	k := &call{generation: c.generation, server: s, confirming: c.confirming, startedAt: now}
	k.retry = c.current != nil && s != c.current && c.current.failures == 0 && !c.confirming
	usesDeltas := c.usesDeltas(s, now)
	if usesDeltas && s == c.current && c.deltas.isApplicable(now, c.answeredAt, c.options.FullListInterval) {
		k.kind = deltaList
	}
	k.filtered = !usesDeltas && c.isFiltered()
	return k
}

// isFiltered reports whether one application or virtual address is wanted.
func (c *Client) isFiltered() bool { return c.options.Application != "" || c.options.VIP != "" }

// selectServer returns the server to call now: of those that may be called, the first one that is not avoided, else the current
// one. To confirm a list, any other one precedes the current one. Where there is none, it returns when there will be one.
func (c *Client) selectServer(now Time) (selected *server, retryAt Time) {
	for _, s := range c.servers {
		if !s.isCallable(now) {
			if retryAt == 0 || s.retryAt < retryAt {
				retryAt = s.retryAt
			}
			continue
		}
		if s.avoidUntil <= now {
			return s, 0
		}
		isBetter := s == c.current && !c.confirming || selected == c.current && c.confirming
		if selected == nil || isBetter {
			selected = s
		}
	}
	return selected, retryAt
}

// timeout is how long to wait for a response. Where another server could be called instead, it is a few times the recent response
// time: a server that vanishes, or a retry of one, must not use up the time in which a drain must be published.
func (c *Client) timeout(k *call, now Time) Time {
	s := k.server
	recent := s.responseTime[k.kind]
	if k.retry {
		recent = max(recent, c.current.responseTime[k.kind])
	}
	hasAlternative := slices.ContainsFunc(c.servers, func(other *server) bool { return other != s && other.isCallable(now) })
	if !hasAlternative || recent == 0 {
		return c.options.Timeout
	}
	return min(c.options.Timeout, max(minTimeout, timeoutMultiplier*recent))
}

// path is the path of the list that a call fetches.
func (c *Client) path(k *call) string {
	switch {
	case k.kind == deltaList:
		return "/apps/delta"
	case k.filtered && c.options.Application != "":
		return "/apps/" + url.PathEscape(c.options.Application)
	case k.filtered:
		return "/vips/" + url.PathEscape(c.options.VIP)
	}
	return "/apps"
}

// pollAfter schedules the call that follows a response of this size: after the poll interval, or later where the server is slow
// or its responses exceed the bandwidth.
func (c *Client) pollAfter(k *call, size int) {
	c.callPending = false
	now := c.m.Now()
	pause := max(responseTimeFactor*(now-k.startedAt), Time(float64(size)/float64(c.options.Bandwidth)*float64(second)))
	pause += Time(float64(pause) * bandwidthJitter * randomFraction(c.m))
	c.pollAt(max(now, k.startedAt+max(pause, jittered(c.m, c.options.PollInterval))))
}
