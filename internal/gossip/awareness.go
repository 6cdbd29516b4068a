package gossip

import (
	"log/slog"
	"time"
)

// maxAwareness bounds the local health score.
const maxAwareness = 8

// addAwareness changes the local health score: up where this router seems to be slow itself, down where a probe was
// acknowledged (Lifeguard, IV-A).
func (v *View) addAwareness(delta int) {
	v.awareness = max(0, min(maxAwareness, v.awareness+delta))
}

// scaleTimeout stretches a timeout by the local health score.
func (v *View) scaleTimeout(t Time) Time { return t * Time(1+v.awareness) }

// recoverFromStall makes up for a time in which this process did not run. Acknowledgements may have come meanwhile: without
// this, all members that were probed before would be suspected at once.
func (v *View) recoverFromStall(stalled Time) {
	v.counts.Stalls++
	v.awareness = maxAwareness
	v.prober.abandonAll()
	for _, m := range v.members { // any order: each by itself
		if m.State == Suspect {
			m.suspicion.postpone(stalled)
		}
	}
	v.nextRoundAt = v.now
	v.log(slog.LevelWarn, "gossip stalled", slog.Duration("stalled_for", time.Duration(stalled)*time.Microsecond))
}
