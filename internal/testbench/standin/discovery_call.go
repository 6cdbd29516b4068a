package standin

import (
	"net/http"
	"net/url"
	"slices"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/httpserver"
)

const (
	maxWatchTime = 60 * Second  // a watch may wait so long
	maxIdleTime  = 600 * Second // a router may keep a connection so long without a call
	maxHeadBytes = 8 << 10      // bytes of a call's head
)

// listListener is an address at which discovery listens.
type listListener struct {
	addr, router string
	server       *httpserver.Server
}

func (d *Discovery) listen(door *listListener) error {
	o := httpserver.Options{MaxHeadBytes: maxHeadBytes, IdleTime: maxIdleTime}
	door.server = httpserver.New(d.m, o, func(x *httpserver.Exchange) {
		router := door.router
		if router == "" && d.options.RouterOf != nil {
			router = d.options.RouterOf(x.Remote)
		}
		d.accept(&listCall{discovery: d, exchange: x, router: router, after: -1})
	})
	door.server.Refuse(d.down && d.resetsConnections)
	var err error
	door.addr, err = door.server.Open(door.addr)
	return err
}

// listCall is a router's call for the list.
type listCall struct {
	discovery *Discovery
	exchange  *httpserver.Exchange
	router    string
	after     int64 // -1 for the whole list
	waiting   bool  // it is a watch that has nothing to tell yet
	turnEnds  Time  // when the work for it is done
	timer     machine.Timer
}

// accept takes a call in.
func (d *Discovery) accept(k *listCall) {
	if d.silent {
		d.deferredCalls = append(d.deferredCalls, k)
		return
	}
	if k.exchange.Open() {
		k.handle()
	}
}

// reject answers what is no call for the list, and ends the connection.
func (k *listCall) reject(status int) {
	k.exchange.Answer(httpserver.Answer{Status: status, Close: true})
}

func (k *listCall) handle() {
	d, q := k.discovery, k.exchange.Request
	query, err := url.ParseQuery(q.URL.RawQuery)
	switch {
	case q.Method != http.MethodGet:
		k.reject(http.StatusMethodNotAllowed)
		return
	case err != nil || len(k.exchange.Body) > 0:
		k.reject(http.StatusBadRequest)
		return
	case q.URL.Path != "/discovery/hosts":
		k.reject(http.StatusNotFound)
		return
	}
	wait := Time(0)
	if query.Has("after") {
		after, ok := parseNumber([]byte(query.Get("after")))
		ms, ok2 := parseNumber([]byte(query.Get("wait_ms")))
		if !ok || query.Has("wait_ms") && !ok2 {
			k.reject(http.StatusBadRequest)
			return
		}
		k.after, wait = after, min(ms*Millisecond, maxWatchTime)
	}
	who := d.callers[k.router]
	goesOn := who != nil && who.openCalls == 0 && k.after >= 0 && d.m.Now() <= who.answeredAt+watchPause
	d.openCalls = append(d.openCalls, k)
	k.exchange.Gone, k.exchange.Ended = k.finish, k.drop
	if who != nil {
		who.lastCall = d.m.Now()
		who.openCalls++
	}
	if d.down {
		k.refuse()
		return
	}
	if !goesOn && !k.admit() {
		return
	}
	if k.after == d.version && wait > 0 && !d.answersAtOnce {
		k.waiting = true
		k.timer = d.m.At(d.m.Now()+wait, k.answer)
		return
	}
	k.answer()
}

// watchPause is for how long after an answer the next call goes on with the watch. It takes no turn of its own.
const watchPause = 200 * Millisecond

// admit takes a new call in turn, or turns it away: with it the router's other calls end.
func (k *listCall) admit() bool {
	d, now := k.discovery, k.discovery.m.Now()
	cost := d.options.CallCost + Time(len(d.entries))*d.options.LineCost
	if cost == 0 || d.options.Pushed {
		return true
	}
	if done := max(now, d.busyUntil) + cost; d.options.Timeout == 0 || done-now <= d.options.Timeout {
		d.busyUntil, k.turnEnds = done, done
		return true
	}
	d.busyUntil = max(now, d.busyUntil) + d.options.RejectCost
	for _, other := range slices.Clone(d.openCalls) {
		if other.router == k.router {
			other.refuse()
		}
	}
	return false
}

// answer answers the call once its turn is over. What a watch has to tell costs by its lines.
func (k *listCall) answer() {
	d := k.discovery
	if k.timer != nil {
		k.timer.Stop()
	}
	k.waiting = false
	now := d.m.Now()
	if k.turnEnds <= now && !d.options.Pushed {
		if cost := Time(d.changedSince(k.after)) * d.options.LineCost; cost > 0 {
			d.busyUntil = max(now, d.busyUntil) + cost
			k.turnEnds = d.busyUntil
		}
	}
	if k.turnEnds <= now {
		k.reply()
		return
	}
	k.timer = d.m.At(k.turnEnds, k.reply)
}

// changedSince is how many lines have changed since a version.
func (d *Discovery) changedSince(after int64) (n int) {
	for _, l := range d.entries {
		if l.version > after {
			n++
		}
	}
	return n
}

func (k *listCall) reply() {
	d := k.discovery
	if d.silent {
		k.timer = d.m.At(d.m.Now()+slowStartStep, k.reply)
		return
	}
	k.finish()
	body, whole := d.encodeList(k.router, k.after)
	if k.send(http.StatusOK, body) {
		if who := d.callers[k.router]; who != nil {
			who.answeredAt = d.m.Now()
		}
		d.notifyAnswered(k.router, k.after, whole)
	}
}

// refuse answers the call 503.
func (k *listCall) refuse() {
	k.finish()
	k.send(http.StatusServiceUnavailable, nil)
}

func (k *listCall) send(status int, body []byte) bool {
	return k.exchange.Answer(httpserver.Answer{
		Status: status,
		Header: []httpserver.Header{{Name: "Content-Type", Value: "application/json"}},
		Body:   body,
	})
}

// drop ends the connection of a router that waits no more.
func (k *listCall) drop() {
	k.finish()
	k.exchange.Drop()
}

// finish ends the call.
func (k *listCall) finish() {
	d := k.discovery
	d.openCalls = removeFirst(d.openCalls, k)
	if k.timer != nil {
		k.timer.Stop()
	}
	if who := d.callers[k.router]; who != nil {
		who.lastCall = d.m.Now()
		who.openCalls--
		if who.openCalls == 0 && d.options.PollInterval > 0 {
			d.notifyOverdue(k.router)
		}
	}
}
