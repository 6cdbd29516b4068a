package endpoints

import (
	"slices"
	"strings"

	"starlingwinch/decide"
)

// check is how things stand with a source that has left out most of its caches at once. Its fields are zero
// where nothing is in doubt.
type check struct {
	open    int  // words that are held back
	oldest  Time // at or before the time of the first of them
	kept    bool // the source was lost before it could confirm: silence takes nothing away
	asked   bool // a Confirm is out
	want    bool // one is to go out at wantAt
	wantAt  Time
	everAsk bool
	lastAsk Time
}

// standing is what a whole list is measured against: the caches that took work before it came.
type standing struct {
	up   int // of the source
	all  int // of the merged list
	open int // words that were held back
}

// leftOut makes out which caches a whole list leaves out, and what is to be made of that.
func (m *Merger) leftOut(i int, ev *SourceUpdate, before standing) {
	s := &m.sources[i]
	for _, id := range ev.Unreadable {
		if c := m.caches[id]; c != nil {
			c.words[i].named = m.turn // it stays as it is
			m.found(i, c)
		}
	}
	var missing []*cache
	for _, c := range m.caches { // any order: each by itself
		if w := &c.words[i]; w.known && w.Endpoint.Status != decide.Removed && w.named != m.turn {
			missing = append(missing, c)
		}
	}
	byName(missing)
	if !s.ConfirmMassRemoval {
		m.depart(i, missing)
		return
	}
	if ev.Repeat {
		s.asked = false
	}
	doubted := missing[:0]
	for _, c := range missing {
		w := &c.words[i]
		switch {
		case !w.heldBack:
			doubted = append(doubted, c)
		case ev.Repeat || m.now-w.missed >= m.opt.MassRemoval.ConfirmWithin:
			m.depart(i, []*cache{c}) // the second answer that leaves it out
		}
	}
	// While one answer is in doubt, the next one takes nothing away that the first one named. The danger:
	// two servers that each know half of the caches take all of them away between them.
	if !(before.open > 0 || m.tooMany(i, doubted, before)) {
		m.depart(i, doubted)
		return
	}
	m.holdBack(i, doubted, ev)
	if s.open == 0 {
		return
	}
	if before.open == 0 {
		m.logf("%s leaves out %d of %d caches at once: it is asked again", s.Name, s.open, s.known)
	}
	s.kept = false
	s.askAgain(m.now, m.opt.MassRemoval.ConfirmWithin)
}

// byName sorts caches. The danger: the order of a map decides which of them are forgotten first.
func byName(caches []*cache) {
	slices.SortFunc(caches, func(a, b *cache) int { return strings.Compare(a.id, b.id) })
}

// tooMany reports whether caches that a source leaves out are more than can be believed at once: of those that
// took work by its word, or of those that take any.
func (m *Merger) tooMany(i int, missing []*cache, before standing) bool {
	up, all := 0, 0
	for _, c := range missing {
		if c.words[i].Endpoint.Status == decide.Serving {
			up++
		}
		if c.out == decide.Serving {
			all++
		}
	}
	most := func(lost, of int) bool {
		return of >= m.opt.MassRemoval.MinEndpoints && float64(lost) > m.opt.MassRemoval.Fraction*float64(of)
	}
	return most(up, before.up) || most(all, before.all)
}

// depart takes it that caches have gone at a source that leaves them out.
func (m *Merger) depart(i int, caches []*cache) {
	for _, c := range caches {
		m.count(i, c, decide.Removed)
		w := &c.words[i]
		w.Endpoint.Status, w.leftOut, w.stale, w.told = decide.Removed, true, false, m.now
		m.touch(c)
	}
}

// holdBack leaves the source's word on caches as it was, though a list leaves them out. An address that the list
// gives to another one is proof enough. The danger: one address is used for two caches.
func (m *Merger) holdBack(i int, caches []*cache, ev *SourceUpdate) {
	s := &m.sources[i]
	taken := make(map[string]bool, len(ev.Claims))
	for k := range ev.Claims {
		if claim := &ev.Claims[k]; claim.Endpoint.Status == decide.Serving && claim.Address != "" {
			taken[claim.Address] = true
		}
	}
	for _, c := range caches {
		w := &c.words[i]
		if taken[w.Address] {
			m.depart(i, []*cache{c})
			continue
		}
		if s.open == 0 {
			s.oldest = m.now
		}
		s.open++
		w.heldBack, w.missed = true, m.now
	}
}

// found takes it that a cache is still known to a source, where that was in doubt.
func (m *Merger) found(i int, c *cache) {
	if w := &c.words[i]; w.heldBack {
		w.heldBack = false
		m.sources[i].open--
	}
}

// unanswered: what a source was asked for will not come. What is in doubt stays.
func (c *check) unanswered() {
	c.asked, c.want, c.kept = false, false, c.open > 0
}

// askAgain has a Confirm sent, unless one is out. The danger: answers that differ each time are asked for
// without a pause.
func (c *check) askAgain(now, within Time) {
	if c.asked || c.want {
		return
	}
	c.want, c.wantAt = true, now
	if c.everAsk {
		c.wantAt = max(now, c.lastAsk+within/2)
	}
}

// due is when a check has something to do next.
func (c *check) due(within Time) (at Time, is bool) {
	if c.open == 0 {
		return 0, false
	}
	if !c.kept {
		at, is = c.oldest+within, true
	}
	if c.want && (!is || c.wantAt < at) {
		at, is = c.wantAt, true
	}
	return at, is
}

// checkUp does what is due with a source's check. A source that can't be reached has been told of by a
// Lost; one that answered a list and then says nothing has its list obeyed, as the operators' grace runs.
func (m *Merger) checkUp(i int) {
	s := &m.sources[i]
	if s.open > 0 && !s.kept && m.now >= s.oldest+m.opt.MassRemoval.ConfirmWithin {
		m.overdue(i)
	}
	if s.open == 0 {
		s.check = check{everAsk: s.everAsk, lastAsk: s.lastAsk}
		return
	}
	if s.want && m.now >= s.wantAt {
		s.want, s.asked, s.everAsk, s.lastAsk = false, true, true, m.now
		m.asks = append(m.asks, Confirm{s.Name})
	}
}

// overdue obeys the absences that nobody has confirmed or denied for too long.
func (m *Merger) overdue(i int) {
	s := &m.sources[i]
	var late []*cache
	next := m.now
	for _, c := range m.caches { // any order: each by itself
		w := &c.words[i]
		switch {
		case !w.heldBack:
		case m.now-w.missed >= m.opt.MassRemoval.ConfirmWithin:
			late = append(late, c)
		default:
			next = min(next, w.missed)
		}
	}
	s.oldest = next
	byName(late)
	if len(late) > 0 {
		m.logf("%s has not said again whether %d caches have gone: they are taken for gone", s.Name, len(late))
		m.depart(i, late)
	}
}
