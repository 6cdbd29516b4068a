package eureka

import (
	"fmt"
	"testing"

	"starlingwinch/decide"
)

// instance is one that is up, renewed and changed at these seconds.
func instance(id, status string, renewed, updated Time) Instance {
	return Instance{ID: id, App: "CACHE", Address: "10.0.0.1:1", Status: status, EffectiveStatus: status, Weight: 1,
		RenewedAt: renewed * second, UpdatedAt: updated * second, LeaseDuration: 90 * second}
}

func TestOverdueLeaseDrainsInstanceWithLeaseGrace(t *testing.T) {
	for grace, want := range map[int]string{
		0: "late up, new up, out draining (OUT_OF_SERVICE), soon up",
		2: "late draining (UP, but not renewed for more than 90 s), new up, out draining (OUT_OF_SERVICE), soon up",
	} {
		s := newInstanceTable(filter{}, grace)
		out := instance("out", "OUT_OF_SERVICE", 100, 1)
		l := &List{Instances: []Instance{instance("late", "UP", 819, 1), instance("soon", "UP", 820, 1), instance("new", "UP", 1000, 1), out}}
		claims, _ := s.applyFull(l, second, false)
		if got := claimTexts(claims); got != want {
			t.Errorf("grace %d: reported %s, want %s", grace, got, want)
		}
		// A delta repeats how it came, and says nothing of its renewals.
		claims, _, _ = s.applyDelta(&List{Instances: []Instance{instance("late", "UP", 819, 1)}}, 2*second)
		if len(claims) > 0 {
			t.Errorf("grace %d: a repeated delta reports %s", grace, claimTexts(claims))
		}
	}
}

func TestLeasesAreMeasuredWithinTheList(t *testing.T) {
	s := newInstanceTable(filter{}, 1)
	claims, _ := s.applyFull(&List{Instances: []Instance{instance("a", "UP", 5, 1), instance("b", "UP", 90, 1)}}, 1e6*second, false)
	if got := claimTexts(claims); got != "a up, b up" {
		t.Errorf("reported %s", got)
	}
}

func TestListThatIsBehindRevertsNothingWithinReplicationLag(t *testing.T) {
	s := newInstanceTable(filter{}, 0)
	s.applyFull(&List{Instances: []Instance{instance("a", "UP", 1, 1), instance("b", "UP", 1, 1), instance("c", "UP", 1, 1)}}, second, false)
	gone := instance("b", "UP", 1, 10)
	gone.Change = Deleted
	s.applyDelta(&List{Instances: []Instance{instance("a", "OUT_OF_SERVICE", 1, 10), gone}}, 2*second)
	behind := &List{Instances: []Instance{instance("a", "UP", 1, 1), instance("b", "UP", 1, 1), instance("c", "UP", 1, 1)}}
	claims, _ := s.applyFull(behind, 3*second, false)
	if got := claimTexts(claims); got != "a draining (OUT_OF_SERVICE), c up" || !s.withheld {
		t.Errorf("reported %s, held %v", got, s.withheld)
	}
	claims, _ = s.applyFull(behind, 3*second+maxReplicationLag, false)
	if got := claimTexts(claims); got != "a up, b up, c up" || s.withheld {
		t.Errorf("reported %s, held %v", got, s.withheld)
	}
}

func TestRepeatIsNotOutweighedByTheListItChecks(t *testing.T) {
	both := &List{Instances: []Instance{instance("a", "UP", 1, 5), instance("b", "UP", 1, 5)}}
	older := &List{Instances: []Instance{instance("a", "UP", 1, 4), instance("b", "UP", 1, 4)}} // of the other server
	deleted := instance("b", "UP", 1, 6)
	deleted.Change = Deleted
	for _, c := range []struct {
		repeat, inWords bool
		want            string
	}{{true, false, "a up, b up"}, {false, false, ""}, {true, true, "a up"}} {
		s := newInstanceTable(filter{}, 0)
		s.applyFull(both, second, false)
		if c.inWords {
			s.applyDelta(&List{Instances: []Instance{deleted}}, second)
		}
		s.applyFull(&List{}, 2*second, false)
		claims, _ := s.applyFull(older, 3*second, c.repeat)
		if got := claimTexts(claims); got != c.want {
			t.Errorf("%+v: reported %q", c, got)
		}
	}
}

func TestLatestChangeOfAnInstanceInADeltaCounts(t *testing.T) {
	s := newInstanceTable(filter{}, 0)
	s.applyFull(&List{Instances: []Instance{instance("a", "UP", 1, 1), instance("b", "UP", 1, 1)}}, second, false)
	claims, _, older := s.applyDelta(&List{Instances: []Instance{instance("a", "DOWN", 1, 2), instance("b", "DOWN", 1, 4),
		instance("a", "OUT_OF_SERVICE", 1, 3), instance("b", "UP", 1, 3)}}, second)
	if got := claimTexts(claims); got != "a draining (OUT_OF_SERVICE), b draining (DOWN)" || older {
		t.Errorf("reported %s, older %v", got, older)
	}
}

