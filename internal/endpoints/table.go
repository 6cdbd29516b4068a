package endpoints

import (
	"slices"
	"strings"

	"starlingwinch/decide"
)

// Row is all that is known of one endpoint, for the operators' tables.
type Row struct {
	ID              string
	Status          decide.Status // as published
	Reason          string        // of the status, in words for operators
	Address, Zone   string
	SuppressedUntil Time          // flap damping ends then; 0 where the endpoint is not suppressed
	Penalty         float64       // of its flaps, decayed to now
	Flaps           int           // since it was last stable
	Claims          []SourceClaim // of the sources that know it, in their order
}

// SourceClaim is what one source says of an endpoint.
type SourceClaim struct {
	Source      string
	Status      decide.Status
	Reason      string // the source's own word
	Age         Time   // of the claim
	LastSeenAge Time   // since the source itself last had contact with the endpoint; -1 where it does not say
	Stale       bool   // it comes from a stale list
	Unconfirmed bool   // the source's last list omitted the endpoint, as one of too many at once; the claim before counts
}

// SourceRow is the state of one source.
type SourceRow struct {
	Name           string
	Age            Time   // since its last answer; -1 where there was none
	UnavailableFor Time   // -1 where it is available
	Reason         string // it is unavailable
	Caches         int    // that it names
	Up             int    // that it names as serving
	Unconfirmed    int    // omissions that it has not confirmed
}

// Table returns every endpoint that is known, those that were removed lately included, by id.
func (m *Merger) Table(now Time) []Row {
	now = max(now, m.now)
	rows := make([]Row, 0, len(m.endpoints))
	for _, e := range m.endpoints { // any order: sorted below
		rows = append(rows, m.row(e, now))
	}
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.ID, b.ID) })
	return rows
}

func (m *Merger) row(e *endpoint, now Time) Row {
	merged, address, _ := e.merge()
	row := Row{
		ID:      e.id,
		Status:  e.status,
		Reason:  m.causeAt(e, now).String(),
		Address: address,
		Zone:    merged.Zone,
		Penalty: m.options.Damping.decayed(e.flaps.penalty, now-e.flaps.lastFlap),
		Flaps:   e.flaps.count,
	}
	if e.flaps.isSuppressed(now) {
		row.SuppressedUntil = e.flaps.suppressedUntil
	}
	for i := range e.claims {
		if c := &e.claims[i]; c.known {
			row.Claims = append(row.Claims, c.row(m.sources[i].Name, now))
		}
	}
	return row
}

func (c *sourceClaim) row(source string, now Time) SourceClaim {
	lastSeenAge := Time(-1)
	if c.LastSeen != 0 {
		lastSeenAge = max(0, now-c.LastSeen)
	}
	return SourceClaim{
		Source:      source,
		Status:      c.Endpoint.Status,
		Reason:      c.reasonText(),
		Age:         now - c.updatedAt,
		LastSeenAge: lastSeenAge,
		Stale:       c.stale,
		Unconfirmed: c.unconfirmed,
	}
}

// Sources returns the state of each source, in the operators' order.
func (m *Merger) Sources(now Time) []SourceRow {
	now = max(now, m.now)
	rows := make([]SourceRow, len(m.sources))
	for i := range m.sources {
		rows[i] = m.sources[i].row(now)
	}
	return rows
}

func (s *source) row(now Time) SourceRow {
	row := SourceRow{
		Name:           s.Name,
		Age:            -1,
		UnavailableFor: -1,
		Caches:         s.known,
		Up:             s.serving,
		Unconfirmed:    s.massRemoval.unconfirmed,
	}
	if s.answered {
		row.Age = now - s.answeredAt
	}
	if s.unavailable {
		row.UnavailableFor, row.Reason = now-s.unavailableSince, s.failureReason
	}
	return row
}
