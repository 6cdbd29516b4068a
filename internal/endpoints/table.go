package endpoints

import (
	"slices"
	"strings"

	"starlingwinch/decide"
)

// Row is the state of one endpoint, for the operators' tables.
type Row struct {
	ID              string
	Status          decide.Status // as published
	Reason          string        // of the status, as text for operators
	Address, Zone   string
	SuppressedUntil Time          // end of the suppression by flap damping; 0 if the endpoint is not suppressed
	Penalty         float64       // current penalty for the endpoint's flaps
	Flaps           int           // since the endpoint was last stable
	Claims          []SourceClaim // of the sources that know the endpoint, in the operators' order
}

// SourceClaim is the latest claim of one source on an endpoint.
type SourceClaim struct {
	Source      string
	Status      decide.Status
	Reason      string // given by the source, or a default text
	Age         Time   // of the claim
	LastSeenAge Time   // time since the source's last contact with the endpoint; -1 if the source does not report it
	Stale       bool   // the claim is from a stale list
	Unconfirmed bool   // the source's last list omitted this endpoint and too many others; the previous claim remains valid
}

// SourceRow is the state of one source.
type SourceRow struct {
	Name           string
	Age            Time   // time since the source's last answer; -1 if there was none
	UnavailableFor Time   // -1 if the source is available
	Reason         string // for which the source is unavailable
	Endpoints      int    // endpoints that the source names
	Serving        int    // endpoints that the source names as serving
	Unconfirmed    int    // omissions that the source has not confirmed
}

// Table returns all known endpoints, including recently removed ones, sorted by ID.
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
		Endpoints:      s.known,
		Serving:        s.serving,
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
