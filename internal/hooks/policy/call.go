package policy

import "starlingwinch/internal/plugin"

// call is a request that passes through the hooks of a set, or a notification to one hook.
type call struct {
	isRequest bool
	id        int64 // isRequest: ID of the request
	data      plugin.Call
	value     func() []byte  // isRequest: returns the value of the request; nil after the client has disconnected
	set       *set           // isRequest: set that evaluates the request until its verdict
	hookIndex int            // isRequest: index of the present hook, or of the next one if there is no present hook
	hook      *hook          // hook that queues or evaluates the call; nil between hooks, and after the request is closed
	sent      bool           // the call is in flight at a worker
	sequence  uint64         // sequence number of the last send to a worker
	attempts  int            // number of sends to the present hook
	deadline  Time           // isRequest: end of the wait for verdicts of hooks
	verdict   plugin.Verdict // isRequest: combined verdict of the hooks so far

	previous, next *call // isRequest: links of the list of open requests
}

// maxFreeCalls is the maximum number of calls in the free list.
const maxFreeCalls = 256

// newCall returns an empty call, from the free list if possible.
func (p *Policy) newCall() *call {
	if n := len(p.freeCalls); n > 0 {
		c := p.freeCalls[n-1]
		p.freeCalls = p.freeCalls[:n-1]
		return c
	}
	return &call{}
}

// releaseCall clears a call that is no longer referenced, and returns it to the free list.
func (p *Policy) releaseCall(c *call) {
	*c = call{}
	if len(p.freeCalls) < maxFreeCalls {
		p.freeCalls = append(p.freeCalls, c)
	}
}

// addOpen appends a request to the list of open requests.
func (p *Policy) addOpen(c *call) {
	c.previous = p.newest
	if p.newest != nil {
		p.newest.next = c
	} else {
		p.oldest = c
	}
	p.newest = c
}

// removeOpen removes a request from the list of open requests.
func (p *Policy) removeOpen(c *call) {
	if c.previous != nil {
		c.previous.next = c.next
	} else {
		p.oldest = c.next
	}
	if c.next != nil {
		c.next.previous = c.previous
	} else {
		p.newest = c.previous
	}
	c.previous, c.next = nil, nil
}
