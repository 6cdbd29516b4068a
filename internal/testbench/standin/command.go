package standin

import (
	"strconv"

	"github.com/tidwall/redcon"

	"starlingwinch/internal/testbench/rules"
)

// command is one command at a cache, from the receipt of its last byte to its reply.
type command struct {
	cache           *Cache
	conn            *cacheConn
	request         wireRequest
	attempt         rules.Attempt // the attempt as reported to the observer; its ID is empty if the command is not a request
	job             job           // the command's job at the processor
	work            Time          // µs on one core
	cacheResult     string        // hit, miss or pending; empty for a write
	fetched         bool          // the command's fetch succeeded
	fetch           *fetch        // fetch that the command waits for; nil without one
	write           *keyedWrite   // deduplicated write that the command carries out; nil without one
	failsAfterRun   bool          // a fault replaces the reply by an error after the request ran
	connectionEnded bool          // the reply can't be delivered
	finished        bool          // the command has a reply or was cancelled
	reply           []byte        // written after the replies to the connection's earlier commands
	replyReady      bool          // reply is complete
	replyWritten    func()        // called when the reply is written
	fault           string        // fault drawn for the reply
}

// handle is called when the connection starts the request. It enqueues, rejects or fails the request.
func (cmd *command) handle() {
	c := cmd.cache
	c.observer.Began(c.m.Now(), cmd.attempt)
	cmd.work = c.workload.Of(cmd.request.class, cmd.request.id)
	if !c.offer(cmd.request.id, cmd.attempt.Router, cmd.work) {
		return
	}
	c.commands[cmd] = struct{}{}
	cmd.job = job{work: float64(cmd.work), start: cmd.slotGranted, done: cmd.workDone}
	fails := chance(c.rng, c.faults.errorRate)
	if fails && chance(c.rng, 0.5) {
		cmd.replyFailed()
		return
	}
	cmd.failsAfterRun = fails
	if c.faults.draining || c.faults.busy || cmd.request.timeLeft == 0 || !c.processor.enqueue(&cmd.job) {
		cmd.replyRejected()
	}
}

// slotGranted is called by the processor when the request gets a slot.
func (cmd *command) slotGranted() {
	c := cmd.cache
	switch {
	case cmd.request.write:
		if cmd.answerRepeat() {
			c.processor.release(&cmd.job)
			return
		}
		c.processor.run(&cmd.job)
	case cmd.fetched:
		c.processor.run(&cmd.job)
	case c.memory.use(cmd.request.key):
		cmd.cacheResult = "hit"
		c.hits++
		c.processor.run(&cmd.job)
	default:
		cmd.miss()
	}
}

// miss starts a fetch from the store, or joins a fetch of the same key that is in flight.
func (cmd *command) miss() {
	c := cmd.cache
	c.misses++
	cmd.cacheResult = "miss"
	f := c.fetching(cmd.request.key)
	if f != nil {
		cmd.cacheResult = "pending"
	}
	if f == nil || !c.options.Coalesce {
		f = newFetch(c, cmd.request.key)
	}
	cmd.fetch = f
	f.waiting = append(f.waiting, cmd)
	if !c.options.MissOccupiesSlot {
		c.processor.release(&cmd.job)
	}
}

// fetchDone is called when the fetch that the request waits for has ended.
func (cmd *command) fetchDone(ok bool) {
	cmd.fetch = nil
	if cmd.finished {
		return
	}
	if !ok {
		cmd.cache.processor.release(&cmd.job)
		cmd.replyFailed()
		return
	}
	cmd.fetched = true
	if cmd.job.state == jobHoldingSlot {
		cmd.cache.processor.run(&cmd.job)
		return
	}
	cmd.cache.processor.enqueueFirst(&cmd.job)
}

// workDone is called by the processor when the work is done. A write is sent to the store only then.
func (cmd *command) workDone() {
	c := cmd.cache
	if !cmd.request.write {
		c.observer.Ran(c.m.Now(), cmd.attempt, false)
		cmd.serve("v")
		return
	}
	if cmd.answerRepeat() {
		return
	}
	if cmd.deduplicated() {
		cmd.write = c.repeats.begin(cmd.request.idempotencyKey, cmd.attempt.Last)
	}
	c.store.start(cmd.request.key, true, "", cmd.storeDone)
}

// deduplicated reports whether the caches drop repeats of the request.
func (cmd *command) deduplicated() bool {
	return cmd.request.idempotencyKey != "" && cmd.cache.workload.window(cmd.request.class) > 0
}

