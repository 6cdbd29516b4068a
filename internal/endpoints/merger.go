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
	endpoints  map[string]*endpoint // by id
	removed    list.List            // of *endpoint that every source that knows them has removed, oldest first
	suppressed suppressionQueue     // endpoints under flap damping
	serving    int                  // endpoints that were published as serving

	now       Time   // of the latest event; it never decreases
	updates   uint64 // number of the latest SourceUpdate
	published bool   // a Publish was returned
	wakeAt    Time   // the latest Wake; 0 where its Tick has come or there was none
	turn      turn
}

// turn collects what one event leads to. It is empty between events.
type turn struct {
	dirty        []*endpoint       // to be merged anew
	changes      []change          // to be published
	kind         decide.UpdateKind // of the Publish
	publishEmpty bool              // there must be a Publish, even without changes
	confirms     []Action
	logs         []Action
}

// change is an endpoint that is to be published.
type change struct {
	*endpoint
	before decide.Status // as published so far
}

// source is the state of one source.
type source struct {
	SourceOptions
	answered         bool   // it has sent a list that is not stale
	answeredAt       Time   // when it last did
	unavailable      bool   // since unavailableSince, for failureReason
	unavailableSince Time   // the first failure after its last answer
	failureReason    string // of the latest failure
	known            int    // its claims that are not Removed
	serving          int    // its claims that are Serving
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

// Handle takes an event at its time, and returns what is to be done. A time before that of the last event counts as that one.
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

// sourceIndex returns the place of a source in the operators' order; below 0 where it is none.
func (m *Merger) sourceIndex(name string) int {
	i := slices.IndexFunc(m.sources, func(s source) bool { return s.Name == name })
	if i < 0 {
		m.logUnknownSource(name)
	}
	return i
}

// handleUpdate takes over a list of the source at place i.
func (m *Merger) handleUpdate(i int, update *SourceUpdate) {
	s := &m.sources[i]
	if update.Stale && s.answered {
		return // what is known is newer
	}
	m.updates++
	m.turn.kind, m.turn.publishEmpty = decide.DeltaUpdate, !m.published
	if update.Stale && !m.published {
		m.turn.kind = decide.StaleUpdate
	}
	before := servingCounts{source: s.serving, merged: m.serving, unconfirmed: s.massRemoval.unconfirmed}
	wasUnavailable := s.unavailable
	if s.ConfirmMassRemoval && !s.answered && update.namesNoServingEndpoint() {
		m.turn.confirms = append(m.turn.confirms, Confirm{s.Name}) // one of its servers may have restarted with an empty list
	}
	if !update.Stale {
		m.markAvailable(s)
	}
	m.applyClaims(i, update)
	switch {
	case update.Full && !update.Stale:
		m.handleOmissions(i, update, before)
	case wasUnavailable && s.massRemoval.unconfirmed > 0:
		s.massRemoval.requestConfirm(m.now, m.options.MassRemoval.ConfirmWithin)
	}
}

// namesNoServingEndpoint reports whether it is a full list, and no last known one, without a serving endpoint.
func (u *SourceUpdate) namesNoServingEndpoint() bool {
	isServing := func(c Claim) bool { return c.Endpoint.Status == decide.Serving }
	return u.Full && !u.Stale && !slices.ContainsFunc(u.Claims, isServing)
}

// markAvailable notes that a source has sent a list.
func (m *Merger) markAvailable(s *source) {
	if s.unavailable {
		m.logAvailable(s)
	}
	s.answered, s.answeredAt, s.unavailable = true, m.now, false
}

// handleUnavailable notes that a source can't be reached. Its claims stay.
func (m *Merger) handleUnavailable(s *source, reason string) {
	s.massRemoval.suspend()
	s.failureReason = reason
	if s.unavailable {
		return
	}
	s.unavailable, s.unavailableSince = true, m.now
	m.logUnavailable(s)
}

// applyClaims takes over the claims of a list, except those on endpoints beyond MaxEndpoints.
func (m *Merger) applyClaims(i int, update *SourceUpdate) {
	ignored := 0
	for k := range update.Claims {
		claim := &update.Claims[k]
		e := m.endpointFor(claim.Endpoint.ID)
		if e == nil {
			ignored++
			continue
		}
		c := &e.claims[i]
		if update.Stale && c.known && c.update != m.updates {
			continue // the first stale list of a source counts
		}
		m.applyClaim(i, e, claim, update.Stale)
	}
	if ignored > 0 {
		m.logIgnored(&m.sources[i], ignored)
	}
}

// endpointFor returns the endpoint of this id, a new one where it is not known, or nil where there are too many.
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

// applyClaim takes over a source's claim on an endpoint.
func (m *Merger) applyClaim(i int, e *endpoint, claim *Claim, stale bool) {
	c := &e.claims[i]
	if c.update == m.updates && claim.Endpoint.Status <= c.Endpoint.Status {
		return // of two entries in one list, the one that is closer to removal counts
	}
	next := *claim
	if claim.Endpoint.Status == decide.Removed {
		next.Endpoint = c.Endpoint // a removal needs no more than the id
		next.Endpoint.ID, next.Endpoint.Status = claim.Endpoint.ID, decide.Removed
	}
	if next.Address == "" && c.known && c.Endpoint.Status != decide.Removed {
		next.Address = c.Address
	}
	m.beforeStatusChange(i, e, next.Endpoint.Status)
	c.Claim, c.stale, c.omitted = next, stale, false
	c.known, c.updatedAt, c.update = true, m.now, m.updates
	m.markDirty(e)
}

// removeOmitted takes over that a source's full list omits these endpoints.
func (m *Merger) removeOmitted(i int, omitted []*endpoint) {
	for _, e := range omitted {
		m.beforeStatusChange(i, e, decide.Removed)
		c := &e.claims[i]
		c.Endpoint.Status, c.omitted, c.stale, c.updatedAt = decide.Removed, true, false, m.now
		m.markDirty(e)
	}
}

// beforeStatusChange updates the source's counters before its claim on an endpoint gets another status.
func (m *Merger) beforeStatusChange(i int, e *endpoint, next decide.Status) {
	s, c := &m.sources[i], &e.claims[i]
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
	m.clearUnconfirmed(i, e)
}

// markDirty has an endpoint merged anew at the end of this turn.
func (m *Merger) markDirty(e *endpoint) {
	if !e.dirty {
		e.dirty = true
		m.turn.dirty = append(m.turn.dirty, e)
	}
}

// refresh merges the claims on an endpoint, and notes the change where the result differs from what was published.
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

// updateRemoved enters an endpoint among those that were removed, or takes it out again.
func (m *Merger) updateRemoved(e *endpoint, removed bool) {
	switch {
	case removed && e.removedElement == nil:
		e.removedElement, e.removedAt = m.removed.PushBack(e), m.now
	case !removed && e.removedElement != nil:
		m.removed.Remove(e.removedElement)
		e.removedElement = nil
	}
}

// minRemovedRetention is for how long, at least, a removed endpoint and the reason of its removal are remembered.
const minRemovedRetention Time = 600_000_000 // microseconds

// forgetRemoved drops endpoints that were removed so long ago that their penalty has decayed below half of Reuse, and the
// oldest ones beyond MaxRemoved. Without a bound, endpoints that come and go under ever new ids would fill the memory.
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

func (m *Merger) forget(e *endpoint) {
	delete(m.endpoints, e.id)
	if e.flaps.queueIndex >= 0 {
		heap.Remove(&m.suppressed, e.flaps.queueIndex)
	}
}
