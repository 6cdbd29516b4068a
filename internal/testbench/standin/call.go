package standin

import (
	"strconv"

	"github.com/tidwall/redcon"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/rules"
)

// call is one command at a cache, from its last byte to its answer.
type call struct {
	c       *Cache
	conn    *cacheConn
	ask     ask
	attempt rules.Attempt
	job     job
	work    Time
	how     string // hit, miss or pending
	fetched bool
	fetch   *fetch
	write   *keyedWrite // that it carries out
	fails   bool        // it is to be answered with an error after it ran
	gone    bool        // its connection has ended
	over    bool
	reply   []byte // in its turn on the connection
	ready   bool   // reply is whole
	told    func() // of the reply, once it is written
	fault   string // what is to go wrong as it is written
}

// begin takes a request in, or turns it away.
func (k *call) begin() {
	c := k.c
	c.obs.Began(c.m.Now(), k.attempt)
	k.work = c.load.Of(k.ask.class, k.ask.id)
	if !c.sent(k.ask.id, k.attempt.Router, k.work) {
		return
	}
	c.calls[k] = struct{}{}
	k.job = job{work: float64(k.work), start: k.start, done: k.worked}
	fails := chance(c.rng, c.faults.errRate)
	if fails && chance(c.rng, 0.5) {
		k.failed()
		return
	}
	k.fails = fails
	if c.faults.refusing || c.faults.busy || k.ask.wait == 0 || !c.proc.admit(&k.job) {
		k.refused()
	}
}

// start is called when it holds a slot.
func (k *call) start() {
	c := k.c
	switch {
	case k.ask.write:
		if k.repeats() {
			c.proc.leave(&k.job)
			return
		}
		c.proc.run(&k.job)
	case k.fetched:
		c.proc.run(&k.job)
	case c.memory.use(k.ask.key):
		k.how = "hit"
		c.hits++
		c.proc.run(&k.job)
	default:
		k.miss()
	}
}

// miss asks the store, or joins who has asked.
func (k *call) miss() {
	c := k.c
	c.misses++
	k.how = "miss"
	f := c.fetching(k.ask.key)
	if f != nil {
		k.how = "pending"
	}
	if f == nil || !c.o.Coalesce {
		f = newFetch(c, k.ask.key)
	}
	k.fetch = f
	f.waiting = append(f.waiting, k)
	if !c.o.MissKeepsSlot {
		c.proc.leave(&k.job)
	}
}

// arrived is called when the fetch it waits for has ended.
func (k *call) arrived(ok bool) {
	k.fetch = nil
	if k.over {
		return
	}
	if !ok {
		k.c.proc.leave(&k.job)
		k.failed()
		return
	}
	k.fetched = true
	if k.job.state == held {
		k.c.proc.run(&k.job)
		return
	}
	k.c.proc.readmit(&k.job)
}

// worked is called when its work is done. A write has its effect at the store only now.
func (k *call) worked() {
	c := k.c
	if !k.ask.write {
		c.obs.Ran(c.m.Now(), k.attempt, false)
		k.serve("v")
		return
	}
	if k.repeats() {
		return
	}
	if k.keyed() {
		k.write = c.repeats.claim(k.ask.idem, k.attempt.Last)
	}
	c.store.call(k.ask.key, true, "", k.written)
}

func (k *call) keyed() bool { return k.ask.idem != "" && k.c.load.window(k.ask.class) > 0 }

// repeats reports whether it repeats a write that the group remembers: then it is answered like that
// one, and not carried out.
func (k *call) repeats() bool {
	c := k.c
	if !k.keyed() {
		return false
	}
	w := c.repeats.known(k.ask.idem, k.attempt.Last, c.load.window(k.ask.class))
	if w == nil {
		return false
	}
	dropped := func(ok bool) {
		if k.over {
			return
		}
		if !ok {
			k.failed()
			return
		}
		c.obs.Ran(c.m.Now(), k.attempt, true)
		k.serve("w")
	}
	if w.over {
		dropped(true)
	} else {
		w.waiting = append(w.waiting, dropped)
	}
	return true
}

// written is called when the store has carried the write out, or could not. It is carried out also
// where nobody waits for it any more, and where the cache has ended meanwhile.
func (k *call) written(ok bool) {
	c := k.c
	if ok {
		c.obs.Ran(c.m.Now(), k.attempt, false)
	}
	if k.write != nil {
		c.repeats.end(k.ask.idem, k.write, ok)
	}
	switch {
	case k.over:
	case ok:
		k.serve("w")
	default:
		k.failed()
	}
}

