package lab_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"starlingwinch/internal/testbench/lab"
	"starlingwinch/internal/testbench/lab/node"
)

// many is a day with many routers that a test can afford.
func many(t *testing.T, day string, seed int64) *lab.MassResult {
	t.Helper()
	slow(t)
	r, err := lab.PlayMass(lab.Mass{Day: day, Seed: seed, Routers: 60, Caches: 40, Length: 16 * time.Second},
		lab.Options{Node: node.Start})
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Broken) > 0 {
		t.Errorf("%s, seed %d: rules broken: %v", day, seed, r.Broken)
	}
	if r.LossReport.Attempts == 0 || r.Dials == 0 {
		t.Errorf("%s: %d attempts and %d dials were counted", day, r.LossReport.Attempts, r.Dials)
	}
	return r
}

// serves holds a day's share of worth that was earned to the least that it may be. With the module as it was before it had
// rules for many routers the days had 0.860 (calm), 0.777, 0.939, 0.686, 0.954 and 0.720.
func serves(t *testing.T, r *lab.MassResult, least float64) {
	t.Helper()
	t.Logf("served %.3f", r.Served())
	if got := r.Served(); got < least {
		var table bytes.Buffer
		r.LossReport.Print(&table)
		t.Errorf("%.3f of all worth was served, want %.2f at least; lost:\n%s", got, least, &table)
	}
}

// One router in ten has five times the traffic of another in all of these.
func TestManyRoutersComeThroughABurst(t *testing.T) {
	r := many(t, "calm", 1)
	serves(t, r, .88)
	last := r.Windows[len(r.Windows)-1]
	for _, w := range r.Windows { // the last whole one before the clients stop
		if w.At <= 16*second {
			last = w
		}
	}
	if share := float64(last.Refused) / float64(last.Attempts); share > .1 {
		t.Errorf("%.2f of tries are refused long after the burst", share)
	}
}

func TestManyRoutersRestartATenthAtATimeWhileHalfOfTheCachesAreReplacedAndDiscoveryMoves(t *testing.T) {
	serves(t, many(t, "roll", 1), .79)
}

func TestSevenInTenRoutersAreKilledAtOnceAndComeBackFromNothing(t *testing.T) {
	serves(t, many(t, "herd", 1), .9)
}

func TestZoneThatIsBackColdIsNotPushedOverByManyRouters(t *testing.T) {
	serves(t, many(t, "zone", 1), .73)
}

func TestManyRoutersGoOnWhileAZoneIsCutOffAndAnswersGetLost(t *testing.T) {
	serves(t, many(t, "split", 1), .9)
}

func TestSixInTenCachesAreReplacedWithinSevenSeconds(t *testing.T) {
	serves(t, many(t, "join", 1), .73)
}

func TestThreeHundredRoutersStartAndServe(t *testing.T) {
	slow(t)
	r, err := lab.PlayMass(lab.Mass{Day: "calm", Seed: 2, Routers: 300, Caches: 200, Length: 4 * time.Second, Load: .2},
		lab.Options{Node: node.Start})
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Broken) > 0 || r.Served() < .8 {
		t.Errorf("served %.3f, broken %v", r.Served(), r.Broken)
	}
}

// The table of losses holds each refusal once, with a reason.
func TestLossesNameAReasonForEachRefusal(t *testing.T) {
	r := many(t, "join", 3)
	refused := 0
	for reason, n := range r.LossReport.ByReason { // any order: a sum
		if why, of := strings.CutPrefix(reason, "refused: "); of {
			refused += n
			if why == "" {
				t.Errorf("%d refusals have no reason", n)
			}
		}
	}
	if told := r.Counts.Refused; refused < told || refused > told+told/10+50 {
		t.Errorf("%d refusals in the table, %d on the sockets", refused, told) // some clients have left meanwhile
	}
}

func TestDayThatThereIsNotIsNamed(t *testing.T) {
	if _, err := lab.PlayMass(lab.Mass{Day: "noon", Routers: 3, Caches: 9, Length: time.Second}, lab.Options{Node: node.Start}); err == nil ||
		!strings.Contains(err.Error(), "noon") {
		t.Errorf("%v", err)
	}
}
