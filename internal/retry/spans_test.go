package retry

import (
	"math"
	"testing"
	"time"

	"starlingwinch/internal/limits"
)

// TestSilenceIsNoticedLongBeforeWhatWasMissedCountsAsTold, whatever the operators set and whichever wait is drawn: of the time
// from the end of the wait on, half is left for asking anew.
func TestSilenceIsNoticedLongBeforeWhatWasMissedCountsAsTold(t *testing.T) {
	for _, watch := range []time.Duration{time.Second, 4 * time.Second, 20 * time.Second, time.Minute} {
		for _, answer := range []time.Duration{100 * time.Millisecond, 2 * time.Second, time.Minute} {
			for _, chance := range []uint64{0, 1, 1 << 40, math.MaxUint64} {
				s := CallOptions{WatchTime: watch.Microseconds(), AnswerTime: answer.Microseconds()}.Spans(chance)
				if s.WatchWait > watch.Microseconds() || s.WatchWait < watch.Microseconds()/shortestPart {
					t.Errorf("a wait of %d of at most %s", s.WatchWait, watch)
				}
				// It may have fallen silent right after the call, and at its end at the latest.
				if told := max(toldAfterSilence, s.WatchWait+toldAfterWait); s.SilentAfter > told-toldAfterWait/2 {
					t.Errorf("%s, %s: noticed %d after the call, counts as told %d after it", watch, answer, s.SilentAfter, told)
				}
			}
		}
	}
	if w := limits.Default().Discovery.WatchTime.Microseconds(); w != MaxWatchWait {
		t.Errorf("a watch waits for %d, which brings nothing past %d", w, MaxWatchWait)
	}
}

// TestAgentIsHeardWellWithinTheGrace: from the moment in which an agent speaks again to its next answer, whatever was out just
// then. The danger: it never answers a call that was out while it was silent, and what it has counts as told.
func TestAgentIsHeardWellWithinTheGrace(t *testing.T) {
	for _, grace := range []time.Duration{400 * time.Millisecond, 500 * time.Millisecond, time.Second, 3 * time.Second} {
		s := pushedOptions(grace).Spans(7)
		if deaf := s.SilentAfter + s.RetryDelay; deaf > grace.Microseconds()/2 {
			t.Errorf("grace %s: an agent is not asked for %d us", grace, deaf)
		}
		if s.AnswerTimeout > s.SilentAfter || s.RetryDelay < minSpan || s.WatchWait < CallPause {
			t.Errorf("grace %s: spans %+v", grace, s)
		}
	}
	if s := pushedOptions(0).Spans(7); s.WatchWait < CallPause || s.AnswerTimeout < minSpan {
		t.Errorf("with no grace at all: spans %+v", s)
	}
}

func pushedOptions(grace time.Duration) CallOptions {
	d := limits.Default().Discovery
	return CallOptions{WatchTime: d.WatchTime.Microseconds(), AnswerTime: d.AnswerTime.Microseconds(), Pushed: true, Grace: grace.Microseconds()}
}
