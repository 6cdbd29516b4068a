package upstream

import "hash/maphash"

// Replies do not identify the request that they answer. If a cache sends a reply twice, and the duplicate arrives when the
// connection already carries the next request, the router would mistake the duplicate for the reply to that request, and each
// later request on the connection would get the reply to the request before it. A duplicate is recognized because it equals the
// previous reply although a different key was requested.

const (
	// commonEqualFraction is the fraction of replies that equal the previous reply above which equal consecutive replies are
	// considered normal for a cache.
	commonEqualFraction = .1
	// maxRepliesCounted is the number of replies over which that fraction is averaged.
	maxRepliesCounted = 64
	// duplicateWindow is how long, in microseconds, a cache that has sent a duplicate is suspected of sending more.
	duplicateWindow Time = 60_000_000
)

var hashSeed = maphash.MakeSeed()

// replyDigest identifies the latest reply with a value on a connection.
type replyDigest struct {
	key  uint64 // hash of the requested key
	hash uint64 // hash of the value
	size int    // size of the value in bytes; 0 if there was no reply yet
}

// duplicateDetector tracks how often consecutive replies of one cache to different keys are equal.
type duplicateDetector struct {
	replies         int     // number of replies to a different key than the previous one, counted up to maxRepliesCounted
	equalFraction   float64 // fraction of those that equal the previous reply: a moving average over maxRepliesCounted
	duplicateSeenAt Time    // when a duplicate of a reply last arrived without a request; 0 for never
}

// isDuplicate reports whether a value must be treated as a duplicate of the previous reply on its connection, and stores the
// value's digest for the next call. An equal value is accepted if the cache often sends equal replies to different keys. It is
// also accepted for a request that must not run twice, unless the cache has recently sent a duplicate.
func (conn *connection) isDuplicate(request Request, value []byte) bool {
	if len(value) == 0 {
		return false
	}
	last := conn.lastReply
	conn.lastReply = replyDigest{request.KeyHash(), maphash.Bytes(hashSeed, value), len(value)}
	if last.size == 0 || last.key == conn.lastReply.key {
		return false
	}
	equal := last.hash == conn.lastReply.hash && last.size == conn.lastReply.size
	detector := &conn.cache.duplicates
	equalIsCommon := detector.equalFraction > commonEqualFraction
	detector.record(equal)
	if !equal || equalIsCommon {
		return false
	}
	return !request.NonIdempotent() || detector.duplicateSeen(conn.cache.pool.machine.Now())
}

// record updates the moving average with a reply that does or does not equal the previous one.
func (d *duplicateDetector) record(equal bool) {
	d.replies = min(d.replies+1, maxRepliesCounted)
	d.equalFraction -= d.equalFraction / float64(d.replies)
	if equal {
		d.equalFraction += 1 / float64(d.replies)
	}
}

// duplicateSeen reports whether an unsolicited duplicate has arrived within duplicateWindow.
func (d *duplicateDetector) duplicateSeen(now Time) bool {
	return d.duplicateSeenAt > 0 && now-d.duplicateSeenAt < duplicateWindow
}

// checkUnsolicited records a duplicate if the data that arrived without a request equals the last reply.
func (conn *connection) checkUnsolicited() {
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
		conn.cache.duplicates.duplicateSeenAt = p.machine.Now()
	}
}
