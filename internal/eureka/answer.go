package eureka

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"starlingwinch/internal/endpoints"
	"starlingwinch/internal/httpclient"
)

// statusError is the error of a response that is no list.
type statusError struct {
	status int
	detail string // what is wrong; may be empty
}

// Error implements error.
func (e *statusError) Error() string {
	if e.detail == "" {
		return fmt.Sprintf("HTTP %d", e.status)
	}
	return fmt.Sprintf("HTTP %d: %s", e.status, e.detail)
}

var errUnauthorized = &statusError{http.StatusUnauthorized, "user or password is wrong"}

// checkStatus returns an error unless a response holds a list.
func checkStatus(status int) error {
	switch {
	case status == http.StatusOK:
		return nil
	case status == http.StatusUnauthorized:
		return errUnauthorized
	case status >= 300 && status < 400:
		return &statusError{status, "redirects are not followed"}
	}
	return &statusError{status: status}
}

// rejectsDeltas reports whether the status of a response to /apps/delta says that the server has no deltas.
func rejectsDeltas(status int) bool {
	switch status {
	case http.StatusForbidden, http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusNotImplemented:
		return true
	}
	return false
}

// onResponse handles the result of a call.
func (c *Client) onResponse(k *call, response *httpclient.Response, err error) {
	if err != nil {
		c.fail(k, err)
		return
	}
	size := len(response.Body)
	c.status.Bytes += int64(size)
	if k.kind == deltaList && rejectsDeltas(response.Status) {
		k.server.noDeltasUntil = c.m.Now() + noDeltasAfterReject
		c.logDeltasRejected(k.server, response.Status)
		c.deltas.needFull = true
		c.pollAfter(k, size)
		return
	}
	// A server forgets an application without instances, and responds as to a wrong path. Only a list that it gave before shows
	// that the path is right.
	if response.Status == http.StatusNotFound && k.filtered && k.server.listed {
		c.apply(k, &List{}, 0)
		return
	}
	err = checkStatus(response.Status)
	if errors.Is(err, errUnauthorized) {
		c.login.readPasswordFile(c.m) // it may have changed; where it can't be read, the old password is tried again
	}
	switch {
	case err != nil:
		c.fail(k, err)
	case c.isUnchanged(k, response.Body):
		c.succeed(k, &endpoints.SourceUpdate{Source: c.options.Name}, size)
	default:
		c.parse(k, response)
	}
}

// isUnchanged reports whether a full list is the latest one, byte for byte, so that there is nothing to parse.
func (c *Client) isUnchanged(k *call, body []byte) bool {
	isComparable := k.kind == fullList && !k.confirming && !c.unavailable && k.server == c.current
	return isComparable && len(body) > 0 && bytes.Equal(body, c.lastBody)
}

// parse decompresses and parses a response beside the loop, as a large one takes long.
func (c *Client) parse(k *call, response *httpclient.Response) {
	var list List
	var err error
	maxBody, keys := c.options.MaxBodyBytes, c.options.MetadataKeys
	work := func() {
		var body []byte
		body, err = response.DecodedBody(maxBody)
		if err == nil {
			list, err = Parse(body, keys)
		}
	}
	c.m.Work(work, func() {
		switch {
		case k.generation != c.generation:
		case err != nil:
			c.fail(k, err)
		default:
			if k.kind == fullList {
				c.lastBody = response.Body
			}
			c.apply(k, &list, len(response.Body))
		}
	})
}

// apply takes a list over into the table, and reports what has changed. size is that of the response.
func (c *Client) apply(k *call, list *List, size int) {
	c.logFaults(k.server, list)
	update := &endpoints.SourceUpdate{Source: c.options.Name}
	if k.kind == deltaList {
		c.applyDelta(k, list, update)
	} else {
		c.applyFull(k, list, size, update)
	}
	c.succeed(k, update, size)
}

func (c *Client) applyFull(k *call, list *List, size int, update *endpoints.SourceUpdate) {
	update.Full, update.Repeat = true, k.confirming
	update.Claims, update.Unreadable = c.table.applyFull(list, c.m.Now(), k.confirming)
	c.confirming = false
	c.deltas.version, c.deltas.hasFullRegistry = 0, !k.filtered
	if k.filtered && size > largeApplicationSize {
		c.deltas.isApplicationLarge = true
	}
	if size == 0 || c.table.withheld {
		c.lastBody = nil // the same list must be applied again
	}
	k.server.listed = true
}

func (c *Client) applyDelta(k *call, list *List, update *endpoints.SourceUpdate) {
	var isOlder bool
	update.Claims, update.Unreadable, isOlder = c.table.applyDelta(list, c.m.Now())
	isOlder = isOlder || list.Version > 0 && list.Version < c.deltas.version
	c.deltas.version = list.Version
	c.lastBody = nil // the table is no longer that of a full list
	hashMatches := !list.Hashed || list.Hash == c.table.hash()
	if !isOlder && hashMatches && !list.truncated {
		c.deltas.mismatches = 0
	} else {
		c.recordMismatch(k, list, isOlder)
	}
}

// logFaults logs the faults of a list, once for the same ones.
func (c *Client) logFaults(s *server, list *List) {
	faults := strings.Join(list.Faults, "; ")
	if faults == "" || faults == c.loggedFaults {
		return
	}
	c.loggedFaults, c.status.Faults = faults, len(list.Faults)
	c.logListFaults(s, faults)
}

// succeed ends a call whose response could be used.
func (c *Client) succeed(k *call, update *endpoints.SourceUpdate, size int) {
	s := k.server
	if c.current != nil && c.current != s {
		c.logServerSelected(s)
	}
	if c.unavailable {
		c.logAvailable(s)
	}
	c.current, c.unavailable, c.answeredAt = s, false, c.m.Now()
	s.recordSuccess(k.kind, c.answeredAt-k.startedAt)
	if k.kind == fullList {
		c.deltas.needFull, c.deltas.lastFullAt = false, c.answeredAt
	}
	c.pollAfter(k, size)
	c.onEvent(update)
}

// fail ends a call without a usable response. The next server is called at once, if there is one.
func (c *Client) fail(k *call, err error) {
	s, now := k.server, c.m.Now()
	c.callPending = false
	c.status.Failures++
	s.client.Close()
	s.failures++
	s.retryAt = now + backoff(c.m, c.options.PollInterval, c.options.MaxBackoff, s.failures)
	s.avoidUntil = now + jittered(c.m, c.options.RetryPreferredAfter<<min(s.failedRetries, maxRetryDoublings))
	if k.kind == fullList && !k.filtered && c.deltas.isApplicationLarge {
		c.deltas.isRegistryUnreadable = true // its full list may exceed the bounds
	}
	if k.retry {
		s.failedRetries++
	} else {
		c.deltas.needFull = true
		if s.failures == 1 {
			c.logCallFailed(s, err)
		}
	}
	next, retryAt := c.selectServer(now)
	if next != nil {
		c.pollAt(now)
		return
	}
	c.pollAt(retryAt)
	if c.unavailable && !c.confirming {
		return
	}
	c.unavailable, c.confirming = true, false
	c.onEvent(&endpoints.SourceUnavailable{Source: c.options.Name, Reason: fmt.Sprintf("%s: %v", s.url, err)})
}
