package policy

import "starlingwinch/internal/plugin"

// call is a request on its way through a set's hooks, or one notification of one hook.
type call struct {
	isRequest bool
	id        int64 // isRequest: the caller's number of the request
	data      plugin.Call
	value     func() []byte  // isRequest: returns the request's value; nil once the client has left
	set       *set           // isRequest: the set that evaluates it to the end
	hookIndex int            // isRequest: the set's hook that evaluates it, or the next one
	hook      *hook          // the hook that has it; nil between hooks, and where the reply is not wanted any more
	sent      bool           // it is in flight at a worker
	sequence  uint64         // its number at the worker that has it
	attempts  int            // how often the present hook was sent it
	deadline  Time           // isRequest: when the request has waited long enough
	verdict   plugin.Verdict // isRequest: of the hooks so far

	previous, next *call // isRequest: its neighbours among the open requests
}

// maxFreeCalls bounds the calls that are kept for use again.
const maxFreeCalls = 256

// newCall returns an empty call.
func (p *Policy) newCall() *call {
	if n := len(p.freeCalls); n > 0 {
		c := p.freeCalls[n-1]
		p.freeCalls = p.freeCalls[:n-1]
		return c
	}
	return &call{}
}

// releaseCall takes back a call that nothing refers to any more.
func (p *Policy) releaseCall(c *call) {
	*c = call{}
	if len(p.freeCalls) < maxFreeCalls {
		p.freeCalls = append(p.freeCalls, c)
	}
}

// addOpen adds a request to the open ones, as the newest.
func (p *Policy) addOpen(c *call) {
	c.previous = p.newest
	if p.newest != nil {
		p.newest.next = c
	} else {
		p.oldest = c
	}
	p.newest = c
}

// removeOpen takes a request out of the open ones.
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
