package endpoints

import (
	"slices"
	"strings"

	"starlingwinch/decide"
)

// takeActions returns the actions of this turn, and begins the next turn.
func (m *Merger) takeActions() []Action {
	var actions []Action
	if len(m.turn.changes) > 0 || m.turn.publishEmpty {
		actions = append(actions, m.publish())
		m.logChanges()
	}
	actions = append(actions, m.turn.confirms...)
	if at := m.nextDeadline(); at != 0 && at != m.wakeAt {
		m.wakeAt = at
		actions = append(actions, Wake{at})
	}
	actions = append(actions, m.turn.logs...)
	m.turn.reset()
	return actions
}

// publish returns the changes of this turn as a Publish. Removals and drains come first, so that an address that moves from
// one endpoint to another in this turn is free when its new endpoint is published.
func (m *Merger) publish() Publish {
	changes := m.turn.changes
	slices.SortFunc(changes, func(a, b change) int {
		if a.status != b.status {
			return int(b.status) - int(a.status)
		}
		return strings.Compare(a.id, b.id)
	})
	p := Publish{
		Kind:      m.turn.kind,
		Endpoints: make([]decide.Endpoint, len(changes)),
		Addresses: make([]string, len(changes)),
	}
	for i, c := range changes {
		p.Endpoints[i], p.Addresses[i] = c.published, c.address
	}
	m.published = true
	return p
}

// reset empties the turn and retains its slices for the next one.
func (t *turn) reset() {
	clear(t.dirty)
	clear(t.changes)
	clear(t.confirms)
	clear(t.logs)
	*t = turn{
		dirty:    t.dirty[:0],
		changes:  t.changes[:0],
		kind:     decide.DeltaUpdate,
		confirms: t.confirms[:0],
		logs:     t.logs[:0],
	}
}

// nextDeadline returns the earliest time at which a suppression ends or a mass-removal check is due; 0 if there is none.
func (m *Merger) nextDeadline() Time {
	next := Time(0)
	consider := func(at Time) {
		if next == 0 || at < next {
			next = max(at, m.now+1)
		}
	}
	if len(m.suppressed) > 0 {
		consider(m.suppressed[0].flaps.suppressedUntil)
	}
	for i := range m.sources {
		at, scheduled := m.sources[i].massRemoval.nextDeadline(m.options.MassRemoval.ConfirmWithin)
		if scheduled {
			consider(at)
		}
	}
	return next
}
