package endpoints

import (
	"container/list"
	"fmt"

	"starlingwinch/decide"
)

// word is the latest that one source has said of one cache.
type word struct {
	Claim           // what counts; Condition is Removed also where a whole list has left it out
	known    bool   // the source has named the cache since it was last forgotten
	stale    bool   // it is from an old list
	leftOut  bool   // it has gone because a whole list left it out, not in so many words
	heldBack bool   // a whole list has left it out, but of too many at once; it counts as before
	missed   Time   // when that was
	told     Time   // when the source said it last
	named    uint64 // number of the Heard that has named it last
}

// cache is all that is known of one cache.
type cache struct {
	id    string
	words []word // by source, in the operators' order

	// raw is what the sources say together, out what was handed on; Removed where nothing was.
	raw, out  decide.Status
	entry     decide.Endpoint // as handed on
	addr      string
	blame     bool          // bad news of this turn came from a source that is damped
	touched   bool          // it is to be settled in this turn
	gone      *list.Element // its place among those that have gone at every source that knows it
	goneSince Time

	penalty   float64 // as of flapped
	flapped   Time
	heldUntil Time
	flaps     int // since it was last quiet
	place     int // in the heap of those held down; -1 where it is not
}

func (c *cache) held(now Time) bool { return c.heldUntil > now }

// merge says what the sources say together. The first one that knows the cache says what it is like. It has
// gone where that one says so. Else any bad news drains it: a source that does not know it has no say.
func (c *cache) merge() (e decide.Endpoint, addr string, gone bool) {
	first := true
	gone = true
	for i := range c.words {
		w := &c.words[i]
		if !w.known {
			continue
		}
		gone = gone && w.Endpoint.Status == decide.Removed
		if first {
			e, addr, first = w.Endpoint, w.Address, false
			continue
		}
		if e.Status == decide.Serving && w.Endpoint.Status != decide.Serving {
			e.Status = decide.Draining
		}
		// The danger: the first source knows no starts (a fixed file), and a cold cache passes for a warm one.
		if e.StartedAt == 0 {
			e.StartedAt = w.Endpoint.StartedAt
		}
		if addr == "" {
			addr = w.Address
		}
	}
	e.ID = c.id
	return e, addr, gone
}

// settle brings what is handed on of a cache in line with what the sources say.
func (m *Merger) settle(c *cache) {
	e, addr, gone := c.merge()
	if c.raw == decide.Serving && e.Status != decide.Serving && c.blame {
		m.flap(c)
	}
	c.raw, c.blame, c.touched = e.Status, false, false
	m.bury(c, gone)
	if c.held(m.now) && e.Status < c.out {
		e.Status = c.out // it may get worse, not better
	}
	if e.Status == decide.Removed && c.out == decide.Removed || e == c.entry && addr == c.addr {
		return
	}
	if c.out == decide.Serving {
		m.up--
	}
	if e.Status == decide.Serving {
		m.up++
	}
	m.news = append(m.news, news{c, c.out})
	c.out, c.entry, c.addr = e.Status, e, addr
}

// bury enters a cache among those that have gone everywhere, or takes it out again.
func (m *Merger) bury(c *cache, gone bool) {
	switch {
	case gone && c.gone == nil:
		c.gone, c.goneSince = m.gone.PushBack(c), m.now
	case !gone && c.gone != nil:
		m.gone.Remove(c.gone)
		c.gone = nil
	}
}

// keepGone is how long it is remembered, at least, who said that a cache has gone.
const keepGone Time = 600e6

// forget drops what has gone so long ago that its flaps have decayed below half of Reuse, and the oldest where
// there are too many. The danger: caches that come and go under ever new names fill the memory.
func (m *Merger) forget() {
	keep := max(keepGone, m.opt.Damping.MaxSuppress+m.opt.Damping.HalfLife)
	for m.gone.Len() > 0 {
		c := m.gone.Front().Value.(*cache)
		if m.gone.Len() <= m.opt.MaxRemoved && m.now-c.goneSince < keep {
			return
		}
		m.gone.Remove(c.gone)
		m.drop(c)
	}
}

// reason says why a cache is in the state it is in.
func (c *cache) reason(m *Merger, now Time) string {
	if c.raw == decide.Serving && c.out != decide.Serving {
		return fmt.Sprintf("held down for %.1f s more after %d flaps", float64(max(0, c.heldUntil-now))/1e6, c.flaps)
	}
	known := ""
	for i := range c.words {
		w, name := &c.words[i], m.sources[i].Name
		switch {
		case !w.known:
		case w.Endpoint.Status != decide.Serving:
			return name + ": " + w.text()
		case w.heldBack:
			return name + ": " + w.text()
		case known == "":
			known = name + ": " + w.text()
		}
	}
	return known
}

var conditionWords = [...]string{decide.Serving: "takes work", decide.Draining: "drains", decide.Removed: "has gone"}

// text is a source's own word, and what it stands for where that is not plain.
func (w *word) text() string {
	switch {
	case w.leftOut:
		return "left out of its list"
	case w.heldBack:
		return "left out of a list that lost many at once, not confirmed"
	}
	text := conditionWords[w.Endpoint.Status]
	if w.Reason != "" {
		text = fmt.Sprintf("%.80s", w.Reason)
	}
	if w.stale {
		text += " (old list)"
	}
	return text
}
