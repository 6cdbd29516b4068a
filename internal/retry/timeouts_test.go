package retry

import (
	"math"
	"testing"
	"time"

	"starlingwinch/internal/limits"
)

// TestSilentWatchTimesOutWellBeforeClientCountsAsNotified, whatever the options and the wait that is drawn: of the time from the
// end of the wait on, half is left for the next call.
func TestSilentWatchTimesOutWellBeforeClientCountsAsNotified(t *testing.T) {
	for _, watch := range []time.Duration{time.Second, 4 * time.Second, 20 * time.Second, time.Minute} {
		for _, answer := range []time.Duration{100 * time.Millisecond, 2 * time.Second, time.Minute} {
			for _, chance := range []uint64{0, 1, 1 << 40, math.MaxUint64} {
				s := CallOptions{WatchTime: watch.Microseconds(), AnswerTime: answer.Microseconds()}.Draw(chance)
				if s.WatchWait > watch.Microseconds() || s.WatchWait < watch.Microseconds()/minWaitDivisor {
					t.Errorf("a wait of %d of at most %s", s.WatchWait, watch)
				}
				// It may have fallen silent right after the call, and at its end at the latest.
				if notified := max(notifiedAfterSilence, s.WatchWait+notifiedAfterWait); s.SilentAfter > notified-notifiedAfterWait/2 {
					t.Errorf("%s, %s: timed out %d after the call, counts as notified %d after it", watch, answer, s.SilentAfter, notified)
				}
			}
		}
	}
	if w := limits.Default().Discovery.WatchTime.Microseconds(); w != MaxWatchWait {
		t.Errorf("a watch waits for %d, which gains nothing beyond %d", w, MaxWatchWait)
	}
}

// TestAgentIsPolledWithinHalfOfTheGrace from the instant on in which it answers again. It never answers a call that was out while
// it was silent, and what it has counts as known to the client.
func TestAgentIsPolledWithinHalfOfTheGrace(t *testing.T) {
	for _, grace := range []time.Duration{400 * time.Millisecond, 500 * time.Millisecond, time.Second, 3 * time.Second} {
		s := pushedOptions(grace).Draw(7)
		if unpolled := s.SilentAfter + s.RetryDelay; unpolled > grace.Microseconds()/2 {
			t.Errorf("grace %s: an agent is not polled for %d us", grace, unpolled)
		}
		if s.AnswerTimeout > s.SilentAfter || s.RetryDelay < minDelay || s.WatchWait < CallPause {
			t.Errorf("grace %s: timeouts %+v", grace, s)
		}
	}
	if s := pushedOptions(0).Draw(7); s.WatchWait < CallPause || s.AnswerTimeout < minDelay {
		t.Errorf("with no grace at all: timeouts %+v", s)
	}
}

func pushedOptions(grace time.Duration) CallOptions {
	d := limits.Default().Discovery
	return CallOptions{
		WatchTime:  d.WatchTime.Microseconds(),
		AnswerTime: d.AnswerTime.Microseconds(),
		Pushed:     true,
		Grace:      grace.Microseconds(),
	}
}
