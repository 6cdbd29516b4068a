package retry

import (
	"math"
	"testing"
	"time"

	"starlingwinch/internal/limits"
)

// TestSilentWatchTimesOutBeforeClientCountsAsNotified checks, for several options and random numbers, that half of the time
// between the end of the wait and the instant from which the client counts as notified is left for the next call.
func TestSilentWatchTimesOutBeforeClientCountsAsNotified(t *testing.T) {
	for _, watch := range []time.Duration{time.Second, 4 * time.Second, 20 * time.Second, time.Minute} {
		for _, answer := range []time.Duration{100 * time.Millisecond, 2 * time.Second, time.Minute} {
			for _, random := range []uint64{0, 1, 1 << 40, math.MaxUint64} {
				s := CallOptions{WatchTime: watch.Microseconds(), AnswerTime: answer.Microseconds()}.Draw(random)
				if s.WatchWait > watch.Microseconds() || s.WatchWait < watch.Microseconds()/minWaitDivisor {
					t.Errorf("got a wait of %d us, want at most %s and at least a quarter of it", s.WatchWait, watch)
				}
				// The watch may fall silent at any instant from the call to the end of the wait.
				if notified := max(notifiedAfterSilence, s.WatchWait+notifiedAfterWait); s.SilentAfter > notified-notifiedAfterWait/2 {
					t.Errorf("watch time %s, answer time %s: got a timeout of %d us, want at least %d us before the client counts as notified at %d us",
						watch, answer, s.SilentAfter, notifiedAfterWait/2, notified)
				}
			}
		}
	}
	if w := limits.Default().Discovery.WatchTime.Microseconds(); w != MaxWatchWait {
		t.Errorf("default watch time: got %d us, want the longest useful wait of %d", w, MaxWatchWait)
	}
}

// TestAgentIsPolledWithinHalfOfTheGrace checks that the client polls an agent within half of the grace after the agent answers
// again. The agent never answers a call that was in flight while the agent was silent, and the client counts as notified of the
// changes that the agent has.
func TestAgentIsPolledWithinHalfOfTheGrace(t *testing.T) {
	for _, grace := range []time.Duration{400 * time.Millisecond, 500 * time.Millisecond, time.Second, 3 * time.Second} {
		s := pushedOptions(grace).Draw(7)
		if unpolled := s.SilentAfter + s.RetryDelay; unpolled > grace.Microseconds()/2 {
			t.Errorf("grace %s: got %d us without a poll, want at most half of the grace", grace, unpolled)
		}
		if s.AnswerTimeout > s.SilentAfter || s.RetryDelay < minDelay || s.WatchWait < MinCallInterval {
			t.Errorf("grace %s: got timeouts %+v, want at least %d us for the retry delay and %d us for the wait", grace, s, minDelay, MinCallInterval)
		}
	}
	if s := pushedOptions(0).Draw(7); s.WatchWait < MinCallInterval || s.AnswerTimeout < minDelay {
		t.Errorf("without a grace: got timeouts %+v, want at least %d us for the wait and %d us for the answer", s, MinCallInterval, minDelay)
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
