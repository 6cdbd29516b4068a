package eureka

import (
	"fmt"
	"testing"

	"starlingwinch/decide"
)

// instance is one that is up, renewed and changed at these seconds.
func instance(id, word string, renewed, updated Time) Instance {
	return Instance{ID: id, App: "CACHE", Addr: "10.0.0.1:1", Status: word, Word: word, Weight: 1,
		Renewed: renewed * second, Updated: updated * second, Lease: 90 * second}
}

func TestInstanceThatIsNotRenewedDrainsWhereGraceIsSet(t *testing.T) {
	for grace, want := range map[int]string{
		0: "late up, new up, out draining (OUT_OF_SERVICE), soon up",
		2: "late draining (UP, but not renewed for more than 90 s), new up, out draining (OUT_OF_SERVICE), soon up",
	} {
		s := newState(filter{}, grace)
		out := instance("out", "OUT_OF_SERVICE", 100, 1)
		l := &List{Instances: []Instance{instance("late", "UP", 819, 1), instance("soon", "UP", 820, 1), instance("new", "UP", 1000, 1), out}}
		claims, _ := s.replace(l, second, false)
		if got := words(claims); got != want {
			t.Errorf("grace %d: told %s, want %s", grace, got, want)
		}
		// A delta repeats how it came, and says nothing of its renewals.
		claims, _, _ = s.apply(&List{Instances: []Instance{instance("late", "UP", 819, 1)}}, 2*second)
		if len(claims) > 0 {
			t.Errorf("grace %d: a repeated delta tells %s", grace, words(claims))
		}
	}
}

func TestListOfWhichNothingIsRenewedDrainsNothing(t *testing.T) {
	s := newState(filter{}, 1)
	claims, _ := s.replace(&List{Instances: []Instance{instance("a", "UP", 5, 1), instance("b", "UP", 90, 1)}}, 1e6*second, false)
	if got := words(claims); got != "a up, b up" {
		t.Errorf("told %s", got)
	}
}

func TestServerThatIsBehindTakesNoBadNewsBackForAWhile(t *testing.T) {
	s := newState(filter{}, 0)
	s.replace(&List{Instances: []Instance{instance("a", "UP", 1, 1), instance("b", "UP", 1, 1), instance("c", "UP", 1, 1)}}, second, false)
	gone := instance("b", "UP", 1, 10)
	gone.Change = Deleted
	s.apply(&List{Instances: []Instance{instance("a", "OUT_OF_SERVICE", 1, 10), gone}}, 2*second)
	behind := &List{Instances: []Instance{instance("a", "UP", 1, 1), instance("b", "UP", 1, 1), instance("c", "UP", 1, 1)}}
	claims, _ := s.replace(behind, 3*second, false)
	if got := words(claims); got != "a draining (OUT_OF_SERVICE), c up" || !s.held {
		t.Errorf("told %s, held %v", got, s.held)
	}
	claims, _ = s.replace(behind, 3*second+lag, false)
	if got := words(claims); got != "a up, b up, c up" || s.held {
		t.Errorf("told %s, held %v", got, s.held)
	}
}

func TestRepeatIsNotReadByTheListThatItIsToCheck(t *testing.T) {
	both := &List{Instances: []Instance{instance("a", "UP", 1, 5), instance("b", "UP", 1, 5)}}
	older := &List{Instances: []Instance{instance("a", "UP", 1, 4), instance("b", "UP", 1, 4)}} // of the other server
	deleted := instance("b", "UP", 1, 6)
	deleted.Change = Deleted
	for _, c := range []struct {
		repeat, inWords bool
		want            string
	}{{true, false, "a up, b up"}, {false, false, ""}, {true, true, "a up"}} {
		s := newState(filter{}, 0)
		s.replace(both, second, false)
		if c.inWords {
			s.apply(&List{Instances: []Instance{deleted}}, second)
		}
		s.replace(&List{}, 2*second, false)
		claims, _ := s.replace(older, 3*second, c.repeat)
		if got := words(claims); got != c.want {
			t.Errorf("%+v: told %q", c, got)
		}
	}
}

func TestLastNewsOfAnInstanceInADeltaCounts(t *testing.T) {
	s := newState(filter{}, 0)
	s.replace(&List{Instances: []Instance{instance("a", "UP", 1, 1), instance("b", "UP", 1, 1)}}, second, false)
	claims, _, older := s.apply(&List{Instances: []Instance{instance("a", "DOWN", 1, 2), instance("b", "DOWN", 1, 4),
		instance("a", "OUT_OF_SERVICE", 1, 3), instance("b", "UP", 1, 3)}}, second)
	if got := words(claims); got != "a draining (OUT_OF_SERVICE), b draining (DOWN)" || older {
		t.Errorf("told %s, older %v", got, older)
	}
}

