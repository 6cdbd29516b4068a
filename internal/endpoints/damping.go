package endpoints

import "container/heap"

// flap counts one more change of a cache from good to bad, and holds its next good news down where they
// have been too many. Bad news itself has been told by then.
func (m *Merger) flap(c *cache) {
	d := &m.opt.Damping
	left := d.decayed(c.penalty, m.now-c.flapped)
	if left < d.Reuse/2 {
		c.flaps = 0 // it has been quiet for long
	}
	c.flaps++
	c.penalty, c.flapped = min(left+d.Penalty, d.most()), m.now
	if c.penalty <= d.Suppress && !c.held(m.now) {
		return
	}
	c.heldUntil = max(c.heldUntil, m.now+d.until(c.penalty))
	if c.place < 0 {
		heap.Push(&m.held, c)
	} else {
		heap.Fix(&m.held, c.place)
	}
}

// release settles the caches whose hold-down is over.
func (m *Merger) release() {
	for len(m.held) > 0 && m.held[0].heldUntil <= m.now {
		m.touch(heap.Pop(&m.held).(*cache))
	}
}

// heldDown is a heap of the caches that are held down: the one that is free first comes first.
type heldDown []*cache

func (h heldDown) Len() int { return len(h) }

func (h heldDown) Less(i, j int) bool {
	if h[i].heldUntil != h[j].heldUntil {
		return h[i].heldUntil < h[j].heldUntil
	}
	return h[i].id < h[j].id
}

func (h heldDown) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

func (h *heldDown) Push(x any) {
	c := x.(*cache)
	c.place = len(*h)
	*h = append(*h, c)
}

func (h *heldDown) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	(*h)[last] = nil
	*h, c.place = (*h)[:last], -1
	return c
}
