package registry

import (
	"bytes"
	"net/http"
	"strconv"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/httpserver"
)

// faults are what the registry does wrong.
type faults struct {
	silent       bool
	status       int
	delay        Time
	truncate     bool
	malform      bool
	wrongHash    bool
	stale        *view
	hidden       map[string]bool
	deltasToLose int
	repeatDelta  bool
	oldDelta     *view
	hugeBytes    int64
	endless      bool

	delayTimers    map[int64]machine.Timer // of slow answers, by the order in which they were asked for
	answersDelayed int64
}

func (f *faults) stop() {
	for _, t := range f.delayTimers { // any order: all of them are stopped
		t.Stop()
	}
	f.delayTimers = nil
}

func (f *faults) losesDelta() bool {
	if f.deltasToLose == 0 {
		return false
	}
	f.deltasToLose--
	return true
}

// Silent has it take calls in and answer none; those are never answered.
func (r *Registry) Silent(on bool) { r.faults.silent = on }

// Error has all calls answered with a status such as 503, and do nothing; 0 ends that.
func (r *Registry) Error(status int) { r.faults.status = status }

// Refuse ends all connections, and each that comes from now on; or not any more. The state stays.
func (r *Registry) Refuse(on bool) { r.server.Refuse(on) }

// Slow has all answers come so much later; 0 ends that.
func (r *Registry) Slow(d Time) { r.faults.delay = d }

// Truncate has answers with a body end in the middle, with the connection.
func (r *Registry) Truncate(on bool) { r.faults.truncate = on }

// Malform has bodies hold bad JSON.
func (r *Registry) Malform(on bool) { r.faults.malform = on }

// WrongHash has lists carry a hash that is not theirs.
func (r *Registry) WrongHash(on bool) {
	r.faults.wrongHash = on
	r.dropRendered()
}

// Stale has readers see the state of this moment from now on. Writers are served as ever.
func (r *Registry) Stale(on bool) {
	r.faults.stale = nil
	if on {
		r.faults.stale = r.visibleView()
	}
}

// Empty loses all that was registered and all connections, as a server does that starts anew without replicas.
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

// Disagree has this replica show nothing of the instances; without any, that ends.
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

// DeltaLost has the next n changes never stand in deltas. The hash is that of the whole all the same.
func (r *Registry) DeltaLost(n int) { r.faults.deltasToLose = n }

// DeltaRepeat has each entry of a delta stand there twice.
func (r *Registry) DeltaRepeat(on bool) {
	r.faults.repeatDelta = on
	r.dropRendered()
}

// DeltaOld has deltas stay as they are at this moment, with their hash, while the whole list goes on.
func (r *Registry) DeltaOld(on bool) {
	r.faults.oldDelta = nil
	if on {
		r.faults.oldDelta = r.visibleView()
	}
}

// Huge has lists answered with so many bytes of deeply nested JSON; 0 ends that.
func (r *Registry) Huge(size int64) { r.faults.hugeBytes = size }

// Endless has lists answered with good instances, one after the other, that never end.
func (r *Registry) Endless(on bool) { r.faults.endless = on }

// dropRendered has answers made anew.
func (r *Registry) dropRendered() {
	r.version++
	for _, v := range []*view{r.cached, r.faults.stale, r.faults.oldDelta} {
		if v != nil {
			v.bodies = map[string]rendered{}
		}
	}
}

// answer gives an answer, with what is wrong with it at present.
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

// pieceSize is how much of an answer is made at a time.
const pieceSize = 16 << 10

// nestedList gives a list, as one level in the other, until size bytes are given.
func nestedList(size int64) func() []byte {
	const begin, end = `{"applications":{"application":`, `}}`
	const open, shut = `[`, `]`
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

// endlessInstances gives a list that goes on for ever.
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
