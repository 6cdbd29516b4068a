package standin

import (
	"net/http"
	"net/url"
	"slices"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/httpserver"
)

const (
	mostWatch = 60 * Second  // a watch may wait so long
	mostIdle  = 600 * Second // a router may keep a connection so long without a call
	mostHead  = 8 << 10      // bytes of a call's head
)

// listDoor is an address at which discovery listens.
type listDoor struct {
	addr, router string
	http         *httpserver.Server
}

func (d *Discovery) listen(door *listDoor) error {
	o := httpserver.Options{MaxHeadBytes: mostHead, IdleTime: mostIdle}
	door.http = httpserver.New(d.m, o, func(x *httpserver.Exchange) {
		router := door.router
		if router == "" && d.o.RouterOf != nil {
			router = d.o.RouterOf(x.Remote)
		}
		d.take(&listCall{d: d, x: x, router: router, after: -1})
	})
	door.http.Refuse(d.down && d.resets)
	var err error
	door.addr, err = door.http.Open(door.addr)
	return err
}

// listCall is a router's call for the list.
type listCall struct {
	d      *Discovery
	x      *httpserver.Exchange
	router string
	after  int64 // -1 for the whole list
	waits  bool  // it is a watch that has nothing to tell yet
	turn   Time  // when the work for it is done
	timer  machine.Timer
}

// take takes a call in.
func (d *Discovery) take(k *listCall) {
	if d.silent {
		d.held = append(d.held, k)
		return
	}
	if k.x.Open() {
		k.begin()
	}
}

// reject answers what is no call for the list, and ends the connection.
func (k *listCall) reject(status int) { k.x.Answer(httpserver.Answer{Status: status, Close: true}) }

func (k *listCall) begin() {
	d, q := k.d, k.x.Request
	query, err := url.ParseQuery(q.URL.RawQuery)
	switch {
	case q.Method != http.MethodGet:
		k.reject(http.StatusMethodNotAllowed)
		return
	case err != nil || len(k.x.Body) > 0:
		k.reject(http.StatusBadRequest)
		return
	case q.URL.Path != "/discovery/hosts":
		k.reject(http.StatusNotFound)
		return
	}
	wait := Time(0)
	if query.Has("after") {
		after, ok := number([]byte(query.Get("after")))
		ms, ok2 := number([]byte(query.Get("wait_ms")))
		if !ok || query.Has("wait_ms") && !ok2 {
			k.reject(http.StatusBadRequest)
			return
		}
		k.after, wait = after, min(ms*Millisecond, mostWatch)
	}
	who := d.callers[k.router]
	goesOn := who != nil && who.waiting == 0 && k.after >= 0 && d.m.Now() <= who.answered+watchPause
	d.calls = append(d.calls, k)
	k.x.Gone, k.x.Ended = k.over, k.drop
	if who != nil {
		who.last = d.m.Now()
		who.waiting++
	}
	if d.down {
		k.refuse()
		return
	}
	if !goesOn && !k.admit() {
		return
	}
	if k.after == d.index && wait > 0 && !d.atOnce {
		k.waits = true
		k.timer = d.m.At(d.m.Now()+wait, k.answer)
		return
	}
	k.answer()
}

// watchPause is for how long after an answer the next call goes on with the watch. It takes no turn of its own.
const watchPause = 200 * Millisecond

// admit takes a new call in turn, or turns it away: with it the router's other calls end.
func (k *listCall) admit() bool {
	d, now := k.d, k.d.m.Now()
	cost := d.o.CallCost + Time(len(d.lines))*d.o.LineCost
	if cost == 0 || d.o.Pushed {
		return true
	}
	if done := max(now, d.freeAt) + cost; d.o.Timeout == 0 || done-now <= d.o.Timeout {
		d.freeAt, k.turn = done, done
		return true
	}
	d.freeAt = max(now, d.freeAt) + d.o.RejectCost
	for _, other := range slices.Clone(d.calls) {
		if other.router == k.router {
			other.refuse()
		}
	}
	return false
}

// answer answers the call once its turn is over. What a watch has to tell costs by its lines.
func (k *listCall) answer() {
	d := k.d
	if k.timer != nil {
		k.timer.Stop()
	}
	k.waits = false
	now := d.m.Now()
	if k.turn <= now && !d.o.Pushed {
		if cost := Time(d.changedSince(k.after)) * d.o.LineCost; cost > 0 {
			d.freeAt = max(now, d.freeAt) + cost
			k.turn = d.freeAt
		}
	}
	if k.turn <= now {
		k.reply()
		return
	}
	k.timer = d.m.At(k.turn, k.reply)
}

// changedSince is how many lines have changed since a version.
func (d *Discovery) changedSince(after int64) (n int) {
	for _, l := range d.lines {
		if l.version > after {
			n++
		}
	}
	return n
}

func (k *listCall) reply() {
	d := k.d
	if d.silent {
		k.timer = d.m.At(d.m.Now()+coldStep, k.reply)
		return
	}
	k.over()
	body, whole := d.list(k.router, k.after)
	if k.send(http.StatusOK, body) {
		if who := d.callers[k.router]; who != nil {
			who.answered = d.m.Now()
		}
		d.listed(k.router, k.after, whole)
	}
}

// refuse answers the call 503.
func (k *listCall) refuse() {
	k.over()
	k.send(http.StatusServiceUnavailable, nil)
}

func (k *listCall) send(status int, body []byte) bool {
	return k.x.Answer(httpserver.Answer{
		Status: status,
		Header: []httpserver.Header{{Name: "Content-Type", Value: "application/json"}},
		Body:   body,
	})
}

// drop ends the connection of a router that waits no more.
func (k *listCall) drop() {
	k.over()
	k.x.Drop()
}

// over ends the call.
func (k *listCall) over() {
	d := k.d
	d.calls = without(d.calls, k)
	if k.timer != nil {
		k.timer.Stop()
	}
	if who := d.callers[k.router]; who != nil {
		who.last = d.m.Now()
		who.waiting--
		if who.waiting == 0 && d.o.PollInterval > 0 {
			d.overdue(k.router)
		}
	}
}
