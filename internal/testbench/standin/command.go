package standin

import (
	"strconv"

	"github.com/tidwall/redcon"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/rules"
)

// command is one command at a cache, from its last byte to its answer.
type command struct {
	cache           *Cache
	conn            *cacheConn
	request         wireRequest
	attempt         rules.Attempt
	job             job
	work            Time
	cacheResult     string // hit, miss or pending
	fetched         bool
	fetch           *fetch
	write           *keyedWrite // that it carries out
	failsAfterRun   bool        // it is to be answered with an error after it ran
	connectionEnded bool        // its connection has ended
	finished        bool
	reply           []byte // in its turn on the connection
	replyReady      bool   // reply is whole
	replyWritten    func() // of the reply, once it is written
	fault           string // what is to go wrong as it is written
}

// handle takes a request in, or turns it away.
func (k *command) handle() {
	c := k.cache
	c.observer.Began(c.m.Now(), k.attempt)
	k.work = c.workload.Of(k.request.class, k.request.id)
	if !c.offer(k.request.id, k.attempt.Router, k.work) {
		return
	}
	c.commands[k] = struct{}{}
	k.job = job{work: float64(k.work), start: k.slotGranted, done: k.workDone}
	fails := chance(c.rng, c.faults.errorRate)
	if fails && chance(c.rng, 0.5) {
		k.replyFailed()
		return
	}
	k.failsAfterRun = fails
	if c.faults.draining || c.faults.busy || k.request.timeLeft == 0 || !c.processor.enqueue(&k.job) {
		k.replyRejected()
	}
}

// slotGranted is called when it holds a slot.
func (k *command) slotGranted() {
	c := k.cache
	switch {
	case k.request.write:
		if k.answerRepeat() {
			c.processor.release(&k.job)
			return
		}
		c.processor.run(&k.job)
	case k.fetched:
		c.processor.run(&k.job)
	case c.memory.use(k.request.key):
		k.cacheResult = "hit"
		c.hits++
		c.processor.run(&k.job)
	default:
		k.miss()
	}
}

// miss asks the store, or joins who has asked.
func (k *command) miss() {
	c := k.cache
	c.misses++
	k.cacheResult = "miss"
	f := c.fetching(k.request.key)
	if f != nil {
		k.cacheResult = "pending"
	}
	if f == nil || !c.options.Coalesce {
		f = newFetch(c, k.request.key)
	}
	k.fetch = f
	f.waiting = append(f.waiting, k)
	if !c.options.MissKeepsSlot {
		c.processor.release(&k.job)
	}
}

// fetchDone is called when the fetch it waits for has ended.
func (k *command) fetchDone(ok bool) {
	k.fetch = nil
	if k.finished {
		return
	}
	if !ok {
		k.cache.processor.release(&k.job)
		k.replyFailed()
		return
	}
	k.fetched = true
	if k.job.state == jobHoldingSlot {
		k.cache.processor.run(&k.job)
		return
	}
	k.cache.processor.enqueueFirst(&k.job)
}

// workDone is called when its work is done. A write has its effect at the store only now.
func (k *command) workDone() {
	c := k.cache
	if !k.request.write {
		c.observer.Ran(c.m.Now(), k.attempt, false)
		k.serve("v")
		return
	}
	if k.answerRepeat() {
		return
	}
	if k.deduplicated() {
		k.write = c.repeats.begin(k.request.idempotencyKey, k.attempt.Last)
	}
	c.store.start(k.request.key, true, "", k.storeDone)
}

func (k *command) deduplicated() bool {
	return k.request.idempotencyKey != "" && k.cache.workload.window(k.request.class) > 0
}

// answerRepeat reports whether it repeats a write that the group remembers: then it is answered like that
// one, and not carried out.
func (k *command) answerRepeat() bool {
	c := k.cache
	if !k.deduplicated() {
		return false
	}
	w := c.repeats.lookup(k.request.idempotencyKey, k.attempt.Last, c.workload.window(k.request.class))
	if w == nil {
		return false
	}
	dropped := func(ok bool) {
		if k.finished {
			return
		}
		if !ok {
			k.replyFailed()
			return
		}
		c.observer.Ran(c.m.Now(), k.attempt, true)
		k.serve("w")
	}
	if w.finished {
		dropped(true)
	} else {
		w.waiting = append(w.waiting, dropped)
	}
	return true
}

// storeDone is called when the store has carried the write out, or could not. It is carried out also
// where nobody waits for it any more, and where the cache has ended meanwhile.
func (k *command) storeDone(ok bool) {
	c := k.cache
	if ok {
		c.observer.Ran(c.m.Now(), k.attempt, false)
	}
	if k.write != nil {
		c.repeats.finish(k.request.idempotencyKey, k.write, ok)
	}
	switch {
	case k.finished:
	case ok:
		k.serve("w")
	default:
		k.replyFailed()
	}
}

