package registry

import (
	"bytes"
	"net/http"
	"strconv"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/httpserver"
)

// faults are the faults that are on.
type faults struct {
	silent       bool            // calls are never answered
	status       int             // of all answers; 0 for none
	delay        Time            // of all answers
	truncate     bool            // bodies end in the middle
	malform      bool            // bodies are not JSON
	wrongHash    bool            // lists carry a wrong hash
	stale        *view           // that readers see; nil for the present one
	hidden       map[string]bool // instances that this replica does not show, by id
	deltasToLose int             // changes that will not be in deltas
	repeatDelta  bool            // deltas hold each entry twice
	oldDelta     *view           // that deltas are read from; nil for the present one
	hugeBytes    int64           // size of lists of nested JSON; 0 for none
	endless      bool            // lists never end

	delayTimers    map[int64]machine.Timer // of delayed answers, by their number
	answersDelayed int64                   // number of the last of them
}

// stop stops the timers of delayed answers.
func (f *faults) stop() {
	for _, t := range f.delayTimers { // any order: all of them are stopped
		t.Stop()
	}
	f.delayTimers = nil
}

// losesDelta reports whether a change is to be left out of deltas, and counts it.
func (f *faults) losesDelta() bool {
	if f.deltasToLose == 0 {
		return false
	}
	f.deltasToLose--
	return true
}

// Silent switches whether calls are taken without an answer; those of that time are never answered.
func (r *Registry) Silent(on bool) { r.faults.silent = on }

// Error has all calls answered with a status such as 503, without effect; 0 ends that.
func (r *Registry) Error(status int) { r.faults.status = status }

// Refuse switches whether all connections, those there are and new ones, are closed. The state stays.
func (r *Registry) Refuse(on bool) { r.server.Refuse(on) }

// Slow delays all answers; 0 ends that.
func (r *Registry) Slow(d Time) { r.faults.delay = d }

// Truncate switches whether answers with a body are cut off in the middle, with the connection closed.
func (r *Registry) Truncate(on bool) { r.faults.truncate = on }

// Malform switches whether bodies are malformed JSON.
func (r *Registry) Malform(on bool) { r.faults.malform = on }

// WrongHash switches whether lists carry a hash that is not theirs.
func (r *Registry) WrongHash(on bool) {
	r.faults.wrongHash = on
	r.dropRendered()
}

// Stale switches whether readers see the present state from now on. Writes are carried out.
func (r *Registry) Stale(on bool) {
	r.faults.stale = nil
	if on {
		r.faults.stale = r.visibleView()
	}
}

// Empty drops all instances and connections, as a server does that restarts without replicas.
func (r *Registry) Empty() {
	r.server.DropAll()
	marks := r.pendingMarks
	for _, l := range r.leases {
		marks = append(marks, mark{l.ID, Deleted})
	}
	r.pendingMarks = nil
	r.leases, r.deltaQueue, r.overrides = nil, nil, map[string]string{}
	r.start, r.thisMinute, r.renewals, r.lastRenewals = r.machine.Now(), 0, 0, 0
	r.version++
	if r.options.CacheTime > 0 {
		r.cached = r.currentView()
	}
	if r.options.OnMark == nil {
		return
	}
	for _, m := range marks {
		r.reportMark(m)
	}
}

// Disagree has this replica hide instances; without any, that ends.
func (r *Registry) Disagree(ids ...string) {
	r.faults.hidden = map[string]bool{}
	for _, id := range ids {
		r.faults.hidden[id] = true
	}
	r.dropRendered()
	if r.options.CacheTime > 0 {
		r.cached = r.currentView()
	}
}

// DeltaLost leaves the next n changes out of deltas. The hash is still that of the whole list.
func (r *Registry) DeltaLost(n int) { r.faults.deltasToLose = n }

// DeltaRepeat switches whether deltas hold each entry twice.
func (r *Registry) DeltaRepeat(on bool) {
	r.faults.repeatDelta = on
	r.dropRendered()
}

// DeltaOld switches whether deltas stay as they are now, with their hash, while the whole list changes.
func (r *Registry) DeltaOld(on bool) {
	r.faults.oldDelta = nil
	if on {
		r.faults.oldDelta = r.visibleView()
	}
}

