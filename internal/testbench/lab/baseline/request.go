// Requests, and their attempts at the caches.

package baseline

import (
	"bytes"
	"fmt"

	"starlingwinch/decide"
	"starlingwinch/internal/machine"
)

type request struct {
	n        *node
	id       int64
	raw      []byte
	deadline decide.Time
	slot     *slot
	over     bool
	out      int
	attempts []*attempt
}

func (r *request) finish(b []byte) {
	if r.over {
		return
	}
	r.over = true
	for _, a := range r.attempts {
		if !a.written {
			a.end(decide.Cancelled, nil, false)
		}
	}
	r.slot.say(b)
	r.forget()
}

func (r *request) forget() {
	if r.over && r.out == 0 {
		delete(r.n.requests, r.id)
	}
}

// attempt is one attempt with its connection.
type attempt struct {
	stream
	request *request
	number  int
	sent    decide.Time
	writeBy decide.Time
	dialing machine.Dialing
	timer   machine.Timer
	written bool
	over    bool
}

// Readable implements machine.Handler.
func (a *attempt) Readable() {
	if a.over {
		return
	}
	on := a.fill()
	k := reply(a.in, false)
	switch {
	case k > 0 && a.in[0] == '*':
		parts := words(a.in[:k])
		a.end(decide.Served, []byte(fmt.Sprintf("$%d\r\n%s\r\n", len(parts[0]), parts[0])), parts[1] == "miss")
	case k > 0 && bytes.HasPrefix(a.in, []byte("-BUSY")):
		a.end(decide.Rejected, nil, false)
	case k > 0:
		a.end(decide.Errored, nil, false)
	case k < 0 || !on:
		a.end(decide.ConnectionLost, nil, false)
	}
}

func (a *attempt) end(result decide.Result, answer []byte, miss bool) {
	if a.over {
		return
	}
	a.over = true
	if a.timer != nil {
		a.timer.Stop()
	}
	r := a.request
	n := r.n
	if a.dialing != nil {
		a.dialing.Cancel()
		n.conns--
	}
	if a.conn != nil {
		a.close()
		n.conns--
	}
	if !a.written && result == decide.Cancelled {
		result = decide.NotSent
	}
	r.out--
	n.attempts--
	if answer != nil {
		r.finish(answer)
	}
	n.tell(&decide.AttemptResult{ID: r.id, Attempt: a.number, Result: result, Elapsed: n.m.Now() - a.sent, Final: r.over,
		Miss: miss, Load: decide.LoadReport{Utilization: -1}})
	r.forget()
}
