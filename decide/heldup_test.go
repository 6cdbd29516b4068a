package decide

import "testing"

// TestRepeatLeavesRoomForHeldUpRouter: a router may stand still for MaxSchedulingDelay between its look at the clock and the write. A
// repeat of a keyed request that may be written at the last moment is still dropped by the caches then.
func TestRepeatLeavesRoomForHeldUpRouter(t *testing.T) {
	for _, window := range []Time{100 * ms, 500 * ms, 1200 * ms, 4000 * ms} {
		c := Class{Semantics: IdempotentByKey, DeduplicationScope: DeduplicatedEverywhere, IdempotencyWindow: window}
		const sent = 7000 * ms
		latest := c.repeatDeadline(sent) // nothing is written from then on
		if written := latest + MaxSchedulingDelay; latest > sent && written > sent+window {
			t.Errorf("window of %d ms: a repeat may be written %d ms too late", window/ms, (written-sent-window)/ms)
		}
		if latest < sent || window > 2*MaxSchedulingDelay && latest < sent+window/2 {
			t.Errorf("window of %d ms: no repeat is written from %d ms on", window/ms, (latest-sent)/ms)
		}
	}
}