func TestDeltaThatStillTellsHowAnInstanceCameDoesNotBringItBack(t *testing.T) {
	s := newState(filter{}, 0)
	came := instance("a", "UP", 1, 5)
	s.replace(&List{Instances: []Instance{came, instance("b", "UP", 1, 1)}}, second, false)
	s.replace(&List{Instances: []Instance{instance("b", "UP", 1, 1)}}, 2*second, false)
	if claims, _, _ := s.apply(&List{Instances: []Instance{came}}, 3*second); len(claims) > 0 {
		t.Errorf("told %s", words(claims))
	}
	came.Updated += second
	if claims, _, _ := s.apply(&List{Instances: []Instance{came}}, 3*second); words(claims) != "a up" {
		t.Errorf("where it has come again, told %s", words(claims))
	}
}

func TestNewerGoodNewsIsTakenAtOnce(t *testing.T) {
	s := newState(filter{}, 0)
	s.replace(&List{Instances: []Instance{instance("a", "DOWN", 1, 5)}}, second, false)
	claims, _ := s.replace(&List{Instances: []Instance{instance("a", "UP", 1, 6)}}, second, false)
	if got := words(claims); got != "a up" {
		t.Errorf("told %s", got)
	}
	claims, _, older := s.apply(&List{Instances: []Instance{instance("a", "STARTING", 1, 0)}}, second)
	if got := words(claims); got != "a draining (STARTING)" || older {
		t.Errorf("without a time, told %s, older %v", got, older)
	}
}

func TestInstanceOfSeveralApplicationsCountsByItsWorstNews(t *testing.T) {
	for _, order := range [][]string{{"A", "B"}, {"B", "A"}} {
		s := newState(filter{}, 0)
		var l List
		for _, app := range order {
			i := instance("x", "UP", 1, 1)
			i.App, i.Addr = app, "10.0.0.1:"+map[string]string{"A": "1", "B": "2"}[app]
			l.Instances = append(l.Instances, i)
		}
		claims, _ := s.replace(&l, second, false)
		if words(claims) != "x up" || claims[0].Address != "10.0.0.1:1" {
			t.Errorf("told %+v", claims)
		}
		i := l.Instances[0]
		i.Word, i.Status, i.Updated = "DOWN", "DOWN", 2*second
		claims, _, _ = s.apply(&List{Instances: []Instance{i}}, second)
		if words(claims) != "x draining (DOWN)" {
			t.Errorf("told %+v", claims)
		}
		i.Change = Deleted
		claims, _, _ = s.apply(&List{Instances: []Instance{i}}, second)
		if words(claims) != "x up" {
			t.Errorf("told %+v", claims)
		}
	}
}

func TestInstanceThatTurnsUnreadStaysUntilItGoes(t *testing.T) {
	s := newState(filter{}, 0)
	s.replace(&List{Instances: []Instance{instance("a", "UP", 1, 1), instance("b", "UP", 1, 1)}}, second, false)
	odd := instance("a", "UP", 1, 2)
	odd.Addr, odd.Unread = "", true
	claims, unread, _ := s.apply(&List{Instances: []Instance{odd}}, second)
	if len(claims) > 0 || fmt.Sprint(unread) != "[a]" {
		t.Errorf("told %s, unread %v", words(claims), unread)
	}
	claims, unread = s.replace(&List{Instances: []Instance{odd}}, second, false)
	if len(claims) > 0 || fmt.Sprint(unread) != "[a]" {
		t.Errorf("told %s, unread %v", words(claims), unread)
	}
	odd.Change = Deleted
	claims, _, _ = s.apply(&List{Instances: []Instance{odd}}, second)
	if words(claims) != "a removed (DELETED)" {
		t.Errorf("told %s", words(claims))
	}
}

func TestClaimHoldsWhatTheRegistryKnows(t *testing.T) {
	k := known{Instance: instance("a", "UP", 20, 10)}
	k.Zone, k.Group, k.Start = "z", 4, 7
	c := k.claim()
	want := decide.Endpoint{ID: "a", Zone: "z", Cell: 4, Weight: 1, StartedAt: 7, Status: decide.Serving}
	if c.Endpoint != want || c.Address != "10.0.0.1:1" || c.LastSeen != 20*second || c.Reason != "UP" {
		t.Errorf("%+v", c)
	}
}