// answerRepeat reports whether the request repeats a write that the group remembers. Such a request gets the same reply as
// that write and is not carried out.
func (cmd *command) answerRepeat() bool {
	c := cmd.cache
	if !cmd.deduplicated() {
		return false
	}
	w := c.repeats.lookup(cmd.request.idempotencyKey, cmd.attempt.Last, c.workload.window(cmd.request.class))
	if w == nil {
		return false
	}
	dropped := func(ok bool) {
		if cmd.finished {
			return
		}
		if !ok {
			cmd.replyFailed()
			return
		}
		c.observer.Ran(c.m.Now(), cmd.attempt, true)
		cmd.serve("w")
	}
	if w.finished {
		dropped(true)
	} else {
		w.waiting = append(w.waiting, dropped)
	}
	return true
}

// storeDone is called when the store has completed the write or failed. The store completes a write even if the client
// has disconnected or the cache has stopped.
func (cmd *command) storeDone(ok bool) {
	c := cmd.cache
	if ok {
		c.observer.Ran(c.m.Now(), cmd.attempt, false)
	}
	if cmd.write != nil {
		c.repeats.finish(cmd.request.idempotencyKey, cmd.write, ok)
	}
	switch {
	case cmd.finished:
	case ok:
		cmd.serve("w")
	default:
		cmd.replyFailed()
	}
}

// serve replies with the value of a read (kind v) or with the receipt of a write (kind w).
func (cmd *command) serve(kind string) {
	if cmd.failsAfterRun {
		cmd.replyFailed()
		return
	}
	c := cmd.cache
	size := cmd.request.size
	if size == 0 && kind == "v" {
		size = c.options.ValueSize
	}
	value := Value(kind, cmd.request.id, cmd.request.key, size)
	b := redcon.AppendArray(nil, 3)
	b = redcon.AppendBulkString(b, value)
	if cmd.cacheResult == "" {
		b = redcon.AppendNull(b)
	} else {
		b = redcon.AppendBulkString(b, cmd.cacheResult)
	}
	if report := c.loadReport(); report == "" {
		b = redcon.AppendNull(b)
	} else {
		b = redcon.AppendBulkString(b, report)
	}
	cmd.fault = c.faults.draw(c.rng)
	cmd.setReply(b, rules.Served, value)
}

// Value returns a value that contains the id and the key of its request. kind is v for a read's value, w for a
// write's receipt and p for the value that a client writes. The value is padded to size.
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

// replyFailed replies with an error that does not say whether the request ran.
func (cmd *command) replyFailed() {
	cmd.setReply(redcon.AppendError(nil, "ERR failed"), rules.Failed, "")
}

// replyRejected replies that the request was rejected and may be retried.
func (cmd *command) replyRejected() { cmd.setReply(redcon.AppendError(nil, "BUSY"), rules.Refused, "") }

// setReply finishes the command. The reply is written after those to the connection's earlier commands.
func (cmd *command) setReply(b []byte, kind rules.Answer, value string) {
	if cmd.finished {
		return
	}
	cmd.finish()
	cmd.reply, cmd.replyReady = b, true
	cmd.replyWritten = func() {
		cmd.cache.observer.Replied(cmd.cache.m.Now(), cmd.cache.options.Name, cmd.request.id, kind, value)
	}
	if !cmd.connectionEnded {
		cmd.conn.advance()
	}
}

// finish releases the command's job and marks the command as finished.
func (cmd *command) finish() {
	cmd.finished = true
	cmd.cache.processor.release(&cmd.job)
	delete(cmd.cache.commands, cmd)
}

// connectionClosed is called when the connection has ended. CacheOptions.Cancel determines whether the work continues.
func (cmd *command) connectionClosed() {
	cmd.connectionEnded = true
	if cmd.finished || cmd.attempt.ID == "" {
		return
	}
	c := cmd.cache
	if c.up {
		c.observer.Ended(c.m.Now(), c.options.Name, cmd.request.id)
	}
	waits := cmd.job.state == jobQueued && !cmd.fetched
	if c.up && (c.options.Cancel == CancelNone || c.options.Cancel == CancelQueued && !waits) {
		return
	}
	f := cmd.fetch
	cmd.finish()
	if f != nil {
		f.removeWaiter(cmd)
	}
}

// loadReport returns the load report, or "" if the cache sends none.
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