// serve answers with a value made for this request, or with the receipt of a write.
func (k *call) serve(kind string) {
	if k.fails {
		k.failed()
		return
	}
	c := k.c
	size := k.ask.size
	if size == 0 && kind == "v" {
		size = c.o.ValueSize
	}
	value := Value(kind, k.ask.id, k.ask.key, size)
	b := redcon.AppendArray(nil, 3)
	b = redcon.AppendBulkString(b, value)
	if k.how == "" {
		b = redcon.AppendNull(b)
	} else {
		b = redcon.AppendBulkString(b, k.how)
	}
	if report := c.report(); report == "" {
		b = redcon.AppendNull(b)
	} else {
		b = redcon.AppendBulkString(b, report)
	}
	k.fault = c.faults.draw(c.rng)
	k.answer(b, rules.Served, value)
}

// Value is what a cache serves: it names the request that it was made for. kind is v for a read's
// value and w for a write's receipt.
func Value(kind, id, key string, size int) string {
	value := kind + ":" + id + ":" + key
	pad := min(size, mostValue) - len(value)
	if pad <= 0 {
		return value
	}
	b := make([]byte, len(value)+pad)
	n := copy(b, value)
	b[n] = ':'
	for i := n + 1; i < len(b); i++ {
		b[i] = '.'
	}
	return string(b)
}

func (k *call) failed()  { k.answer(redcon.AppendError(nil, "ERR failed"), rules.Failed, "") }
func (k *call) refused() { k.answer(redcon.AppendError(nil, "BUSY"), rules.Refused, "") }

// answer ends the call. The answer is written when its turn on the connection has come.
func (k *call) answer(b []byte, kind rules.Answer, value string) {
	if k.over {
		return
	}
	k.finish()
	k.reply, k.ready = b, true
	k.told = func() { k.c.obs.Replied(k.c.m.Now(), k.c.o.Name, k.ask.id, kind, value) }
	if !k.gone {
		k.conn.work()
	}
}

func (k *call) finish() {
	k.over = true
	k.c.proc.leave(&k.job)
	delete(k.c.calls, k)
}

// forget is called when its connection has ended.
func (k *call) forget() {
	k.gone = true
	if k.over || k.attempt.ID == "" {
		return
	}
	c := k.c
	if c.up {
		c.obs.Ended(c.m.Now(), c.o.Name, k.ask.id)
	}
	waits := k.job.state == queued && !k.fetched
	if c.up && (c.o.Cancel == CancelNone || c.o.Cancel == CancelQueued && !waits) {
		return
	}
	f := k.fetch
	k.finish()
	if f != nil {
		f.leave(k)
	}
}

// report is the load report, or nothing.
func (c *Cache) report() string {
	if c.faults.badReport {
		return "inflight=-7,,=,util=1e999,queue"
	}
	if !c.o.Reports {
		return ""
	}
	util := min(1, float64(len(c.proc.jobs))/c.o.Capacity.Cores)
	return "inflight=" + strconv.Itoa(c.proc.slots) + ",queue=" + strconv.Itoa(len(c.proc.queue)) +
		",util=" + strconv.FormatFloat(util, 'f', 2, 64)
}

// fetch is a call to the store for a key that the cache lacks.
type fetch struct {
	c       *Cache
	key     string
	out     *storeCall
	waiting []*call
	timer   machine.Timer
	stale   bool // the key was written meanwhile: the copy is answered and not kept
	over    bool
}

// fetching is the first fetch that is out for a key.
func (c *Cache) fetching(key string) *fetch {
	for _, f := range c.fetches {
		if f.key == key {
			return f
		}
	}
	return nil
}

func newFetch(c *Cache, key string) *fetch {
	f := &fetch{c: c, key: key}
	c.fetches = append(c.fetches, f)
	cold := ""
	if c.WarmingUp() {
		cold = c.o.Name
	}
	f.out = c.store.call(key, false, cold, f.done)
	if c.o.FetchTimeout > 0 {
		f.timer = c.m.At(c.m.Now()+c.o.FetchTimeout, func() {
			f.out.abandon()
			f.done(false)
		})
	}
	return f
}

func (f *fetch) done(ok bool) {
	if f.over {
		return
	}
	f.end()
	if ok && !f.stale {
		f.c.memory.keep(f.key)
	}
	for _, k := range f.waiting {
		k.arrived(ok)
	}
}

func (f *fetch) end() {
	f.over = true
	if f.timer != nil {
		f.timer.Stop()
	}
	f.c.fetches = without(f.c.fetches, f)
}

// leave takes out a request that waits no more. A fetch that nobody waits for is given up.
func (f *fetch) leave(k *call) {
	f.waiting = without(f.waiting, k)
	if len(f.waiting) == 0 && !f.over {
		f.desert()
	}
}

func (f *fetch) desert() {
	f.end()
	f.out.abandon()
}
