package endpoints

import (
	"container/heap"
	"container/list"
	"slices"

	"starlingwinch/decide"
)

// Merger merges the lists of all sources. It is not safe for concurrent use.
type Merger struct {
	options    Options
	sources    []source
	endpoints  map[string]*endpoint // by ID
	removed    list.List            // the *endpoint values that all sources that know them have removed, oldest first
	suppressed suppressionQueue     // endpoints suppressed by flap damping
	serving    int                  // number of endpoints published as serving

	now       Time   // time of the latest event; never decreases
	updates   uint64 // number of the latest SourceUpdate
	published bool   // at least one Publish was returned
	wakeAt    Time   // time of the latest Wake; 0 if its Tick has come or no Wake was returned
	turn      turn
}

// turn collects the effects of one event. It is empty between events.
type turn struct {
	dirty        []*endpoint       // endpoints whose claims must be merged again
	changes      []change          // for the Publish
	kind         decide.UpdateKind // of the Publish
	publishEmpty bool              // a Publish is required even without changes
	confirms     []Action
	logs         []Action
}

// change is an endpoint whose new state must be published.
type change struct {
	*endpoint
	before decide.Status // the previously published status
}

// source is the state of one source.
type source struct {
	SourceOptions
	answered         bool   // the source has sent a list that is not stale
	answeredAt       Time   // when the source last sent such a list
	unavailable      bool   // since unavailableSince, because of failureReason
	unavailableSince Time   // first failure after the latest answer
	failureReason    string // of the latest failure
	known            int    // number of the source's claims that are not Removed
	serving          int    // number of the source's claims that are Serving
	massRemoval      massRemovalCheck
}

// New checks the options and returns a Merger that knows no endpoint.
func New(options Options) (*Merger, error) {
	if err := options.check(); err != nil {
		return nil, err
	}
	if options.MaxEndpoints == 0 {
		options.MaxEndpoints = defaultMaxEndpoints
	}
	if options.MaxRemoved == 0 {
		options.MaxRemoved = defaultMaxEndpoints
	}
	options.Sources = slices.Clone(options.Sources)
	m := &Merger{options: options, endpoints: map[string]*endpoint{}}
	for _, s := range options.Sources {
		m.sources = append(m.sources, source{SourceOptions: s})
	}
	return m, nil
}

// Handle processes an event that occurs at now, and returns the resulting actions. If now is before the time of the previous
// event, Handle uses the time of the previous event.
func (m *Merger) Handle(now Time, event Event) []Action {
	m.now = max(m.now, now)
	switch event := event.(type) {
	case *SourceUpdate:
		if i := m.sourceIndex(event.Source); i >= 0 {
			m.handleUpdate(i, event)
		}
	case *SourceUnavailable:
		if i := m.sourceIndex(event.Source); i >= 0 {
			m.handleUnavailable(&m.sources[i], event.Reason)
		}
	case *Tick:
		m.wakeAt = 0
	}
	for i := range m.sources {
		m.advanceMassRemoval(i)
	}
	m.endSuppressions()
	for _, e := range m.turn.dirty {
		m.refresh(e)
	}
	actions := m.takeActions()
	m.forgetRemoved()
	return actions
}

// sourceIndex returns the index of a source in the operators' order; below 0 if no source has this name.
func (m *Merger) sourceIndex(name string) int {
	i := slices.IndexFunc(m.sources, func(s source) bool { return s.Name == name })
	if i < 0 {
		m.logUnknownSource(name)
	}
	return i
}