// Huge has lists answered by so many bytes of deeply nested JSON; 0 ends that.
func (r *Registry) Huge(size int64) { r.faults.hugeBytes = size }

// Endless switches whether lists are answered by valid instances without end.
func (r *Registry) Endless(on bool) { r.faults.endless = on }

// dropRendered drops the rendered bodies, as a fault changes them.
func (r *Registry) dropRendered() {
	r.version++
	for _, v := range []*view{r.cached, r.faults.stale, r.faults.oldDelta} {
		if v != nil {
			v.bodies = map[string]rendered{}
		}
	}
}

// answer sends an answer, with the faults that are on.
func (r *Registry) answer(x *httpserver.Exchange, a httpserver.Answer) {
	f := &r.faults
	if f.delay <= 0 {
		r.spoil(x, a)
		return
	}
	if f.delayTimers == nil {
		f.delayTimers = map[int64]machine.Timer{}
	}
	f.answersDelayed++
	n := f.answersDelayed
	x.Gone = func() {
		if t := f.delayTimers[n]; t != nil {
			t.Stop()
			delete(f.delayTimers, n)
		}
	}
	f.delayTimers[n] = r.machine.At(r.machine.Now()+f.delay, func() {
		delete(f.delayTimers, n)
		r.spoil(x, a)
	})
}

// spoil sends an answer with the faults of its body.
func (r *Registry) spoil(x *httpserver.Exchange, a httpserver.Answer) {
	f := &r.faults
	list := x.Request.Method == http.MethodGet && a.Status == http.StatusOK
	switch {
	case f.hugeBytes > 0 && list:
		a.Body, a.Header = nil, jsonHeader
		x.Stream(a, nestedList(f.hugeBytes))
	case f.endless && list:
		a.Body, a.Header = nil, jsonHeader
		x.Stream(a, endlessInstances())
	case f.truncate && len(a.Body) > 0:
		b := []byte("HTTP/1.1 " + strconv.Itoa(a.Status) + " " + http.StatusText(a.Status) + "\r\n")
		for _, h := range a.Header {
			b = append(b, h.Name+": "+h.Value+"\r\n"...)
		}
		b = append(b, "Content-Length: "+strconv.Itoa(len(a.Body))+"\r\n\r\n"...)
		x.Raw(append(b, a.Body[:len(a.Body)/2]...))
	default:
		x.Answer(a)
	}
}

// pieceSize is the size of a piece of a streamed answer, in bytes.
const pieceSize = 16 << 10

// nestedList returns the pieces of a list nested in itself, size bytes in all.
func nestedList(size int64) func() []byte {
	const (
		begin = `{"applications":{"application":`
		end   = `}}`
		open  = `[`
		shut  = `]`
	)
	levels := max(1, (size-int64(len(begin)+len(end)))/2)
	opened, closed := int64(0), int64(0)
	step := func(done *int64, text string) []byte {
		n := min(levels-*done, pieceSize)
		*done += n
		return bytes.Repeat([]byte(text), int(n))
	}
	return func() []byte {
		switch {
		case opened == 0:
			return append([]byte(begin), step(&opened, open)...)
		case opened < levels:
			return step(&opened, open)
		case closed < levels:
			b := step(&closed, shut)
			if closed == levels {
				b = append(b, end...)
			}
			return b
		}
		return nil
	}
}

// endlessInstances returns the pieces of a list without end.
func endlessInstances() func() []byte {
	n := 0
	return func() []byte {
		var b []byte
		if n == 0 {
			b = append(b, `{"applications":{"versions__delta":"1","apps__hashcode":"",`...)
			b = append(b, `"application":[{"name":"ENDLESS","instance":[`...)
		}
		for len(b) < pieceSize {
			n++
			in := Instance{
				ID: "endless-" + strconv.Itoa(n), App: "ENDLESS", HostName: "endless", IPAddr: "127.0.0.1",
				DataCenter: "MyOwn", Port: 1, PortOn: true,
			}
			in.fill()
			b = append(b, encode(in.wire(Lease{}, false))...)
			b = append(b, ',')
		}
		return b
	}
}
