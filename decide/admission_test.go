package decide

import (
	"fmt"
	"testing"
)

// TestAdmissionFollowsTimeliness checks that the router rejects requests immediately while few attempts are
// served in time, and admits all of them while most attempts are.
func TestAdmissionFollowsTimeliness(t *testing.T) {
	h := newLowTrafficHarness(t, 20, nil)
	rejected := func(from int64) (n int) {
		for id := from; id < from+100; id++ {
			h.feed(&Request{ID: id, Class: "read", Key: mix(uint64(id)), HasKey: true, Deadline: h.now + 800*ms})
			if len(sends(h.actions)) == 0 {
				n += countFinalAnswers(h.actions)
			} else {
				h.serve(id, 0)
			}
		}
		return n
	}
	h.router.timeliness.attempts, h.router.timeliness.inTime, h.router.timeliness.updatedAt = 60, 3, h.now
	if n := rejected(1); n < 40 {
		t.Errorf("with 3 of 60 attempts in time: got %d of 100 requests rejected, want at least 40", n)
	}
	h.router.timeliness.attempts, h.router.timeliness.inTime, h.router.timeliness.updatedAt = 60, 54, h.now
	if n := rejected(200); n > 0 {
		t.Errorf("with 54 of 60 attempts in time: got %d of 100 requests rejected, want none", n)
	}
}

// TestAnswersWithinObjectiveCountAsTimely checks that answers after the response timeout but within the
// latency objective count as in time. Otherwise, a fleet whose requests normally take that long would have
// nearly all of them rejected.
func TestAnswersWithinObjectiveCountAsTimely(t *testing.T) {
	for latency, minRatio := range map[Time]float64{150 * ms: .9, 250 * ms: 0} { // objective 200 ms; with 0, the ratio must be at most .7
		t.Run(fmt.Sprint(latency/ms, " ms"), func(t *testing.T) {
			h := newHarnessWithoutHealthChecks(t, 20, func(s *Settings) { s.Routers = 300 })
			for id := range int64(100) {
				h.request(id+1, "read", uint64(id))
				h.advance(latency)
				h.serve(id+1, 0)
			}
			if got := h.router.timeliness.ratio(); got < minRatio || minRatio == 0 && got > .7 {
				t.Errorf("answers after %d ms: got a ratio of %.2f in time, want at least %v (0: at most 0.7)", latency/ms, got, minRatio)
			}
		})
	}
}