// handleUpdate applies a list of a source. Here and in other methods, sourceIndex is the index of the source in the operators'
// order.
func (m *Merger) handleUpdate(sourceIndex int, update *SourceUpdate) {
	s := &m.sources[sourceIndex]
	if update.Stale && s.answered {
		return // the source's current claims are newer
	}
	m.updates++
	m.turn.kind, m.turn.publishEmpty = decide.DeltaUpdate, !m.published
	if update.Stale && !m.published {
		m.turn.kind = decide.StaleUpdate
	}
	before := servingCounts{source: s.serving, merged: m.serving, unconfirmed: s.massRemoval.unconfirmed}
	wasUnavailable := s.unavailable
	if s.ConfirmMassRemoval && !s.answered && update.namesNoServingEndpoint() {
		m.turn.confirms = append(m.turn.confirms, Confirm{s.Name}) // a server of the source may have restarted with an empty list
	}
	if !update.Stale {
		m.markAvailable(s)
	}
	m.applyClaims(sourceIndex, update)
	switch {
	case update.Full && !update.Stale:
		m.handleOmissions(sourceIndex, update, before)
	case wasUnavailable && s.massRemoval.unconfirmed > 0:
		s.massRemoval.requestConfirm(m.now, m.options.MassRemoval.ConfirmWithin)
	}
}

// namesNoServingEndpoint reports whether the update is a full list that is not stale and has no serving endpoint.
func (u *SourceUpdate) namesNoServingEndpoint() bool {
	isServing := func(c Claim) bool { return c.Endpoint.Status == decide.Serving }
	return u.Full && !u.Stale && !slices.ContainsFunc(u.Claims, isServing)
}

// markAvailable records that a source has sent a list.
func (m *Merger) markAvailable(s *source) {
	if s.unavailable {
		m.logAvailable(s)
	}
	s.answered, s.answeredAt, s.unavailable = true, m.now, false
}

// handleUnavailable records that a source can't be reached. The source's claims remain valid.
func (m *Merger) handleUnavailable(s *source, reason string) {
	s.massRemoval.suspend()
	s.failureReason = reason
	if s.unavailable {
		return
	}
	s.unavailable, s.unavailableSince = true, m.now
	m.logUnavailable(s)
}

// applyClaims applies the claims of a list, except claims on new endpoints beyond MaxEndpoints.
func (m *Merger) applyClaims(sourceIndex int, update *SourceUpdate) {
	ignored := 0
	for k := range update.Claims {
		claim := &update.Claims[k]
		e := m.endpointFor(claim.Endpoint.ID)
		if e == nil {
			ignored++
			continue
		}
		c := &e.claims[sourceIndex]
		if update.Stale && c.known && c.update != m.updates {
			continue // only the first stale list of a source is applied
		}
		m.applyClaim(sourceIndex, e, claim, update.Stale)
	}
	if ignored > 0 {
		m.logIgnored(&m.sources[sourceIndex], ignored)
	}
}

// endpointFor returns the endpoint with this ID, which it creates if necessary. It returns nil if there are too many endpoints
// or the ID is empty.
func (m *Merger) endpointFor(id string) *endpoint {
	if e := m.endpoints[id]; e != nil {
		return e
	}
	if len(m.endpoints)-m.removed.Len() >= m.options.MaxEndpoints || id == "" {
		return nil
	}
	e := newEndpoint(id, len(m.sources))
	m.endpoints[id] = e
	return e
}

// applyClaim replaces a source's claim on an endpoint.
func (m *Merger) applyClaim(sourceIndex int, e *endpoint, claim *Claim, stale bool) {
	c := &e.claims[sourceIndex]
	if c.update == m.updates && claim.Endpoint.Status <= c.Endpoint.Status {
		return // of two entries in one list, the one closer to removal applies
	}
	next := *claim
	if claim.Endpoint.Status == decide.Removed {
		next.Endpoint = c.Endpoint // a removal may have the ID only
		next.Endpoint.ID, next.Endpoint.Status = claim.Endpoint.ID, decide.Removed
	}
	if next.Address == "" && c.known && c.Endpoint.Status != decide.Removed {
		next.Address = c.Address
	}
	m.beforeStatusChange(sourceIndex, e, next.Endpoint.Status)
	c.Claim, c.stale, c.omitted = next, stale, false
	c.known, c.updatedAt, c.update = true, m.now, m.updates
	m.markDirty(e)
}

