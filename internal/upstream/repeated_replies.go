package upstream

import (
	"hash/maphash"
	"slices"

	"starlingwinch/internal/resp"
)

// Replies do not identify the request that they answer. A cache may send a reply a second time, some milliseconds after the
// first. If the connection then carries another request, the duplicate would be taken for its reply, and each later request on
// the connection would get the reply to the request before it.
//
// A reply that equals an earlier one of its connection is therefore treated as a duplicate as long as duplicates may arrive. A
// connection is not used for a request whose own reply is likely to equal an earlier one, or which could not be sent again.

const (
	// maxDuplicateDelay is the longest time, in microseconds, after which a duplicate of a reply arrives: some milliseconds, and
	// the time for which busy machines hold it up.
	maxDuplicateDelay Time = 250_000
	// usualDuplicateDelay is the time, in microseconds, within which duplicates arrive if no machine is busy.
	usualDuplicateDelay Time = 20_000
	// equalRepliesTime is how long, in microseconds, a cache that has sent equal replies is expected to send more.
	equalRepliesTime Time = 60_000_000
	// maxRecentReplies limits the replies of one connection of which a duplicate may still arrive.
	maxRecentReplies = 64
)

var hashSeed = maphash.MakeSeed()

// recentReply is a reply of which a duplicate may still arrive.
type recentReply struct {
	receivedAt Time
	hasValue   bool   // refusals and errors have none
	key        uint64 // hash of the requested key
	digest     uint64 // hash of the value, or the result of a reply without one
}

// newRecentReply returns the record of a reply to a request.
func newRecentReply(now Time, request Request, reply *resp.Reply) recentReply {
	if reply.Value == nil {
		return recentReply{receivedAt: now, digest: uint64(reply.Result)}
	}
	return recentReply{receivedAt: now, hasValue: true, key: request.KeyHash(), digest: maphash.Bytes(hashSeed, reply.Value)}
}

// equals reports whether one of two replies may be a duplicate of the other.
func (r recentReply) equals(other recentReply) bool {
	return r.hasValue == other.hasValue && r.digest == other.digest
}

// isWithoutValue reports whether the reply is a refusal or an error.
func (r recentReply) isWithoutValue() bool { return !r.hasValue }

// replyHistory holds the replies of a connection of which duplicates may still arrive, oldest first. Replies to health checks are
// left out: no request accepts them.
type replyHistory struct{ recent []recentReply }

// forgetUntil drops the replies that were received up to the given time.
func (h *replyHistory) forgetUntil(at Time) {
	h.recent = slices.DeleteFunc(h.recent, func(reply recentReply) bool { return reply.receivedAt <= at })
}

// record adds a reply, and reports whether it may be a duplicate of an earlier one.
func (h *replyHistory) record(reply recentReply) (mayBeDuplicate bool) {
	mayBeDuplicate = slices.ContainsFunc(h.recent, reply.equals)
	h.recent = append(h.recent, reply)
	return mayBeDuplicate
}

// last returns the last reply, if there is one.
func (h *replyHistory) last() (reply recentReply, found bool) {
	if len(h.recent) == 0 {
		return recentReply{}, false
	}
	return h.recent[len(h.recent)-1], true
}

// duplicatesEndAt returns the time from which no duplicate of a reply that matches arrives any more.
func (h *replyHistory) duplicatesEndAt(matches func(recentReply) bool) (end Time) {
	for _, reply := range h.recent {
		if matches(reply) {
			end = reply.receivedAt + maxDuplicateDelay
		}
	}
	return end
}

// restedAt returns the time from which an idle connection may carry some attempts.
func (conn *connection) restedAt() Time {
	at := conn.idleSince + conn.cache.minRest
	last, found := conn.history.last()
	if !found {
		return at
	}
	if !last.hasValue {
		at = max(at, last.receivedAt+usualDuplicateDelay) // the next reply may well be another refusal
	}
	if len(conn.history.recent) >= maxRecentReplies || conn.cache.repliesAreEqual() {
		at = max(at, last.receivedAt+maxDuplicateDelay)
	}
	return at
}

// readyAt returns the time from which an idle connection may carry an attempt.
func (conn *connection) readyAt(a *Attempt) Time {
	at := conn.restedAt()
	if a.Request == nil {
		return at
	}
	if last, found := conn.history.last(); found && !a.Request.Idempotent() {
		// A refusal is worth more than a connection here: after it the request may still be sent elsewhere.
		at = max(at, last.receivedAt+usualDuplicateDelay, conn.history.duplicatesEndAt(recentReply.isWithoutValue))
	}
	key := a.Request.KeyHash()
	return max(at, conn.history.duplicatesEndAt(func(reply recentReply) bool { return reply.hasValue && reply.key == key }))
}

// repliesAreEqual reports whether the cache has sent equal replies for different keys within equalRepliesTime.
func (c *cache) repliesAreEqual() bool {
	return c.equalRepliesAt > 0 && c.pool.machine.Now()-c.equalRepliesAt < equalRepliesTime
}

// isDuplicate reports whether the reply to a request must be treated as a duplicate of an earlier one, and records the reply.
func (conn *connection) isDuplicate(request Request, reply *resp.Reply) bool {
	if request == nil {
		return false
	}
	p := conn.cache.pool
	now := p.machine.Now() + p.machine.ClockLag() // the reply may have arrived since the turn began
	if !conn.history.record(newRecentReply(now, request, reply)) {
		return false
	}
	if reply.Value != nil {
		conn.cache.equalRepliesAt = p.machine.Now()
	}
	return true
}
