package gossip

import (
	"log/slog"
	"math"
	"slices"
	"time"
)

const (
	// confirmations is the number of other routers whose suspicion shortens one to its minimum (Lifeguard's K).
	confirmations = 3
	// maxTimeoutFactor is the maximum time of a suspicion that nobody confirms, in minimum times.
	maxTimeoutFactor = 6
	// directProbers is the mean number of routers that probe a suspect themselves.
	directProbers = 4
)

// suspicion is why and since when a member is suspect.
type suspicion struct {
	by       []string // routers that suspect it; the first began the suspicion
	since    Time
	deadline Time // where another router has declared it faulty, its time to refute that; else 0
}

// begin begins a suspicion that nobody holds yet.
func (s *suspicion) begin(now Time) { s.by, s.since, s.deadline = s.by[:0], now, 0 }

// clear ends a suspicion.
func (s *suspicion) clear() { s.by, s.deadline = s.by[:0], 0 }

// postpone moves a suspicion by a time in which it could not be refuted.
func (s *suspicion) postpone(d Time) {
	s.since += d
	if s.deadline > 0 {
		s.deadline += d
	}
}

// suspect puts a member under suspicion, or confirms a suspicion, by a router.
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

// notifySuspect probes a member that is suspect or faulty, so that it can refute that (Lifeguard, IV-C).
func (v *View) notifySuspect(m *member) {
	recently := m.notifiedAt > 0 && v.now < m.notifiedAt+v.cfg.Interval/2
	if v.cfg.Plain || m.Addr == "" || recently || v.prober.full() {
		return
	}
	m.notifiedAt = v.now
	// A few routers count the probe as one of their own, so that a suspicion is confirmed or refuted soon; how many does not
	// depend on the number of members.
	direct := v.rng.Float64() < directProbers/float64(len(v.members))
	v.probe(m.Name, m.Addr, !direct)
}

// suspicionDeadline is when a suspicion ends that nobody refutes: the more routers suspect the member themselves, the sooner
// (Lifeguard, IV-B).
func (v *View) suspicionDeadline(m *member) Time {
	scale := math.Max(1, math.Log10(float64(len(v.agreement.names))+1))
	minTimeout := float64(v.cfg.Suspicion) * scale * float64(v.cfg.Interval)
	if v.cfg.Plain {
		return m.suspicion.since + Time(minTimeout)
	}
	maxTimeout := maxTimeoutFactor * minTimeout
	// Where too few routers are left that could confirm a suspicion, it counts as confirmed: a router that is cut off would
	// wait for the maximum time with each member.
	confirmed := float64(max(0, len(m.suspicion.by)-1, confirmations-v.countConfirmers()))
	timeout := max(minTimeout, maxTimeout-(maxTimeout-minTimeout)*math.Log(confirmed+1)/math.Log(confirmations+1))
	deadline := m.suspicion.since + Time(timeout)
	if v.cfg.Defect == NoTimeout {
		return math.MaxInt64 / 4
	}
	if m.suspicion.deadline > 0 {
		deadline = min(deadline, m.suspicion.deadline)
	}
	return deadline
}

// countConfirmers returns the number of other members that could confirm a suspicion, up to confirmations.
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

// suspects returns the names of suspects in order, so that equal events give equal actions.
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

// expireSuspicions declares members faulty whose suspicion has ended.
func (v *View) expireSuspicions() {
	for _, name := range v.suspects() {
		if m := v.members[name]; v.now >= v.suspicionDeadline(m) {
			v.declareFaulty(m)
		}
	}
}

// declareFaulty ends a suspicion that nobody refuted. A member that was leaving has left.
func (v *View) declareFaulty(m *member) {
	by := slices.Clone(m.suspicion.by)
	if m.announcedState == Leaving {
		v.setState(m, Left)
		v.log(slog.LevelInfo, "gossip member left", slog.String("member", m.Name))
	} else {
		v.counts.Accused++
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
