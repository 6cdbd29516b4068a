package endpoints

import (
	"slices"
	"strings"

	"starlingwinch/decide"
)

// MassRemoval holds the parameters of the mass-removal check, by which a source must confirm a full list that omits most
// endpoints at once.
type MassRemoval struct {
	Fraction      float64 // a list that omits more than this fraction of the serving endpoints must be confirmed
	ConfirmWithin Time    // an omission that is neither confirmed nor denied within this time is published
	MinEndpoints  int     // with fewer serving endpoints, no list must be confirmed
}

// DefaultMassRemoval returns parameters that leave a fifth of the operators' drain grace of 1 s for the router to stop new
// attempts.
func DefaultMassRemoval() MassRemoval {
	return MassRemoval{Fraction: 0.5, ConfirmWithin: 800_000, MinEndpoints: 4}
}

// exceededBy reports whether the loss of this many of all serving endpoints must be confirmed.
func (r *MassRemoval) exceededBy(lost, total int) bool {
	return total >= r.MinEndpoints && float64(lost) > r.Fraction*float64(total)
}

// massRemovalCheck is the state of the mass-removal check for one source. All but the last two fields are zero while no
// omission is unconfirmed.
type massRemovalCheck struct {
	unconfirmed      int  // number of claims whose omission is unconfirmed
	oldestAt         Time // at or before the time of the first such omission
	suspended        bool // the source became unavailable before it could confirm, and the time limit does not apply
	awaitingAnswer   bool // a Confirm was sent and not yet answered
	confirmScheduled bool // a Confirm must be sent at confirmAt
	confirmAt        Time
	confirmSent      bool // at least one Confirm was sent, the latest at lastConfirmAt
	lastConfirmAt    Time
}

// servingCounts is the state before a full list, against which the omissions of the list are measured.
type servingCounts struct {
	source      int // serving endpoints of the source
	merged      int // serving endpoints of the merged list
	unconfirmed int // unconfirmed omissions of the source
}

// suspend cancels a Confirm whose source became unavailable. Unconfirmed omissions remain unconfirmed.
func (c *massRemovalCheck) suspend() {
	c.awaitingAnswer, c.confirmScheduled = false, false
	c.suspended = c.unconfirmed > 0
}

// requestConfirm schedules a Confirm, unless one is unanswered or scheduled. Two Confirms are at least half of the time limit
// apart, as otherwise a source whose servers have different lists would be polled without a pause.
func (c *massRemovalCheck) requestConfirm(now, confirmWithin Time) {
	if c.awaitingAnswer || c.confirmScheduled {
		return
	}
	c.confirmScheduled, c.confirmAt = true, now
	if c.confirmSent {
		c.confirmAt = max(now, c.lastConfirmAt+confirmWithin/2)
	}
}

// takeConfirm reports whether a Confirm must be sent now, and if so records it as sent.
func (c *massRemovalCheck) takeConfirm(now Time) bool {
	if !c.confirmScheduled || now < c.confirmAt {
		return false
	}
	c.confirmScheduled, c.awaitingAnswer = false, true
	c.confirmSent, c.lastConfirmAt = true, now
	return true
}

// reset ends the check once no omission is unconfirmed. It retains the time of the latest Confirm.
func (c *massRemovalCheck) reset() {
	*c = massRemovalCheck{confirmSent: c.confirmSent, lastConfirmAt: c.lastConfirmAt}
}

// isOverdue reports whether the time limit of the oldest unconfirmed omission has passed.
func (c *massRemovalCheck) isOverdue(now, confirmWithin Time) bool {
	return c.unconfirmed > 0 && !c.suspended && now >= c.oldestAt+confirmWithin
}

// nextDeadline returns the time at which the check next removes overdue omissions or sends a Confirm, if it is scheduled.
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

// handleOmissions removes the endpoints that a full list omits, or marks the omissions unconfirmed if they are too many.
func (m *Merger) handleOmissions(sourceIndex int, update *SourceUpdate, before servingCounts) {
	s := &m.sources[sourceIndex]
	m.markUnreadableNamed(sourceIndex, update.Unreadable)
	omitted := m.omittedEndpoints(sourceIndex)
	if !s.ConfirmMassRemoval {
		m.removeOmitted(sourceIndex, omitted)
		return
	}
	check := &s.massRemoval
	if update.Confirmation {
		check.awaitingAnswer = false
	}
	omitted = m.removeConfirmed(sourceIndex, omitted, update.Confirmation)
	// While the omissions of one list are unconfirmed, the next list must not remove endpoints that the first list named:
	// otherwise two servers that each know half of the endpoints would together remove all of them.
	if before.unconfirmed == 0 && !m.isMassRemoval(sourceIndex, omitted, before) {
		m.removeOmitted(sourceIndex, omitted)
		return
	}
	m.markUnconfirmed(sourceIndex, omitted, update)
	if check.unconfirmed == 0 {
		return
	}
	if before.unconfirmed == 0 {
		m.logMassRemoval(s)
	}
	check.suspended = false
	check.requestConfirm(m.now, m.options.MassRemoval.ConfirmWithin)
}

