package policy

import "starlingwinch/internal/plugin"

// call is a request, at the hook that it has come to, or a look.
type call struct {
	isRequest bool
	id        int64
	data      plugin.Call
	value     func() []byte
	set       *set
	hookIndex int   // the hook that is asked, or the next one
	hook      *hook // that has it; nil between hooks, and where nobody waits for its answer
	sent      bool  // a worker has it
	sequence  uint64
	attempts  int
	deadline  Time // a request's wait ends
	verdict   plugin.Verdict

	prev, next *call // among the open requests
}

// maxFreeCalls bounds the calls that are kept to be used again.
const maxFreeCalls = 256

func (p *Policy) newCall() *call {
	if n := len(p.freeCalls); n > 0 {
		c := p.freeCalls[n-1]
		p.freeCalls = p.freeCalls[:n-1]
		return c
	}
	return &call{}
}

// releaseCall puts a call back, of which nobody knows any more.
func (p *Policy) releaseCall(c *call) {
	*c = call{}
	if len(p.freeCalls) < maxFreeCalls {
		p.freeCalls = append(p.freeCalls, c)
	}
}

func (p *Policy) addOpen(c *call) {
	c.prev = p.newest
	if p.newest != nil {
		p.newest.next = c
	} else {
		p.oldest = c
	}
	p.newest = c
}

func (p *Policy) removeOpen(c *call) {
	if c.prev != nil {
		c.prev.next = c.next
	} else {
		p.oldest = c.next
	}
	if c.next != nil {
		c.next.prev = c.prev
	} else {
		p.newest = c.prev
	}
	c.prev, c.next = nil, nil
}