// serve answers with a value made for this request, or with the receipt of a write.
func (k *command) serve(kind string) {
	if k.failsAfterRun {
		k.replyFailed()
		return
	}
	c := k.cache
	size := k.request.size
	if size == 0 && kind == "v" {
		size = c.options.ValueSize
	}
	value := Value(kind, k.request.id, k.request.key, size)
	b := redcon.AppendArray(nil, 3)
	b = redcon.AppendBulkString(b, value)
	if k.cacheResult == "" {
		b = redcon.AppendNull(b)
	} else {
		b = redcon.AppendBulkString(b, k.cacheResult)
	}
	if report := c.loadReport(); report == "" {
		b = redcon.AppendNull(b)
	} else {
		b = redcon.AppendBulkString(b, report)
	}
	k.fault = c.faults.draw(c.rng)
	k.setReply(b, rules.Served, value)
}

// Value is what a cache serves: it names the request that it was made for. kind is v for a read's
// value and w for a write's receipt.
func Value(kind, id, key string, size int) string {
	value := kind + ":" + id + ":" + key
	pad := min(size, maxValueBytes) - len(value)
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

func (k *command) replyFailed()   { k.setReply(redcon.AppendError(nil, "ERR failed"), rules.Failed, "") }
func (k *command) replyRejected() { k.setReply(redcon.AppendError(nil, "BUSY"), rules.Refused, "") }

// setReply ends the call. The answer is written when its turn on the connection has come.
func (k *command) setReply(b []byte, kind rules.Answer, value string) {
	if k.finished {
		return
	}
	k.finish()
	k.reply, k.replyReady = b, true
	k.replyWritten = func() { k.cache.observer.Replied(k.cache.m.Now(), k.cache.options.Name, k.request.id, kind, value) }
	if !k.connectionEnded {
		k.conn.advance()
	}
}

func (k *command) finish() {
	k.finished = true
	k.cache.processor.release(&k.job)
	delete(k.cache.commands, k)
}

// connectionClosed is called when its connection has ended.
func (k *command) connectionClosed() {
	k.connectionEnded = true
	if k.finished || k.attempt.ID == "" {
		return
	}
	c := k.cache
	if c.up {
		c.observer.Ended(c.m.Now(), c.options.Name, k.request.id)
	}
	waits := k.job.state == jobQueued && !k.fetched
	if c.up && (c.options.Cancel == CancelNone || c.options.Cancel == CancelQueued && !waits) {
		return
	}
	f := k.fetch
	k.finish()
	if f != nil {
		f.removeWaiter(k)
	}
}

// loadReport is the load report, or nothing.
func (c *Cache) loadReport() string {
	if c.faults.badReport {
		return "inflight=-7,,=,util=1e999,queue"
	}
	if !c.options.Reports {
		return ""
	}
	util := min(1, float64(len(c.processor.jobs))/c.options.Capacity.Cores)
	return "inflight=" + strconv.Itoa(c.processor.usedSlots) + ",queue=" + strconv.Itoa(len(c.processor.queue)) +
		",util=" + strconv.FormatFloat(util, 'f', 2, 64)
}

// fetch is a call to the store for a key that the cache lacks.
type fetch struct {
	cache     *Cache
	key       string
	storeCall *storeCall
	waiting   []*command
	timer     machine.Timer
	stale     bool // the key was written meanwhile: the copy is answered and not kept
	finished  bool
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
	f := &fetch{cache: c, key: key}
	c.fetches = append(c.fetches, f)
	cold := ""
	if c.WarmingUp() {
		cold = c.options.Name
	}
	f.storeCall = c.store.start(key, false, cold, f.done)
	if c.options.FetchTimeout > 0 {
		f.timer = c.m.At(c.m.Now()+c.options.FetchTimeout, func() {
			f.storeCall.abandon()
			f.done(false)
		})
	}
	return f
}

func (f *fetch) done(ok bool) {
	if f.finished {
		return
	}
	f.finish()
	if ok && !f.stale {
		f.cache.memory.add(f.key)
	}
	for _, k := range f.waiting {
		k.fetchDone(ok)
	}
}

func (f *fetch) finish() {
	f.finished = true
	if f.timer != nil {
		f.timer.Stop()
	}
	f.cache.fetches = removeFirst(f.cache.fetches, f)
}

// removeWaiter takes out a request that waits no more. A fetch that nobody waits for is given up.
func (f *fetch) removeWaiter(k *command) {
	f.waiting = removeFirst(f.waiting, k)
	if len(f.waiting) == 0 && !f.finished {
		f.abandon()
	}
}

func (f *fetch) abandon() {
	f.finish()
	f.storeCall.abandon()
}
