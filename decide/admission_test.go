package decide

import (
	"fmt"
	"testing"
)

// TestAdmissionFollowsTimeliness checks that requests are rejected at once while hardly any is served in
// time, and admitted when most are.
func TestAdmissionFollowsTimeliness(t *testing.T) {
	b := newLowTrafficHarness(t, 20, nil)
	rejected := func(from int64) (n int) {
		for id := from; id < from+100; id++ {
			b.feed(&Request{ID: id, Class: "read", Key: mix(uint64(id)), HasKey: true, Deadline: b.now + 800*ms})
			if len(sends(b.acts)) == 0 {
				n += finalAnswers(b.acts)
			} else {
				b.serve(id, 0)
			}
		}
		return n
	}
	b.r.timeliness.attempts, b.r.timeliness.inTime, b.r.timeliness.updatedAt = 60, 3, b.now
	if n := rejected(1); n < 40 {
		t.Errorf("%d of 100 were rejected with 3 of 60 served in time", n)
	}
	b.r.timeliness.attempts, b.r.timeliness.inTime, b.r.timeliness.updatedAt = 60, 54, b.now
	if n := rejected(200); n > 0 {
		t.Errorf("%d of 100 were rejected with nine of ten served in time", n)
	}
}

// TestAnswersWithinObjectiveCountAsTimely checks that answers past the response timeout and within the
// latency objective count as in time: where work takes so long, nearly all requests would be rejected.
func TestAnswersWithinObjectiveCountAsTimely(t *testing.T) {
	for after, lowest := range map[Time]float64{150 * ms: .9, 250 * ms: 0} { // the latency objective is 200 ms
		t.Run(fmt.Sprint(after/ms, " ms"), func(t *testing.T) {
			b := newHarnessWithoutHealthChecks(t, 20, func(s *Settings) { s.Routers = 300 })
			for id := range int64(100) {
				b.request(id+1, "read", uint64(id))
				b.advance(after)
				b.serve(id+1, 0)
			}
			if got := b.r.timeliness.ratio(); got < lowest || lowest == 0 && got > .7 {
				t.Errorf("answers after %d ms: %.2f in time", after/ms, got)
			}
		})
	}
}
