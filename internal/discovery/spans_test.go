package discovery

import (
	"math"
	"testing"
	"time"

	"starlingwinch/internal/limits"
	"starlingwinch/internal/routertest"
)

// TestSilenceIsNoticedLongBeforeWhatWasMissedCountsAsTold, whatever the operators set and whichever wait is drawn: of the time
// from the end of the wait on, half is left for asking anew.
func TestSilenceIsNoticedLongBeforeWhatWasMissedCountsAsTold(t *testing.T) {
	for _, watch := range []time.Duration{time.Second, 4 * time.Second, 20 * time.Second, time.Minute} {
		for _, answer := range []time.Duration{100 * time.Millisecond, 2 * time.Second, time.Minute} {
			for _, chance := range []uint64{0, 1, 1 << 40, math.MaxUint64} {
				s := spansOf(Options{Discovery: limits.Discovery{WatchTime: watch, AnswerTime: answer}}, chance)
				if s.wait > watch.Microseconds() || s.wait < watch.Microseconds()/shortest {
					t.Errorf("a wait of %d of at most %s", s.wait, watch)
				}
				// It may have fallen silent right after the call, and at its end at the latest.
				if told := max(toldAfterSilence, s.wait+toldAfterWait); s.silent > told-toldAfterWait/2 {
					t.Errorf("%s, %s: noticed %d after the call, counts as told %d after it", watch, answer, s.silent, told)
				}
			}
		}
	}
	if w := limits.Default().Discovery.WatchTime.Microseconds(); w != LongestWait {
		t.Errorf("a watch waits for %d, which brings nothing past %d", w, LongestWait)
	}
}

// TestWatchesWaitForDifferentTimes. The danger: what makes one of them fall silent takes them all, and all routers ask anew at once.
func TestWatchesWaitForDifferentTimes(t *testing.T) {
	addr, calls := rawDiscovery(t)
	queries := map[string]bool{}
	for range 8 {
		follow(t, addr, 5, nil)
		queries[routertest.Receive(t, calls, "call").RequestURI] = true
	}
	if len(queries) < 2 {
		t.Errorf("eight watches all ask %v", queries)
	}
}

// TestAgentIsHeardWellWithinTheGrace: from the moment in which an agent speaks again to its next answer, whatever was out just
// then. The danger: it never answers a call that was out while it was silent, and what it has counts as told.
func TestAgentIsHeardWellWithinTheGrace(t *testing.T) {
	for _, grace := range []time.Duration{400 * time.Millisecond, 500 * time.Millisecond, time.Second, 3 * time.Second} {
		s := spansOf(Options{Discovery: limits.Default().Discovery, Pushed: true, Grace: grace.Microseconds()}, 7)
		if deaf := s.silent + s.again; deaf > grace.Microseconds()/2 {
			t.Errorf("grace %s: an agent is not asked for %d us", grace, deaf)
		}
		if s.answer > s.silent || s.again < leastSpan || s.wait < callPause {
			t.Errorf("grace %s: spans %+v", grace, s)
		}
	}
	if s := spansOf(Options{Discovery: limits.Default().Discovery, Pushed: true}, 7); s.wait < callPause || s.answer < leastSpan {
		t.Errorf("with no grace at all: spans %+v", s)
	}
}
