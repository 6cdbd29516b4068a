package policy

import "starlingwinch/internal/plugin"

// call is a request, at the hook that it has come to, or a look.
type call struct {
	request bool
	id      int64
	data    plugin.Call
	value   func() []byte
	set     *set
	at      int   // the hook that is asked, or the next one
	hook    *hook // that has it; nil between hooks, and where nobody waits for its answer
	out     bool  // a worker has it
	seq     uint64
	tried   int
	until   Time // a request's wait ends
	verdict plugin.Verdict

	prev, next *call // among the open requests
}

// mostSpare bounds the calls that are kept to be used again.
const mostSpare = 256

func (p *Policy) take() *call {
	if n := len(p.spare); n > 0 {
		c := p.spare[n-1]
		p.spare = p.spare[:n-1]
		return c
	}
	return &call{}
}

// give puts a call back, of which nobody knows any more.
func (p *Policy) give(c *call) {
	*c = call{}
	if len(p.spare) < mostSpare {
		p.spare = append(p.spare, c)
	}
}

func (p *Policy) link(c *call) {
	c.prev = p.last
	if p.last != nil {
		p.last.next = c
	} else {
		p.first = c
	}
	p.last = c
}

func (p *Policy) unlink(c *call) {
	if c.prev != nil {
		c.prev.next = c.next
	} else {
		p.first = c.next
	}
	if c.next != nil {
		c.next.prev = c.prev
	} else {
		p.last = c.prev
	}
	c.prev, c.next = nil, nil
}
