package endpoints

import (
	"slices"
	"strings"

	"starlingwinch/decide"
)

// MassRemoval are the parameters of the check that has a source confirm a full list which omits most endpoints at once.
type MassRemoval struct {
	Fraction      float64 // of the serving endpoints: a list that omits more than that must be confirmed
	ConfirmWithin Time    // an omission that was neither confirmed nor denied by then is published
	MinEndpoints  int     // with fewer serving endpoints, every list is believed
}

// DefaultMassRemoval leaves a fifth of the operators' drain grace of 1 s for the attempts that are already out.
func DefaultMassRemoval() MassRemoval {
	return MassRemoval{Fraction: 0.5, ConfirmWithin: 800_000, MinEndpoints: 4}
}

// exceededBy reports whether the loss of so many serving endpoints of a total must be confirmed.
func (r *MassRemoval) exceededBy(lost, total int) bool {
	return total >= r.MinEndpoints && float64(lost) > r.Fraction*float64(total)
}

// massRemovalCheck is the state of the check for one source. All but the last two fields are zero while no omission is
// unconfirmed.
type massRemovalCheck struct {
	unconfirmed      int  // claims whose omission waits for confirmation
	oldestAt         Time // at or before the time of the first such omission
	suspended        bool // the source became unavailable before it could confirm: no time limit runs
	awaitingAnswer   bool // a Confirm is out
	confirmScheduled bool // a Confirm is to be sent at confirmAt
	confirmAt        Time
	hasConfirmed     bool // a Confirm was ever sent, the latest at lastConfirmAt
	lastConfirmAt    Time
}

// servingCounts is what a full list is measured against: the state before it came.
type servingCounts struct {
	source      int // serving endpoints of the source
	merged      int // serving endpoints of the merged list
	unconfirmed int // omissions of the source that were unconfirmed
}

// suspend gives up a Confirm whose source became unavailable. Unconfirmed omissions stay so.
func (c *massRemovalCheck) suspend() {
	c.awaitingAnswer, c.confirmScheduled = false, false
	c.suspended = c.unconfirmed > 0
}

// requestConfirm schedules a Confirm, unless one is out or scheduled. Confirms are at least half of the time limit apart,
// as a source whose servers differ would be called again without a pause.
func (c *massRemovalCheck) requestConfirm(now, confirmWithin Time) {
	if c.awaitingAnswer || c.confirmScheduled {
		return
	}
	c.confirmScheduled, c.confirmAt = true, now
	if c.hasConfirmed {
		c.confirmAt = max(now, c.lastConfirmAt+confirmWithin/2)
	}
}

// takeConfirm reports whether a Confirm is to be sent now, and notes that it was.
func (c *massRemovalCheck) takeConfirm(now Time) bool {
	if !c.confirmScheduled || now < c.confirmAt {
		return false
	}
	c.confirmScheduled, c.awaitingAnswer = false, true
	c.hasConfirmed, c.lastConfirmAt = true, now
	return true
}

// reset ends the check, as no omission is unconfirmed any more.
func (c *massRemovalCheck) reset() {
	*c = massRemovalCheck{hasConfirmed: c.hasConfirmed, lastConfirmAt: c.lastConfirmAt}
}

// isOverdue reports whether the time limit of the oldest unconfirmed omission is over.
func (c *massRemovalCheck) isOverdue(now, confirmWithin Time) bool {
	return c.unconfirmed > 0 && !c.suspended && now >= c.oldestAt+confirmWithin
}

// nextDeadline returns when the check has something to do next, if it has.
func (c *massRemovalCheck) nextDeadline(confirmWithin Time) (at Time, scheduled bool) {
	if c.unconfirmed == 0 {
		return 0, false
	}
	if !c.suspended {
		at, scheduled = c.oldestAt+confirmWithin, true
	}
	if c.confirmScheduled && (!scheduled || c.confirmAt < at) {
		at, scheduled = c.confirmAt, true
	}
	return at, scheduled
}

// handleOmissions removes the endpoints that a full list omits, or leaves them unconfirmed where they are too many.
func (m *Merger) handleOmissions(i int, update *SourceUpdate, before servingCounts) {
	s := &m.sources[i]
	m.keepUnreadable(i, update.Unreadable)
	omitted := m.omittedEndpoints(i)
	if !s.ConfirmMassRemoval {
		m.removeOmitted(i, omitted)
		return
	}
	check := &s.massRemoval
	if update.Repeat {
		check.awaitingAnswer = false
	}
	omitted = m.removeConfirmed(i, omitted, update.Repeat)
	// While one list is unconfirmed, the next one may not remove what the first one named: else two servers that know half of
	// the endpoints each would remove all of them between them.
	if before.unconfirmed == 0 && !m.isMassRemoval(i, omitted, before) {
		m.removeOmitted(i, omitted)
		return
	}
	m.markUnconfirmed(i, omitted, update)
	if check.unconfirmed == 0 {
		return
	}
	if before.unconfirmed == 0 {
		m.logMassRemoval(s)
	}
	check.suspended = false
	check.requestConfirm(m.now, m.options.MassRemoval.ConfirmWithin)
}

