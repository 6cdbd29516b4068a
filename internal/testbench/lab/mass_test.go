package lab_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"starlingwinch/internal/testbench/lab"
	"starlingwinch/internal/testbench/lab/node"
)

// many runs a day with many routers that is small enough for a test.
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
		t.Errorf("%s: got %d attempts and %d dials, want some of each", day, r.LossReport.Attempts, r.Dials)
	}
	return r
}

// serves checks the minimum fraction of the priority weight that a day earns. Without the decision module's rules for many
// routers, the days earn 0.860 (calm), 0.777, 0.939, 0.686, 0.954 and 0.720, in the order of MassDays.
func serves(t *testing.T, r *lab.MassResult, least float64) {
	t.Helper()
	t.Logf("served %.3f", r.Served())
	if got := r.Served(); got < least {
		var table bytes.Buffer
		r.LossReport.Print(&table)
		t.Errorf("got %.3f of the priority weight, want at least %.2f; losses:\n%s", got, least, &table)
	}
}

// In all tests of days, one router in ten has five times the traffic of another router.
func TestManyRoutersRecoverFromABurst(t *testing.T) {
	r := many(t, "calm", 1)
	serves(t, r, .88)
	last := r.Windows[len(r.Windows)-1]
	for _, w := range r.Windows { // the last complete window before the clients stop
		if w.At <= 16*second {
			last = w
		}
	}
	if share := float64(last.Refused) / float64(last.Attempts); share > .1 {
		t.Errorf("long after the burst: got %.2f of tries refused, want at most 0.1", share)
	}
}

func TestManyRoutersServeDuringRollingRestartCacheReplacementAndDiscoveryMove(t *testing.T) {
	serves(t, many(t, "roll", 1), .79)
}

func TestSevenInTenRoutersRestartAtOnceWithoutState(t *testing.T) {
	serves(t, many(t, "herd", 1), .9)
}

func TestZoneThatReturnsColdIsNotOverloadedByManyRouters(t *testing.T) {
	serves(t, many(t, "zone", 1), .73)
}

func TestManyRoutersServeDuringAZonePartitionAndResets(t *testing.T) {
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
		t.Errorf("got %.3f served and broken rules %v, want at least 0.8 and none", r.Served(), r.Broken)
	}
}

// TestLossesNameAReasonForEachRefusal checks that the loss report counts each refusal once, with a reason.
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
	// The report also counts refusals of clients that have left before the answer.
	if sent := r.Counts.Refused; refused < sent || refused > sent+sent/10+50 {
		t.Errorf("got %d refusals in the report, want %d to %d as on the sockets", refused, sent, sent+sent/10+50)
	}
}

func TestUnknownDayIsAnErrorWithItsName(t *testing.T) {
	if _, err := lab.PlayMass(lab.Mass{Day: "noon", Routers: 3, Caches: 9, Length: time.Second}, lab.Options{Node: node.Start}); err == nil ||
		!strings.Contains(err.Error(), "noon") {
		t.Errorf("got error %v, want one that contains the name of the day", err)
	}
}
