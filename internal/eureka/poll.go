package eureka

import (
	"net/http"
	"net/url"
	"slices"

	"starlingwinch/internal/httpclient"
)

const (
	minTimeout         = 600 * millisecond // shortest timeout of a call while another server could be called instead
	timeoutMultiplier  = 4                 // that timeout as a multiple of the server's recent response time
	bandwidthJitter    = 0.2               // the pause after a large or slow response is longer by up to this fraction
	responseTimeFactor = 2                 // shortest time between the starts of calls, as a multiple of the response time
)

// listCall is a call in flight that fetches a list.
type listCall struct {
	generation int
	server     *server
	kind       listKind
	filtered   bool // fetches the list of one application or virtual address
	retry      bool // retries a preferred server that failed, while another server is in use
	confirming bool // made for Confirm
	startedAt  Time
}

// poll makes the next call, or reschedules it if no server may be called now.
func (c *Client) poll() {
	now := c.m.Now()
	s, retryAt := c.selectServer(now)
	if s == nil {
		c.pollAt(retryAt)
		return
	}
	call := c.newCall(s, now)
	c.callPending, c.callStartedAt = true, now
	c.status.Calls++
	if call.kind == fullList {
		c.status.FullCalls++
	}
	request := httpclient.Request{Method: http.MethodGet, Path: s.url.path + c.path(call), Headers: c.login.headers(s.url)}
	s.client.Do(request, c.timeout(call, now), func(response *httpclient.Response, err error) {
		if call.generation == c.generation {
			c.onResponse(call, response, err)
		}
	})
}

// newCall returns a call to a server with the kind of list to fetch.
func (c *Client) newCall(s *server, now Time) *listCall {
	call := &listCall{generation: c.generation, server: s, confirming: c.confirming, startedAt: now}
	call.retry = c.current != nil && s != c.current && c.current.failures == 0 && !c.confirming
	usesDeltas := c.usesDeltas(s, now)
	if usesDeltas && s == c.current && c.deltas.isApplicable(now, c.lastResponseAt, c.options.FullListInterval) {
		call.kind = deltaList
	}
	call.filtered = !usesDeltas && c.isFiltered()
	return call
}

// isFiltered reports whether the client follows one application or virtual address only.
func (c *Client) isFiltered() bool { return c.options.Application != "" || c.options.VIP != "" }

// selectServer returns the server to call now: the first callable server that is not avoided, else the current one. To confirm
// a list, selectServer prefers any other server to the current one. If no server is callable, it returns the time at which one
// will be.
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

// timeout returns the timeout of a call. If another server could be called instead, the timeout is a multiple of the recent
// response time: a call to an unreachable server, or a retry of one, must not use up the time limit for publishing a drain.
func (c *Client) timeout(call *listCall, now Time) Time {
	s := call.server
	recent := s.responseTime[call.kind]
	if call.retry {
		recent = max(recent, c.current.responseTime[call.kind])
	}
	hasAlternative := slices.ContainsFunc(c.servers, func(other *server) bool { return other != s && other.isCallable(now) })
	if !hasAlternative || recent == 0 {
		return c.options.Timeout
	}
	return min(c.options.Timeout, max(minTimeout, timeoutMultiplier*recent))
}

// path returns the path of the list that a call fetches.
func (c *Client) path(call *listCall) string {
	switch {
	case call.kind == deltaList:
		return "/apps/delta"
	case call.filtered && c.options.Application != "":
		return "/apps/" + url.PathEscape(c.options.Application)
	case call.filtered:
		return "/vips/" + url.PathEscape(c.options.VIP)
	}
	return "/apps"
}

// pollAfter schedules the call that follows a response of this size: after the poll interval, or later if the server is slow or
// its responses exceed the bandwidth.
func (c *Client) pollAfter(call *listCall, size int) {
	c.callPending = false
	now := c.m.Now()
	pause := max(responseTimeFactor*(now-call.startedAt), Time(float64(size)/float64(c.options.Bandwidth)*float64(second)))
	pause += Time(float64(pause) * bandwidthJitter * randomFraction(c.m))
	c.pollAt(max(now, call.startedAt+max(pause, jittered(c.m, c.options.PollInterval))))
}
