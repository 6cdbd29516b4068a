package standin

import (
	"net/http"
	"net/url"
	"slices"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/httpserver"
)

const (
	maxWatchTime = 60 * Second  // longest wait of a watch
	maxIdleTime  = 600 * Second // idle timeout of a connection without a call
	maxHeadBytes = 8 << 10      // maximum size of a request's head
)

// listListener is an address at which discovery listens.
type listListener struct {
	addr, router string
	server       *httpserver.Server
}

// listen opens the server of a listener.
func (d *Discovery) listen(listener *listListener) error {
	o := httpserver.Options{MaxHeadBytes: maxHeadBytes, IdleTime: maxIdleTime}
	listener.server = httpserver.New(d.m, o, func(x *httpserver.Exchange) {
		router := listener.router
		if router == "" && d.options.RouterOf != nil {
			router = d.options.RouterOf(x.Remote)
		}
		d.accept(&listCall{discovery: d, exchange: x, router: router, after: -1})
	})
	listener.server.Refuse(d.down && d.resetsConnections)
	var err error
	listener.addr, err = listener.server.Open(listener.addr)
	return err
}

// listCall is a router's call for the list.
type listCall struct {
	discovery  *Discovery
	exchange   *httpserver.Exchange
	router     string
	after      int64         // version that the router has; -1 for the whole list
	waiting    bool          // the call is a watch that waits for a change
	workDoneAt Time          // when the service has done the work for the call
	timer      machine.Timer // ends the wait for a change, or for the work
}

// accept handles a call, or defers it while the service is silent.
func (d *Discovery) accept(call *listCall) {
	if d.silent {
		d.deferredCalls = append(d.deferredCalls, call)
		return
	}
	if call.exchange.Open() {
		call.handle()
	}
}

// reject answers an invalid call with a status and closes the connection.
func (call *listCall) reject(status int) {
	call.exchange.Answer(httpserver.Answer{Status: status, Close: true})
}

// handle validates the call and answers it, at once or after the work for it or a change of the list.
func (call *listCall) handle() {
	d := call.discovery
	request := call.exchange.Request
	query, err := url.ParseQuery(request.URL.RawQuery)
	switch {
	case request.Method != http.MethodGet:
		call.reject(http.StatusMethodNotAllowed)
		return
	case err != nil || len(call.exchange.Body) > 0:
		call.reject(http.StatusBadRequest)
		return
	case request.URL.Path != "/discovery/hosts":
		call.reject(http.StatusNotFound)
		return
	}
	wait := Time(0)
	if query.Has("after") {
		after, ok := parseNumber([]byte(query.Get("after")))
		ms, waitOK := parseNumber([]byte(query.Get("wait_ms")))
		if !ok || query.Has("wait_ms") && !waitOK {
			call.reject(http.StatusBadRequest)
			return
		}
		call.after, wait = after, min(ms*Millisecond, maxWatchTime)
	}
	caller := d.callers[call.router]
	continuesWatch := caller != nil && caller.openCalls == 0 && call.after >= 0 && d.m.Now() <= caller.answeredAt+watchPause
	d.openCalls = append(d.openCalls, call)
	call.exchange.Gone, call.exchange.Ended = call.finish, call.drop
	if caller != nil {
		caller.lastCall = d.m.Now()
		caller.openCalls++
	}
	if d.down {
		d.usage.Failed++
		call.refuse()
		return
	}
	if !continuesWatch && !call.admit() {
		return
	}
	if call.after == d.version && wait > 0 && !d.answersAtOnce {
		call.waiting = true
		call.timer = d.m.At(d.m.Now()+wait, call.answer)
		return
	}
	call.answer()
}

// watchPause is the maximum time after an answer at which the next call counts as the same watch, which needs no admission.
const watchPause = 200 * Millisecond

// admit reserves the work of a new call. A call that would wait longer than the timeout is rejected, with all other
// calls of its router.
func (call *listCall) admit() bool {
	d := call.discovery
	now := d.m.Now()
	cost := d.options.CallCost + Time(len(d.entries))*d.options.LineCost
	if cost == 0 || d.options.Pushed {
		return true
	}
	d.recordIdleTime(d.callers[call.router])
	done := max(now, d.busyUntil) + cost
	if d.options.Timeout == 0 || done-now <= d.options.Timeout {
		d.busyUntil, call.workDoneAt = done, done
		d.usage.Answering += cost
		d.usage.Admitted++
		return true
	}
	d.busyUntil = max(now, d.busyUntil) + d.options.RejectCost
	d.usage.Rejecting += d.options.RejectCost
	d.usage.Rejected++
	for _, other := range slices.Clone(d.openCalls) {
		if other.router == call.router {
			other.refuse()
		}
	}
	return false
}

// answer answers the call once the work for it is done. Each change in the answer to a watch costs LineCost.
func (call *listCall) answer() {
	d := call.discovery
	if call.timer != nil {
		call.timer.Stop()
	}
	call.waiting = false
	now := d.m.Now()
	if call.workDoneAt <= now && !d.options.Pushed {
		cost := Time(d.changedSince(call.after)) * d.options.LineCost
		if cost > 0 {
			d.busyUntil = max(now, d.busyUntil) + cost
			call.workDoneAt = d.busyUntil
			d.usage.Answering += cost
		}
	}
	if call.workDoneAt <= now {
		call.reply()
		return
	}
	call.timer = d.m.At(call.workDoneAt, call.reply)
}

// changedSince returns how many entries have changed since a version.
func (d *Discovery) changedSince(after int64) (n int) {
	for _, l := range d.entries {
		if l.version > after {
			n++
		}
	}
	return n
}

// silentRetryDelay is the interval at which a due call checks whether the service is still silent.
const silentRetryDelay = 50 * Millisecond

// reply writes the list, after the end of the silence if the service is silent.
func (call *listCall) reply() {
	d := call.discovery
	if d.silent {
		call.timer = d.m.At(d.m.Now()+silentRetryDelay, call.reply)
		return
	}
	call.finish()
	body, whole := d.encodeList(call.router, call.after)
	if call.send(http.StatusOK, body) {
		if caller := d.callers[call.router]; caller != nil {
			caller.answeredAt = d.m.Now()
			caller.unansweredSince = 0
		}
		d.notifyAnswered(call.router, call.after, whole)
	}
}

// refuse answers the call with 503.
func (call *listCall) refuse() {
	call.finish()
	call.send(http.StatusServiceUnavailable, nil)
}

// send answers the exchange, and reports whether the answer was sent.
func (call *listCall) send(status int, body []byte) bool {
	return call.exchange.Answer(httpserver.Answer{
		Status: status,
		Header: []httpserver.Header{{Name: "Content-Type", Value: "application/json"}},
		Body:   body,
	})
}

// drop closes the connection of a router that has closed its side.
func (call *listCall) drop() {
	call.finish()
	call.exchange.Drop()
}

// finish removes the call from the open calls, and starts the poll interval if the router has no other open call.
func (call *listCall) finish() {
	d := call.discovery
	d.openCalls = removeFirst(d.openCalls, call)
	if call.timer != nil {
		call.timer.Stop()
	}
	if caller := d.callers[call.router]; caller != nil {
		caller.lastCall = d.m.Now()
		caller.openCalls--
		if caller.unansweredSince == 0 {
			caller.unansweredSince = d.m.Now()
		}
		if caller.openCalls == 0 && d.options.PollInterval > 0 {
			d.notifyOverdue(call.router)
		}
	}
}