// keepUnreadable notes that a full list names these endpoints, by entries that can't be used: they stay as they are.
func (m *Merger) keepUnreadable(i int, ids []string) {
	for _, id := range ids {
		if e := m.endpoints[id]; e != nil {
			e.claims[i].update = m.updates
			m.clearUnconfirmed(i, e)
		}
	}
}

// omittedEndpoints returns the endpoints, by id, that a source knows and that its list of this turn does not name.
func (m *Merger) omittedEndpoints(i int) []*endpoint {
	var omitted []*endpoint
	for _, e := range m.endpoints { // any order: sorted below
		c := &e.claims[i]
		if c.known && c.Endpoint.Status != decide.Removed && c.update != m.updates {
			omitted = append(omitted, e)
		}
	}
	sortByID(omitted)
	return omitted
}

// sortByID makes the order in which endpoints are removed, and later forgotten, independent of the order of a map.
func sortByID(all []*endpoint) {
	slices.SortFunc(all, func(a, b *endpoint) int { return strings.Compare(a.id, b.id) })
}

// removeConfirmed removes the omitted endpoints that an earlier list has omitted too, where this list counts as a
// confirmation. It returns those that are omitted for the first time.
func (m *Merger) removeConfirmed(i int, omitted []*endpoint, repeat bool) []*endpoint {
	firstTime := omitted[:0]
	for _, e := range omitted {
		c := &e.claims[i]
		switch {
		case !c.unconfirmed:
			firstTime = append(firstTime, e)
		case repeat || m.now-c.omittedAt >= m.options.MassRemoval.ConfirmWithin:
			m.removeOmitted(i, []*endpoint{e})
		}
	}
	return firstTime
}

// isMassRemoval reports whether the omitted endpoints are too many to be believed at once: of those that serve by the
// source's own claims, or of those that serve in the merged list.
func (m *Merger) isMassRemoval(i int, omitted []*endpoint, before servingCounts) bool {
	ofSource, ofMerged := 0, 0
	for _, e := range omitted {
		if e.claims[i].Endpoint.Status == decide.Serving {
			ofSource++
		}
		if e.status == decide.Serving {
			ofMerged++
		}
	}
	limits := &m.options.MassRemoval
	return limits.exceededBy(ofSource, before.source) || limits.exceededBy(ofMerged, before.merged)
}

// markUnconfirmed leaves the claims on omitted endpoints as they are until the omission is confirmed. Where the list gives
// an endpoint's address to another one, that proves its removal: one address must not serve as two endpoints.
func (m *Merger) markUnconfirmed(i int, omitted []*endpoint, update *SourceUpdate) {
	check := &m.sources[i].massRemoval
	inUse := servingAddresses(update.Claims)
	for _, e := range omitted {
		c := &e.claims[i]
		if inUse[c.Address] {
			m.removeOmitted(i, []*endpoint{e})
			continue
		}
		if check.unconfirmed == 0 {
			check.oldestAt = m.now
		}
		check.unconfirmed++
		c.unconfirmed, c.omittedAt = true, m.now
	}
}

// servingAddresses returns the addresses of the claims that are serving.
func servingAddresses(claims []Claim) map[string]bool {
	addresses := make(map[string]bool, len(claims))
	for k := range claims {
		claim := &claims[k]
		if claim.Endpoint.Status == decide.Serving && claim.Address != "" {
			addresses[claim.Address] = true
		}
	}
	return addresses
}

// clearUnconfirmed notes that a claim no longer waits for the confirmation of an omission.
func (m *Merger) clearUnconfirmed(i int, e *endpoint) {
	c := &e.claims[i]
	if c.unconfirmed {
		c.unconfirmed = false
		m.sources[i].massRemoval.unconfirmed--
	}
}

// advanceMassRemoval does what is due of a source's check: it publishes overdue omissions, and sends a scheduled Confirm.
func (m *Merger) advanceMassRemoval(i int) {
	s := &m.sources[i]
	check := &s.massRemoval
	if check.isOverdue(m.now, m.options.MassRemoval.ConfirmWithin) {
		m.removeOverdue(i)
	}
	if check.unconfirmed == 0 {
		check.reset()
		return
	}
	if check.takeConfirm(m.now) {
		m.turn.confirms = append(m.turn.confirms, Confirm{s.Name})
	}
}

// removeOverdue removes the endpoints whose omission was neither confirmed nor denied in time.
func (m *Merger) removeOverdue(i int) {
	s := &m.sources[i]
	var overdue []*endpoint
	oldest := m.now
	for _, e := range m.endpoints { // any order: sorted below
		c := &e.claims[i]
		if !c.unconfirmed {
			continue
		}
		if m.now-c.omittedAt >= m.options.MassRemoval.ConfirmWithin {
			overdue = append(overdue, e)
		} else {
			oldest = min(oldest, c.omittedAt)
		}
	}
	s.massRemoval.oldestAt = oldest
	sortByID(overdue)
	if len(overdue) > 0 {
		m.logOverdue(s, len(overdue))
		m.removeOmitted(i, overdue)
	}
}
