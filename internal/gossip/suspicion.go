package gossip

import (
	"log/slog"
	"math"
	"slices"
	"time"
)

const (
	// confirmations is the number of other routers that must confirm a suspicion to shorten it to its minimum time (Lifeguard's K).
	confirmations = 3
	// maxTimeoutFactor is the ratio of the maximum time of a suspicion, which applies without confirmation, to its minimum time.
	maxTimeoutFactor = 6
	// directProbers is the mean number of routers whose notification of a suspect counts as a probe.
	directProbers = 4
)

// suspicion records the routers that suspect a member, and the times of the suspicion.
type suspicion struct {
	by       []string // routers that suspect the member; the first one began the suspicion
	since    Time
	deadline Time // when the time to refute ends after another router declared the member faulty; otherwise 0
}

// begin begins a suspicion, without any router that suspects the member.
func (s *suspicion) begin(now Time) { s.by, s.since, s.deadline = s.by[:0], now, 0 }

// clear ends a suspicion.
func (s *suspicion) clear() { s.by, s.deadline = s.by[:0], 0 }

// postpone extends a suspicion by a time in which the member could not refute it.
func (s *suspicion) postpone(d Time) {
	s.since += d
	if s.deadline > 0 {
		s.deadline += d
	}
}

// suspect begins a suspicion of a member, or confirms an existing one, on behalf of the router by.
func (v *View) suspect(m *member, by string) {
	if m == v.self || !m.State.IsAlive() {
		return
	}
	if m.State != Suspect {
		m.suspicion.begin(v.now)
		v.setState(m, Suspect)
		v.log(slog.LevelWarn, "gossip member suspected", slog.String("member", m.Name), slog.String("by", by))
	}
	if slices.Contains(m.suspicion.by, by) || len(m.suspicion.by) > confirmations {
		return
	}
	m.suspicion.by = append(m.suspicion.by, by)
	v.dropUpdatesOf(m)
	v.broadcastSuspicion(m, by)
	v.notifySuspect(m)
}

// notifySuspect pings a member that is suspect or faulty, so that the member can refute the claim (Lifeguard, IV-C).
func (v *View) notifySuspect(m *member) {
	recently := m.notifiedAt > 0 && v.now < m.notifiedAt+v.cfg.Interval/2
	if v.cfg.PlainSWIM || m.Addr == "" || recently || v.prober.full() {
		return
	}
	m.notifiedAt = v.now
	// At directProbers routers on average, regardless of the number of members, the ping counts as a probe whose failure confirms
	// the suspicion. This confirms or refutes suspicions early.
	direct := v.rng.Float64() < directProbers/float64(len(v.members))
	v.probe(m.Name, m.Addr, !direct)
}

// suspicionDeadline returns when a suspicion ends if the member does not refute it. The suspicion is shorter the more routers have
// confirmed it (Lifeguard, IV-B).
func (v *View) suspicionDeadline(m *member) Time {
	scale := math.Max(1, math.Log10(float64(len(v.agreement.names))+1))
	minTimeout := float64(v.cfg.Suspicion) * scale * float64(v.cfg.Interval)
	if v.cfg.PlainSWIM {
		return m.suspicion.since + Time(minTimeout)
	}
	maxTimeout := maxTimeoutFactor * minTimeout
	// Confirmations count as given if too few routers remain that could give them. Otherwise an isolated router would wait for the
	// maximum time for each member.
	confirmed := float64(max(0, len(m.suspicion.by)-1, confirmations-v.countConfirmers()))
	timeout := max(minTimeout, maxTimeout-(maxTimeout-minTimeout)*math.Log(confirmed+1)/math.Log(confirmations+1))
	deadline := m.suspicion.since + Time(timeout)
	if v.cfg.Defect == SuspicionNeverExpires {
		return math.MaxInt64 / 4
	}
	if m.suspicion.deadline > 0 {
		deadline = min(deadline, m.suspicion.deadline)
	}
	return deadline
}

// countConfirmers returns the number of other members that could confirm a suspicion, at most confirmations.
func (v *View) countConfirmers() int {
	count := 0
	for _, m := range v.members { // any order: a count
		if m != v.self && m.State.IsAlive() && m.State != Suspect {
			count++
		}
		if count == confirmations {
			break
		}
	}
	return count
}

// suspects returns the sorted names of the suspects. The order makes equal events give equal actions.
func (v *View) suspects() []string {
	var names []string
	for name, m := range v.members { // any order: sorted below
		if m.State == Suspect {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// expireSuspicions declares the members faulty whose suspicion has timed out.
func (v *View) expireSuspicions() {
	for _, name := range v.suspects() {
		if m := v.members[name]; v.now >= v.suspicionDeadline(m) {
			v.declareFaulty(m)
		}
	}
}

// declareFaulty sets the state of a member that did not refute a suspicion: Left if the member was leaving, otherwise Faulty.
func (v *View) declareFaulty(m *member) {
	by := slices.Clone(m.suspicion.by)
	if m.announcedState == Leaving {
		v.setState(m, Left)
		v.log(slog.LevelInfo, "gossip member left", slog.String("member", m.Name))
	} else {
		v.counts.DeclaredFaulty++
		v.setState(m, Faulty)
		suspectedFor := time.Duration(v.now-m.suspicion.since) * time.Microsecond
		v.log(slog.LevelWarn, "gossip member faulty", slog.String("member", m.Name),
			slog.Any("suspected_by", by), slog.Duration("suspected_for", suspectedFor))
	}
	if c := v.contacts[m.Addr]; c != nil {
		c.pollDelay, c.pollAt = 0, v.now+minPollDelay
	}
	v.broadcast(m)
}
