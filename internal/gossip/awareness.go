package gossip

import (
	"log/slog"
	"time"
)

// maxAwareness bounds the local health score.
const maxAwareness = 8

// addAwareness changes the local health score (Lifeguard, IV-A). The score rises if this router itself seems to be slow and
// falls when a probe is acknowledged.
func (v *View) addAwareness(delta int) {
	v.awareness = max(0, min(maxAwareness, v.awareness+delta))
}

// scaleTimeout multiplies a timeout by one plus the local health score.
func (v *View) scaleTimeout(t Time) Time { return t * Time(1+v.awareness) }

// recoverFromStall abandons probes and postpones suspicions after a time in which this process did not run. Acknowledgements may
// have arrived during the stall, and otherwise all members that were probed before it would be suspected at once.
func (v *View) recoverFromStall(stalled Time) {
	v.counts.Stalls++
	v.awareness = maxAwareness
	v.prober.abandonAll()
	for _, m := range v.members { // any order: members are independent
		if m.State == Suspect {
			m.suspicion.postpone(stalled)
		}
	}
	v.nextRoundAt = v.now
	v.log(slog.LevelWarn, "gossip stalled", slog.Duration("stalled_for", time.Duration(stalled)*time.Microsecond))
}