// markUnreadableNamed records that a full list names these endpoints in invalid entries, so that they are not omitted. The
// source's previous claims on them remain valid.
func (m *Merger) markUnreadableNamed(sourceIndex int, ids []string) {
	for _, id := range ids {
		if e := m.endpoints[id]; e != nil {
			e.claims[sourceIndex].update = m.updates
			m.clearUnconfirmed(sourceIndex, e)
		}
	}
}

// omittedEndpoints returns the endpoints, sorted by ID, on which the source has a claim other than Removed and which its list of
// this turn does not name.
func (m *Merger) omittedEndpoints(sourceIndex int) []*endpoint {
	var omitted []*endpoint
	for _, e := range m.endpoints { // any order: sorted below
		c := &e.claims[sourceIndex]
		if c.known && c.Endpoint.Status != decide.Removed && c.update != m.updates {
			omitted = append(omitted, e)
		}
	}
	sortByID(omitted)
	return omitted
}

// sortByID makes the order in which endpoints are removed and later forgotten independent of the iteration order of a map.
func sortByID(all []*endpoint) {
	slices.SortFunc(all, func(a, b *endpoint) int { return strings.Compare(a.id, b.id) })
}

// removeConfirmed removes the omitted endpoints whose earlier omission this list confirms: the list answers a Confirm (repeat),
// or comes at least ConfirmWithin after the omission. Other endpoints omitted before stay unconfirmed. removeConfirmed returns
// the endpoints that are omitted for the first time.
func (m *Merger) removeConfirmed(sourceIndex int, omitted []*endpoint, repeat bool) []*endpoint {
	firstTime := omitted[:0]
	for _, e := range omitted {
		c := &e.claims[sourceIndex]
		switch {
		case !c.unconfirmed:
			firstTime = append(firstTime, e)
		case repeat || m.now-c.omittedAt >= m.options.MassRemoval.ConfirmWithin:
			m.removeOmitted(sourceIndex, []*endpoint{e})
		}
	}
	return firstTime
}

// isMassRemoval reports whether a list omits so many endpoints at once that the source must confirm it: too many of the
// endpoints that are serving by the source's own claims, or of the endpoints that are serving in the merged list.
func (m *Merger) isMassRemoval(sourceIndex int, omitted []*endpoint, before servingCounts) bool {
	ofSource, ofMerged := 0, 0
	for _, e := range omitted {
		if e.claims[sourceIndex].Endpoint.Status == decide.Serving {
			ofSource++
		}
		if e.status == decide.Serving {
			ofMerged++
		}
	}
	limits := &m.options.MassRemoval
	return limits.exceededBy(ofSource, before.source) || limits.exceededBy(ofMerged, before.merged)
}

// markUnconfirmed marks omissions as unconfirmed; the previous claims on the endpoints remain valid until the confirmation. If
// the list gives an omitted endpoint's address to another endpoint, the omitted endpoint is removed at once: the new entry
// proves the removal, and one address must not serve as two endpoints.
func (m *Merger) markUnconfirmed(sourceIndex int, omitted []*endpoint, update *SourceUpdate) {
	check := &m.sources[sourceIndex].massRemoval
	inUse := servingAddresses(update.Claims)
	for _, e := range omitted {
		c := &e.claims[sourceIndex]
		if inUse[c.Address] {
			m.removeOmitted(sourceIndex, []*endpoint{e})
			continue
		}
		if check.unconfirmed == 0 {
			check.oldestAt = m.now
		}
		check.unconfirmed++
		c.unconfirmed, c.omittedAt = true, m.now
	}
}

// servingAddresses returns the set of addresses of the serving claims.
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

// clearUnconfirmed ends the wait of a claim for the confirmation of its omission.
func (m *Merger) clearUnconfirmed(sourceIndex int, e *endpoint) {
	c := &e.claims[sourceIndex]
	if c.unconfirmed {
		c.unconfirmed = false
		m.sources[sourceIndex].massRemoval.unconfirmed--
	}
}

// advanceMassRemoval removes the overdue omissions of a source and sends a Confirm that is due.
func (m *Merger) advanceMassRemoval(sourceIndex int) {
	s := &m.sources[sourceIndex]
	check := &s.massRemoval
	if check.isOverdue(m.now, m.options.MassRemoval.ConfirmWithin) {
		m.removeOverdue(sourceIndex)
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
func (m *Merger) removeOverdue(sourceIndex int) {
	s := &m.sources[sourceIndex]
	var overdue []*endpoint
	oldest := m.now
	for _, e := range m.endpoints { // any order: sorted below
		c := &e.claims[sourceIndex]
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
		m.removeOmitted(sourceIndex, overdue)
	}
}