func TestDeltaWithOldRegistrationDoesNotBringInstanceBack(t *testing.T) {
	s := newInstanceTable(filter{}, 0)
	came := instance("a", "UP", 1, 5)
	s.applyFull(&List{Instances: []Instance{came, instance("b", "UP", 1, 1)}}, second, false)
	s.applyFull(&List{Instances: []Instance{instance("b", "UP", 1, 1)}}, 2*second, false)
	if claims, _, _ := s.applyDelta(&List{Instances: []Instance{came}}, 3*second); len(claims) > 0 {
		t.Errorf("reported %s", claimTexts(claims))
	}
	came.UpdatedAt += second
	if claims, _, _ := s.applyDelta(&List{Instances: []Instance{came}}, 3*second); claimTexts(claims) != "a up" {
		t.Errorf("where it has come again, reported %s", claimTexts(claims))
	}
}

func TestNewerUpIsReportedAtOnce(t *testing.T) {
	s := newInstanceTable(filter{}, 0)
	s.applyFull(&List{Instances: []Instance{instance("a", "DOWN", 1, 5)}}, second, false)
	claims, _ := s.applyFull(&List{Instances: []Instance{instance("a", "UP", 1, 6)}}, second, false)
	if got := claimTexts(claims); got != "a up" {
		t.Errorf("reported %s", got)
	}
	claims, _, older := s.applyDelta(&List{Instances: []Instance{instance("a", "STARTING", 1, 0)}}, second)
	if got := claimTexts(claims); got != "a draining (STARTING)" || older {
		t.Errorf("without a time, reported %s, older %v", got, older)
	}
}

func TestInstanceOfSeveralApplicationsHasItsWorstStatus(t *testing.T) {
	for _, order := range [][]string{{"A", "B"}, {"B", "A"}} {
		s := newInstanceTable(filter{}, 0)
		var l List
		for _, app := range order {
			i := instance("x", "UP", 1, 1)
			i.App, i.Address = app, "10.0.0.1:"+map[string]string{"A": "1", "B": "2"}[app]
			l.Instances = append(l.Instances, i)
		}
		claims, _ := s.applyFull(&l, second, false)
		if claimTexts(claims) != "x up" || claims[0].Address != "10.0.0.1:1" {
			t.Errorf("reported %+v", claims)
		}
		i := l.Instances[0]
		i.EffectiveStatus, i.Status, i.UpdatedAt = "DOWN", "DOWN", 2*second
		claims, _, _ = s.applyDelta(&List{Instances: []Instance{i}}, second)
		if claimTexts(claims) != "x draining (DOWN)" {
			t.Errorf("reported %+v", claims)
		}
		i.Change = Deleted
		claims, _, _ = s.applyDelta(&List{Instances: []Instance{i}}, second)
		if claimTexts(claims) != "x up" {
			t.Errorf("reported %+v", claims)
		}
	}
}

func TestUnusableInstanceStaysUntilItIsDeleted(t *testing.T) {
	s := newInstanceTable(filter{}, 0)
	s.applyFull(&List{Instances: []Instance{instance("a", "UP", 1, 1), instance("b", "UP", 1, 1)}}, second, false)
	odd := instance("a", "UP", 1, 2)
	odd.Address, odd.Unusable = "", true
	claims, unread, _ := s.applyDelta(&List{Instances: []Instance{odd}}, second)
	if len(claims) > 0 || fmt.Sprint(unread) != "[a]" {
		t.Errorf("reported %s, unread %v", claimTexts(claims), unread)
	}
	claims, unread = s.applyFull(&List{Instances: []Instance{odd}}, second, false)
	if len(claims) > 0 || fmt.Sprint(unread) != "[a]" {
		t.Errorf("reported %s, unread %v", claimTexts(claims), unread)
	}
	odd.Change = Deleted
	claims, _, _ = s.applyDelta(&List{Instances: []Instance{odd}}, second)
	if claimTexts(claims) != "a removed (DELETED)" {
		t.Errorf("reported %s", claimTexts(claims))
	}
}

func TestClaimOfInstance(t *testing.T) {
	k := knownInstance{Instance: instance("a", "UP", 20, 10)}
	k.Zone, k.Group, k.StartedAt = "z", 4, 7
	c := k.claim()
	want := decide.Endpoint{ID: "a", Zone: "z", Cell: 4, Weight: 1, StartedAt: 7, Status: decide.Serving}
	if c.Endpoint != want || c.Address != "10.0.0.1:1" || c.LastSeen != 20*second || c.Reason != "UP" {
		t.Errorf("%+v", c)
	}
}
