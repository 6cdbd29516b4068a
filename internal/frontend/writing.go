package frontend

import "bytes"

// flush writes the replies that are ready, in the order of their commands, until the socket accepts no more.
func (c *connection) flush() {
	for !c.closed {
		batch := c.unsent
		if len(batch) == 0 {
			batch = c.nextBatch()
		}
		if len(batch) == 0 {
			break
		}
		n, err := c.socket.Write(batch)
		if err != nil {
			c.unsent = batch // close releases its bytes from the budget
			c.clientStatus = max(c.clientStatus, clientClosed)
			c.close()
			return
		}
		c.release(int64(n))
		if n < len(batch) {
			c.saveUnsent(batch[n:])
			return
		}
		c.unsent = nil
	}
	if !c.closed {
		c.afterFlush()
	}
}

// afterFlush runs once all replies that were ready are written. It resumes reading, or closes the connection if it must
// close. While commands are being executed, that is left to the end of the read.
func (c *connection) afterFlush() {
	if c.state == stateWriteBlocked {
		c.enterState(stateAwaitingReplies)
		if !c.reading {
			c.updateState()
		}
	}
	if c.readPaused && !c.atPipelineLimit() {
		c.readPaused = false
		c.scheduleRead()
	}
	if c.closed || len(c.pendingReplies) > 0 || len(c.unsent) > 0 || c.state == stateLingering {
		return
	}
	if c.reading && !c.finishing {
		return
	}
	switch {
	case c.finishing:
		c.closeGracefully()
	case c.retired && c.hasPartialCommand():
		c.startGrace()
	case c.retired:
		c.closeIfQuiet()
	case c.state == stateAwaitingReplies && !c.hasPartialCommand():
		c.enterState(stateIdle)
	}
}

// nextBatch removes replies that are ready from the queue and returns their bytes: at least one reply, and further replies
// up to maxBatchBytes in total. The limit avoids copying all replies at each write to a client that reads slowly. The bytes
// stay reserved until they are written.
func (c *connection) nextBatch() []byte {
	s := c.server
	count, size, charged := 0, 0, int64(0)
	for count < len(c.pendingReplies) && c.pendingReplies[count].answered {
		slot := c.pendingReplies[count]
		if count > 0 && size+len(slot.reply) > maxBatchBytes {
			break
		}
		size += len(slot.reply)
		charged += slot.charged
		count++
	}
	if count == 0 {
		return nil
	}
	c.release(charged - int64(size))
	batch := c.pendingReplies[0].reply
	if count > 1 {
		s.writeBuffer = s.writeBuffer[:0]
		for _, slot := range c.pendingReplies[:count] {
			s.writeBuffer = append(s.writeBuffer, slot.reply...)
		}
		batch = s.writeBuffer
	}
	c.dequeue(count)
	return batch
}

// dequeue removes the first count replies from the queue.
func (c *connection) dequeue(count int) {
	for _, slot := range c.pendingReplies[:count] {
		slot.dequeued = true
	}
	left := copy(c.pendingReplies, c.pendingReplies[count:])
	clear(c.pendingReplies[left:])
	c.pendingReplies = c.pendingReplies[:left]
}

// saveUnsent stores the rest of a batch that the socket did not accept. The client's time limit for reading the batch starts
// with the first partial write.
func (c *connection) saveUnsent(rest []byte) {
	if len(c.unsent) > 0 {
		c.unsent = rest // rest is the tail of c.unsent
		return
	}
	c.unsent = bytes.Clone(rest)
	c.enterState(stateWriteBlocked)
}

// scheduleFlush schedules a flush of the connection at the end of the turn. A client that pipelines often receives several
// replies in one turn, and a separate write for each reply would cost more than all other work for the reply.
func (s *Server) scheduleFlush(c *connection) {
	if c.flushScheduled {
		return
	}
	c.flushScheduled = true
	s.flushQueue = append(s.flushQueue, c)
	if len(s.flushQueue) == 1 {
		s.machine.At(s.machine.Now(), s.flushScheduled)
	}
}

// flushScheduled writes the replies of all connections in the flush queue. A flush may read commands whose replies extend
// the queue.
func (s *Server) flushScheduled() {
	for i := 0; i < len(s.flushQueue); i++ {
		c := s.flushQueue[i]
		s.flushQueue[i], c.flushScheduled = nil, false
		if len(c.unsent) == 0 {
			c.flush()
		}
	}
	s.flushQueue = s.flushQueue[:0]
	s.handler.ProcessEvents()
}
