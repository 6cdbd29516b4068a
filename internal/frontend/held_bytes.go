package frontend

// Memory that a connection holds, in bytes. All of it counts against the server's budget.
const (
	// slotBytes is the memory of a ReplySlot without a request, and of its place in the queue.
	slotBytes = 96
	// requestSlotBytes is the memory of a requestSlot, and of its place in the queue. It is part of Options.RequestBytes.
	requestSlotBytes = 320
	// freeUnparsedBytes is the size of a partial command up to which it may use the whole budget. Beyond it, the quota of the
	// connection applies.
	freeUnparsedBytes = 1 << 10
	// shortageReadBytes is the maximum number of bytes of one read while the budget is short.
	shortageReadBytes = 2 << 10
)

// Times after which a client no longer keeps memory that others need, in microseconds.
const (
	stalledCommandTime Time = 500_000   // since the last byte of a partial command arrived
	stalledWriteTime   Time = 1_000_000 // since the client began to leave its replies unread
)

// reserveRequest reserves the bytes of a request. A connection that holds nothing may use the whole budget, so that clients that
// hold much do not keep others from a single request.
func (c *connection) reserveRequest(n int64) bool { return c.reserve(n, c.held > 0) }

// reserveReply reserves the bytes of a reply. A client that does not read its replies, or whose replies wait for an earlier one,
// is limited to its quota.
func (c *connection) reserveReply(slot *ReplySlot, n int64) bool {
	waits := len(c.unsent) > 0 || len(c.pendingReplies) > 0 && c.pendingReplies[0] != slot
	return c.reserve(n, waits)
}

// reserve reserves n bytes, within the quota of the connection if it is limited. Without memory, it reclaims the memory of stalled clients.
func (c *connection) reserve(n int64, isLimited bool) bool {
	budget := &c.server.buffered
	for isLimited && !budget.reserveWithinQuota(c.held, n) || !isLimited && !budget.reserve(n) {
		if !c.server.reclaimStalled(c) {
			return false
		}
	}
	c.held += n
	return true
}

// charge counts n bytes that the connection holds in any case.
func (c *connection) charge(n int64) {
	c.server.buffered.used += n
	c.held += n
}

// release returns n bytes that the connection held.
func (c *connection) release(n int64) {
	c.server.buffered.release(n)
	c.held -= n
}

// reserveUnparsed reserves the memory of the unparsed bytes after they have grown. It reports false if no memory is left.
func (c *connection) reserveUnparsed() bool {
	size := int64(cap(c.unparsed))
	more := size - c.unparsedCharge
	if more <= 0 {
		return true
	}
	budget := &c.server.buffered
	for (size > freeUnparsedBytes || !budget.reserve(more)) && !budget.reserveWithinQuota(c.held+c.unparsedCharge, more) {
		if !c.server.reclaimStalled(c) {
			return false
		}
	}
	c.unparsedCharge = size
	return true
}

// releaseUnparsed returns the memory of the unparsed bytes, which the caller has dropped or replaced by a copy of the given size.
func (c *connection) releaseUnparsed(left int64) {
	if left < c.unparsedCharge {
		c.server.buffered.release(c.unparsedCharge - left)
		c.unparsedCharge = left
	}
}

// readSize returns the maximum number of bytes of the next read.
func (s *Server) readSize() int {
	if s.buffered.limit-s.buffered.used < s.buffered.limit/reservedDivisor {
		return shortageReadBytes
	}
	return len(s.readBuffer)
}

// releaseEmptyUnparsed releases the buffer of the unparsed bytes if it is empty.
func (c *connection) releaseEmptyUnparsed() {
	if len(c.unparsed) == 0 {
		c.unparsed = nil
		c.releaseUnparsed(0)
	}
}

// isStalled reports whether the rest of a partial command has not come for stalledCommandTime, and nothing waits to be read.
func (c *connection) isStalled(now Time) bool {
	isOld := c.state == statePartialCommand && c.receivedAt+stalledCommandTime <= now
	return isOld && !c.reading && !c.readScheduled && c.socket.HasNothingUnread()
}

// reclaimStalled frees the memory of one client that has stopped in the middle of a large command or does not read its replies,
// and reports whether there was such a client other than c.
func (s *Server) reclaimStalled(c *connection) bool {
	now := s.machine.Now()
	for other := s.lists[statePartialCommand].first; other != nil; other = other.next {
		holdsMuch := other.skipper == nil && other.unparsedCharge >= shortageReadBytes
		if other != c && holdsMuch && other.isStalled(now) {
			quota := maxCommandsPerTurn
			other.rejectPartialCommand(&quota)
			return true
		}
	}
	other := s.lists[stateWriteBlocked].first
	if other == nil || other == c || other.stateSince+stalledWriteTime > now {
		return false
	}
	other.close()
	return true
}
