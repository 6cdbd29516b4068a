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

// statusError reports a response whose HTTP status shows that the call failed.
type statusError struct {
	status int
	detail string // the cause; may be empty
}

// Error implements error.
func (e *statusError) Error() string {
	if e.detail == "" {
		return fmt.Sprintf("HTTP %d", e.status)
	}
	return fmt.Sprintf("HTTP %d: %s", e.status, e.detail)
}

var errUnauthorized = &statusError{http.StatusUnauthorized, "user or password is wrong"}

// checkStatus returns an error for a status other than 200, with which a response holds no list.
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

// rejectsDeltas reports whether the status of a response to /apps/delta shows that the server offers no deltas.
func rejectsDeltas(status int) bool {
	switch status {
	case http.StatusForbidden, http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusNotImplemented:
		return true
	}
	return false
}

// onResponse handles the result of a call.
func (c *Client) onResponse(call *listCall, response *httpclient.Response, err error) {
	if err != nil {
		c.fail(call, err)
		return
	}
	size := len(response.Body)
	c.status.Bytes += int64(size)
	if call.kind == deltaList && rejectsDeltas(response.Status) {
		call.server.noDeltasUntil = c.m.Now() + noDeltasAfterReject
		c.logDeltasRejected(call.server, response.Status)
		c.deltas.needFull = true
		c.pollAfter(call, size)
		return
	}
	// A server removes an application without instances and then answers 404, as it does for a wrong path. The 404 counts as an
	// empty list only if the server has returned the list before, which shows that the path is right.
	if response.Status == http.StatusNotFound && call.filtered && call.server.hasListed {
		c.apply(call, &List{}, 0)
		return
	}
	err = checkStatus(response.Status)
	if errors.Is(err, errUnauthorized) {
		c.login.readPasswordFile(c.m) // the file may have changed; if it is unreadable, the old password stays in use
	}
	switch {
	case err != nil:
		c.fail(call, err)
	case c.isUnchanged(call, response.Body):
		c.succeed(call, &endpoints.SourceUpdate{Source: c.options.Name}, size)
	default:
		c.parse(call, response)
	}
}

// isUnchanged reports whether a full list equals the latest one byte for byte and need not be parsed.
func (c *Client) isUnchanged(call *listCall, body []byte) bool {
	isComparable := call.kind == fullList && !call.confirming && !c.unavailable && call.server == c.current
	return isComparable && len(body) > 0 && bytes.Equal(body, c.lastBody)
}

// parse decompresses and parses a response outside the event loop, since a large response takes long.
func (c *Client) parse(call *listCall, response *httpclient.Response) {
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
		case call.generation != c.generation:
		case err != nil:
			c.fail(call, err)
		default:
			if call.kind == fullList {
				c.lastBody = response.Body
			}
			c.apply(call, &list, len(response.Body))
		}
	})
}

// apply updates the table from a list and reports the changes. size is the size of the response in bytes.
func (c *Client) apply(call *listCall, list *List, size int) {
	c.logFaults(call.server, list)
	update := &endpoints.SourceUpdate{Source: c.options.Name}
	if call.kind == deltaList {
		c.applyDelta(call, list, update)
	} else {
		c.applyFull(call, list, size, update)
	}
	c.succeed(call, update, size)
}

func (c *Client) applyFull(call *listCall, list *List, size int, update *endpoints.SourceUpdate) {
	update.Full, update.Confirmation = true, call.confirming
	update.Claims, update.Unreadable = c.table.applyFull(list, c.m.Now(), call.confirming)
	c.confirming = false
	c.deltas.version, c.deltas.hasFullRegistry = 0, !call.filtered
	if call.filtered && size > largeApplicationSize {
		c.deltas.isApplicationLarge = true
	}
	if size == 0 || c.table.revertWithheld {
		c.lastBody = nil // the next list must be applied even if it is the same
	}
	call.server.hasListed = true
}

func (c *Client) applyDelta(call *listCall, list *List, update *endpoints.SourceUpdate) {
	var isOlder bool
	update.Claims, update.Unreadable, isOlder = c.table.applyDelta(list, c.m.Now())
	isOlder = isOlder || list.Version > 0 && list.Version < c.deltas.version
	c.deltas.version = list.Version
	c.lastBody = nil // the table no longer matches a full list
	hashMatches := !list.HasHash || list.Hash == c.table.hash()
	if !isOlder && hashMatches && !list.truncated {
		c.deltas.mismatches = 0
	} else {
		c.recordMismatch(call, list, isOlder)
	}
}

// logFaults logs the faults of a list, unless they equal the faults logged last.
func (c *Client) logFaults(s *server, list *List) {
	faults := strings.Join(list.Faults, "; ")
	if faults == "" || faults == c.loggedFaults {
		return
	}
	c.loggedFaults, c.status.Faults = faults, len(list.Faults)
	c.logListFaults(s, faults)
}

// succeed completes a call with a usable response.
func (c *Client) succeed(call *listCall, update *endpoints.SourceUpdate, size int) {
	s := call.server
	if c.current != nil && c.current != s {
		c.logServerSelected(s)
	}
	if c.unavailable {
		c.logAvailable(s)
	}
	c.current, c.unavailable, c.lastResponseAt = s, false, c.m.Now()
	s.recordSuccess(call.kind, c.lastResponseAt-call.startedAt)
	if call.kind == fullList {
		c.deltas.needFull, c.deltas.lastFullAt = false, c.lastResponseAt
	}
	c.pollAfter(call, size)
	c.onEvent(update)
}

// fail completes a call without a usable response. If another server may be called now, the client calls it at once.
func (c *Client) fail(call *listCall, err error) {
	s, now := call.server, c.m.Now()
	c.callPending = false
	c.status.Failures++
	s.client.Close()
	s.failures++
	s.retryAt = now + backoff(c.m, c.options.PollInterval, c.options.MaxBackoff, s.failures)
	s.avoidUntil = now + jittered(c.m, c.options.RetryPreferredAfter<<min(s.failedRetries, maxRetryDoublings))
	if call.kind == fullList && !call.filtered && c.deltas.isApplicationLarge {
		c.deltas.isRegistryUnreadable = true // the registry's full list may exceed the bounds
	}
	if call.retry {
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
