package endpoints

import (
	"slices"
	"strings"

	"starlingwinch/decide"
)

// Row is all that is known of one cache.
type Row struct {
	ID              string
	Status          decide.Status // as handed on
	Reason          string        // why, in words for an operator
	Address, Zone   string
	SuppressedUntil Time          // its good news is held down until then; 0 where it is not
	Penalty         float64       // of its flaps, by now
	Flaps           int           // since it was last quiet
	Claims          []SourceClaim // of the sources that know it, in their order
}

// SourceClaim is what one source says of a cache.
type SourceClaim struct {
	Source      string
	Status      decide.Status
	Reason      string // the source's own word
	Age         Time   // of the word
	LastSeenAge Time   // since the source itself last heard of the cache; -1 where it does not say
	Stale       bool   // it is from an old list
	Unconfirmed bool   // the source's last list left the cache out, of too many at once; the word before counts
}

// SourceRow is how things stand with one source.
type SourceRow struct {
	Name           string
	Age            Time   // since its last answer; -1 where there was none
	UnavailableFor Time   // -1 where it can be reached
	Reason         string // it was lost
	Caches, Up     int    // that it names, and those that take work by its word
	Unconfirmed    int    // that its last list left out, unconfirmed
}

// Table is every cache that is known, those that have gone lately included, by name.
func (m *Merger) Table(now Time) []Row {
	now = max(now, m.now)
	rows := make([]Row, 0, len(m.caches))
	for _, c := range m.caches { // any order: sorted below
		rows = append(rows, m.row(c, now))
	}
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.ID, b.ID) })
	return rows
}

func (m *Merger) row(c *cache, now Time) Row {
	e, addr, _ := c.merge()
	r := Row{ID: c.id, Status: c.out, Reason: c.reason(m, now), Address: addr, Zone: e.Zone, Flaps: c.flaps,
		Penalty: m.opt.Damping.decayed(c.penalty, now-c.flapped)}
	if c.held(now) {
		r.SuppressedUntil = c.heldUntil
	}
	for i := range c.words {
		w := &c.words[i]
		if !w.known {
			continue
		}
		seen := Time(-1)
		if w.LastSeen != 0 {
			seen = max(0, now-w.LastSeen)
		}
		r.Claims = append(r.Claims, SourceClaim{Source: m.sources[i].Name, Status: w.Endpoint.Status, Reason: w.text(),
			Age: now - w.told, LastSeenAge: seen, Stale: w.stale, Unconfirmed: w.heldBack})
	}
	return r
}

// Sources tells of each source, in their order.
func (m *Merger) Sources(now Time) []SourceRow {
	now = max(now, m.now)
	rows := make([]SourceRow, len(m.sources))
	for i := range m.sources {
		s := &m.sources[i]
		r := SourceRow{Name: s.Name, Age: -1, UnavailableFor: -1, Caches: s.known, Up: s.up, Unconfirmed: s.open}
		if s.heard {
			r.Age = now - s.answered
		}
		if s.lost {
			r.UnavailableFor, r.Reason = now-s.since, s.why
		}
		rows[i] = r
	}
	return rows
}
