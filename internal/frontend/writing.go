package frontend

import "bytes"

// flush writes the replies that are there, in the order of their commands, as far as the socket takes them.
func (c *connection) flush() {
	s := c.server
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
			c.unsent = batch // close releases its memory
			c.clientEnd = max(c.clientEnd, clientEnded)
			c.close()
			return
		}
		s.buffered.release(int64(n))
		if n < len(batch) {
			c.keepUnsent(batch[n:])
			return
		}
		c.unsent = nil
	}
	if !c.closed {
		c.afterFlush()
	}
}

// afterFlush continues after all replies that were there are written: with reading, or with the close that waited for them.
func (c *connection) afterFlush() {
	if c.state == stateWriteBlocked {
		c.enterState(stateAwaitingReplies)
		c.updateState()
	}
	if c.readPaused && !c.atPipelineLimit() {
		c.readPaused = false
		c.scheduleRead()
	}
	if c.closed || len(c.pendingReplies) > 0 || len(c.unsent) > 0 || c.state == stateLingering {
		return
	}
	switch {
	case c.finishing:
		c.closeGracefully()
	case c.retired && len(c.unparsed) > 0:
		c.startGrace()
	case c.retired:
		c.closeIfQuiet()
	case c.state == stateAwaitingReplies && len(c.unparsed) == 0:
		c.enterState(stateIdle)
	}
}

// nextBatch takes replies that are there off the queue: one, or as many as make up maxBatchBytes, so that a client that reads
// slowly does not have all its replies copied at each write. Their bytes stay reserved until they are written.
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
	s.buffered.release(charged - int64(size))
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

// dequeue takes the first replies off the queue.
func (c *connection) dequeue(count int) {
	for _, slot := range c.pendingReplies[:count] {
		slot.dequeued = true
	}
	left := copy(c.pendingReplies, c.pendingReplies[count:])
	clear(c.pendingReplies[left:])
	c.pendingReplies = c.pendingReplies[:left]
}

// keepUnsent keeps what the socket did not take of a batch. The client's time to read it runs from the first time that it is
// not taken whole.
func (c *connection) keepUnsent(rest []byte) {
	if len(c.unsent) > 0 {
		c.unsent = rest // it is the end of the same bytes
		return
	}
	c.unsent = bytes.Clone(rest)
	c.enterState(stateWriteBlocked)
}

// scheduleFlush has a connection's replies written at the end of the turn. Several replies to a client that pipelines often
// come in one turn, and one write for each costs more than everything else that is done for them.
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

// flushScheduled writes the replies of all connections in the queue. A flush may read commands whose replies lengthen it.
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
