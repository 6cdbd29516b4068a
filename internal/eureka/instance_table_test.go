package eureka

import (
	"fmt"
	"testing"

	"starlingwinch/decide"
)

// instance returns an instance with this status, renewed and updated at these times in seconds.
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
		// A delta repeats the instance's registration, and holds no later renewals.
		claims, _, _ = s.applyDelta(&List{Instances: []Instance{instance("late", "UP", 819, 1)}}, 2*second)
		if len(claims) > 0 {
			t.Errorf("grace %d: a repeated delta reports %s", grace, claimTexts(claims))
		}
	}
}

func TestOverdueLeaseIsMeasuredAgainstTheSameList(t *testing.T) {
	s := newInstanceTable(filter{}, 1)
	claims, _ := s.applyFull(&List{Instances: []Instance{instance("a", "UP", 5, 1), instance("b", "UP", 90, 1)}}, 1e6*second, false)
	if got := claimTexts(claims); got != "a up, b up" {
		t.Errorf("reported %s", got)
	}
}

func TestOutdatedListRevertsNothingWithinReplicationLag(t *testing.T) {
	s := newInstanceTable(filter{}, 0)
	s.applyFull(&List{Instances: []Instance{instance("a", "UP", 1, 1), instance("b", "UP", 1, 1), instance("c", "UP", 1, 1)}}, second, false)
	deleted := instance("b", "UP", 1, 10)
	deleted.Change = Deleted
	s.applyDelta(&List{Instances: []Instance{instance("a", "OUT_OF_SERVICE", 1, 10), deleted}}, 2*second)
	outdated := &List{Instances: []Instance{instance("a", "UP", 1, 1), instance("b", "UP", 1, 1), instance("c", "UP", 1, 1)}}
	claims, _ := s.applyFull(outdated, 3*second, false)
	if got := claimTexts(claims); got != "a draining (OUT_OF_SERVICE), c up" || !s.revertWithheld {
		t.Errorf("reported %s, revert withheld %v", got, s.revertWithheld)
	}
	claims, _ = s.applyFull(outdated, 3*second+maxReplicationLag, false)
	if got := claimTexts(claims); got != "a up, b up, c up" || s.revertWithheld {
		t.Errorf("after the replication lag: reported %s, revert withheld %v", got, s.revertWithheld)
	}
}

func TestConfirmingListIsNotSupersededByOmissions(t *testing.T) {
	both := &List{Instances: []Instance{instance("a", "UP", 1, 5), instance("b", "UP", 1, 5)}}
	older := &List{Instances: []Instance{instance("a", "UP", 1, 4), instance("b", "UP", 1, 4)}} // from the other server
	deleted := instance("b", "UP", 1, 6)
	deleted.Change = Deleted
	for _, c := range []struct {
		repeat, isDeleted bool
		want              string
	}{{true, false, "a up, b up"}, {false, false, ""}, {true, true, "a up"}} {
		s := newInstanceTable(filter{}, 0)
		s.applyFull(both, second, false)
		if c.isDeleted {
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

func TestDeltaWithOldRegistrationDoesNotRestoreInstance(t *testing.T) {
	s := newInstanceTable(filter{}, 0)
	registered := instance("a", "UP", 1, 5)
	s.applyFull(&List{Instances: []Instance{registered, instance("b", "UP", 1, 1)}}, second, false)
	s.applyFull(&List{Instances: []Instance{instance("b", "UP", 1, 1)}}, 2*second, false)
	if claims, _, _ := s.applyDelta(&List{Instances: []Instance{registered}}, 3*second); len(claims) > 0 {
		t.Errorf("reported %s, want no claims", claimTexts(claims))
	}
	registered.UpdatedAt += second
	if claims, _, _ := s.applyDelta(&List{Instances: []Instance{registered}}, 3*second); claimTexts(claims) != "a up" {
		t.Errorf("after a new registration: reported %s, want a up", claimTexts(claims))
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
		t.Errorf("without an update time: reported %s, older %v", got, older)
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

func TestUnusableInstanceKeepsItsEndpointUntilDeletion(t *testing.T) {
	s := newInstanceTable(filter{}, 0)
	s.applyFull(&List{Instances: []Instance{instance("a", "UP", 1, 1), instance("b", "UP", 1, 1)}}, second, false)
	unusable := instance("a", "UP", 1, 2)
	unusable.Address, unusable.Unusable = "", true
	claims, unreadable, _ := s.applyDelta(&List{Instances: []Instance{unusable}}, second)
	if len(claims) > 0 || fmt.Sprint(unreadable) != "[a]" {
		t.Errorf("delta: reported %s, unreadable %v", claimTexts(claims), unreadable)
	}
	claims, unreadable = s.applyFull(&List{Instances: []Instance{unusable}}, second, false)
	if len(claims) > 0 || fmt.Sprint(unreadable) != "[a]" {
		t.Errorf("full list: reported %s, unreadable %v", claimTexts(claims), unreadable)
	}
	unusable.Change = Deleted
	claims, _, _ = s.applyDelta(&List{Instances: []Instance{unusable}}, second)
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
		t.Errorf("got claim %+v, want endpoint %+v", c, want)
	}
}
