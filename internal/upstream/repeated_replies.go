package upstream

import "hash/maphash"

// Replies carry no mark of the request that they answer. A cache that sends one twice, the second time so late that the
// connection carries the next request already, would have its copy taken for the reply to that request, and from then on each
// request would get the reply to the one before. What gives a copy away is that it equals the reply before, though another key
// was requested.

const (
	// commonEqualFraction is the fraction of replies from which on equal ones in a row are taken for usual at a cache.
	commonEqualFraction = .1
	// maxRepliesCounted is the number of replies over which that fraction is taken.
	maxRepliesCounted = 64
	// repeatMemory is for how long a cache that was seen to send a copy is not believed, in microseconds.
	repeatMemory Time = 60_000_000
)

var hashSeed = maphash.MakeSeed()

// replyDigest is what is kept of the latest reply with a value on a connection.
type replyDigest struct {
	key  uint64 // hash of the requested key
	hash uint64 // of the value
	size int    // of the value; 0 where there was no reply yet
}

// repeatDetector is what one cache's replies say about how often two in a row are equal.
type repeatDetector struct {
	replies       int     // to another key than the one before, counted up to maxRepliesCounted
	equalFraction float64 // of them, those that equal the one before: a moving average over about so many
	repeatSeenAt  Time    // when a copy of a reply last arrived without a request; 0 for never
}

// isRepeat reports whether a value is to be taken for a copy of the reply before on its connection, and keeps it for the next
// call. A cache that often sends equal replies to different keys is believed. So is a reply to a request that must not run
// twice, unless the cache was seen to send copies.
func (conn *connection) isRepeat(request Request, value []byte) bool {
	if len(value) == 0 {
		return false
	}
	last := conn.lastReply
	conn.lastReply = replyDigest{request.KeyHash(), maphash.Bytes(hashSeed, value), len(value)}
	if last.size == 0 || last.key == conn.lastReply.key {
		return false
	}
	equal := last.hash == conn.lastReply.hash && last.size == conn.lastReply.size
	detector := &conn.cache.repeats
	equalIsCommon := detector.equalFraction > commonEqualFraction
	detector.count(equal)
	if !equal || equalIsCommon {
		return false
	}
	return !request.NonIdempotent() || detector.sendsCopies(conn.cache.pool.machine.Now())
}

// count takes in whether a reply equals the one before.
func (d *repeatDetector) count(equal bool) {
	d.replies = min(d.replies+1, maxRepliesCounted)
	d.equalFraction -= d.equalFraction / float64(d.replies)
	if equal {
		d.equalFraction += 1 / float64(d.replies)
	}
}

// sendsCopies reports whether a copy of a reply was seen lately.
func (d *repeatDetector) sendsCopies(now Time) bool {
	return d.repeatSeenAt > 0 && now-d.repeatSeenAt < repeatMemory
}

// checkUnrequested notes whether what has arrived without a request is a copy of the last reply.
func (conn *connection) checkUnrequested() {
	p := conn.cache.pool
	n, err := conn.socket.Read(p.readBuffer)
	if err != nil || conn.lastReply.size == 0 {
		return
	}
	reply := &p.reply
	used, err := reply.Next(p.readBuffer[:n])
	if err != nil || used == 0 || len(reply.Value) != conn.lastReply.size {
		return
	}
	if maphash.Bytes(hashSeed, reply.Value) == conn.lastReply.hash {
		conn.cache.repeats.repeatSeenAt = p.machine.Now()
	}
}