// removeOmitted sets a source's claims on endpoints that its full list omits to Removed.
func (m *Merger) removeOmitted(sourceIndex int, omitted []*endpoint) {
	for _, e := range omitted {
		m.beforeStatusChange(sourceIndex, e, decide.Removed)
		c := &e.claims[sourceIndex]
		c.Endpoint.Status, c.omitted, c.stale, c.updatedAt = decide.Removed, true, false, m.now
		m.markDirty(e)
	}
}

// beforeStatusChange updates a source's counters before the status of its claim on an endpoint changes to next.
func (m *Merger) beforeStatusChange(sourceIndex int, e *endpoint, next decide.Status) {
	s, c := &m.sources[sourceIndex], &e.claims[sourceIndex]
	if c.known && c.Endpoint.Status != decide.Removed {
		s.known--
	}
	if c.known && c.Endpoint.Status == decide.Serving {
		s.serving--
		if s.Damped && next != decide.Serving {
			e.dampedSourceDowngraded = true
		}
	}
	if next != decide.Removed {
		s.known++
	}
	if next == decide.Serving {
		s.serving++
	}
	m.clearUnconfirmed(sourceIndex, e)
}

// markDirty schedules an endpoint's claims to be merged again at the end of this turn.
func (m *Merger) markDirty(e *endpoint) {
	if !e.dirty {
		e.dirty = true
		m.turn.dirty = append(m.turn.dirty, e)
	}
}

// refresh merges the claims on an endpoint, and records a change if the result differs from the published endpoint.
func (m *Merger) refresh(e *endpoint) {
	merged, address, removedByAll := e.merge()
	if e.merged == decide.Serving && merged.Status != decide.Serving && e.dampedSourceDowngraded {
		m.recordFlap(e)
	}
	e.merged, e.dampedSourceDowngraded, e.dirty = merged.Status, false, false
	m.updateRemoved(e, removedByAll)
	if e.flaps.isSuppressed(m.now) && merged.Status < e.status {
		merged.Status = e.status // while suppressed, only a change towards removal is published
	}
	if merged.Status == decide.Removed && e.status == decide.Removed {
		return
	}
	if merged == e.published && address == e.address {
		return
	}
	if e.status == decide.Serving {
		m.serving--
	}
	if merged.Status == decide.Serving {
		m.serving++
	}
	m.turn.changes = append(m.turn.changes, change{e, e.status})
	e.status, e.published, e.address = merged.Status, merged, address
}

// updateRemoved adds an endpoint to Merger.removed, or deletes it from there.
func (m *Merger) updateRemoved(e *endpoint, removed bool) {
	switch {
	case removed && e.removedElement == nil:
		e.removedElement, e.removedAt = m.removed.PushBack(e), m.now
	case !removed && e.removedElement != nil:
		m.removed.Remove(e.removedElement)
		e.removedElement = nil
	}
}

// minRemovedRetention is the minimum time for which the Merger retains a removed endpoint and the reason for its removal, which
// Table returns for the operators' tables. If there are more than MaxRemoved, the oldest are deleted earlier.
const minRemovedRetention Time = 600_000_000 // microseconds

// forgetRemoved deletes endpoints that were removed so long ago that their penalty has decayed below half of Reuse, and the
// oldest removed endpoints beyond MaxRemoved. Without MaxRemoved, the number of removed endpoints would have no limit where
// endpoints come and go under ever new IDs.
func (m *Merger) forgetRemoved() {
	retention := max(minRemovedRetention, m.options.Damping.MaxSuppress+m.options.Damping.HalfLife)
	for m.removed.Len() > 0 {
		e := m.removed.Front().Value.(*endpoint)
		if m.removed.Len() <= m.options.MaxRemoved && m.now-e.removedAt < retention {
			return
		}
		m.removed.Remove(e.removedElement)
		m.forget(e)
	}
}

// forget deletes an endpoint, its claims and its flap history.
func (m *Merger) forget(e *endpoint) {
	delete(m.endpoints, e.id)
	if e.flaps.queueIndex >= 0 {
		heap.Remove(&m.suppressed, e.flaps.queueIndex)
	}
}
