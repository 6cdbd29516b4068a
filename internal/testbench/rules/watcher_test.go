package rules

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

func TestCountsSumUpClasses(t *testing.T) {
	s := newHarness(testSettings())
	for i, late := range []Time{100 * ms, 600 * ms} {
		id := string(rune('a' + i))
		s.send(0, id, "read")
		s.begin(10*ms, "a", id, "read")
		s.serve(20*ms, "a", id, "read")
		s.Answered(late, id, Served, "value of "+id)
	}
	s.send(600*ms, "c", "read")
	s.send(600*ms, "d", "once")
	s.Answered(700*ms, "d", Refused, "")
	s.Close(700 * ms)
	c := s.Counts()
	if c.Asked != 4 || c.Served != 2 || c.InTime != 1 || c.Refused != 1 || c.Unsettled != 1 || c.Attempts != 2 {
		t.Errorf("%+v", c)
	}
	if want := (2 + 2*0.5) / (3*2 + 5); c.EarnedFraction() != want {
		t.Errorf("got earned fraction %v, want %v", c.EarnedFraction(), want)
	}
	var names []string
	for _, k := range c.Classes {
		names = append(names, k.Class)
	}
	if !slices.IsSorted(names) || len(names) != 5 {
		t.Errorf("classes %v", names)
	}
}

func TestCountsOverloadsOfWarmCacheBySpell(t *testing.T) {
	s := newHarness(testSettings())
	s.CacheUp(0, "a", 1e6, 1, 0)
	for _, at := range []Time{0, 100 * ms, 10_000 * ms} {
		s.Offered(at, "a", "", 9001*ms)
		s.Offered(at+50*ms, "a", "", 0)
	}
	s.Offered(20_000*ms, "a", "", 1)
	if n := s.Counts().Overloads; n != 1 {
		t.Errorf("got %d overloads before the load fell, want 1", n)
	}
	s.Offered(30_000*ms, "a", "", 9001*ms)
	if n := s.Counts().Overloads; n != 2 || len(s.got) > 0 {
		t.Errorf("got %d overloads and violations %v, want 2 and none", n, s.got)
	}
}

func TestUndroppedRepeatIsNoViolation(t *testing.T) {
	s := newHarness(testSettings())
	s.send(0, "q", "put")
	s.begin(10*ms, "a", "q", "put")
	s.ran(20*ms, "a", "q", "put", false)
	s.Ended(20*ms, "a", "q")
	s.begin(30*ms, "b", "q", "put")
	s.ran(40*ms, "b", "q", "put", false)
	s.Answered(50*ms, "q", Failed, "")
	if c := s.Counts(); c.Undropped != 1 || len(s.got) != 0 {
		t.Errorf("got %d undropped repeats and violations %v, want 1 and none", c.Undropped, s.got)
	}
}

func TestViolationString(t *testing.T) {
	v := Violation{Rule: WrongValue, At: 12_345_678, Request: "q", Router: "r", Text: "no cache has served it"}
	if got, want := v.String(), "12.345678 s: wrong value, request q, router r: no cache has served it"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestAttemptsOfRequestAreBounded(t *testing.T) {
	set := testSettings()
	set.MaxAttempts = 0
	s := newHarness(set)
	s.send(0, "q", "read")
	for i := range Time(maxAttemptsPerRequest + 2) {
		s.begin(i, "a", "q", "read")
		s.Replied(i, "a", "q", Refused, "")
	}
	held := len(s.requests["q"].attempts)
	if !slices.Equal(s.rules(), []Rule{TooManyAttempts, TooManyAttempts}) || held != maxAttemptsPerRequest {
		t.Errorf("got %d recorded attempts and violations %v", held, s.got)
	}
}

func TestHistoryOfRequestWithViolation(t *testing.T) {
	s := newHarness(testSettings())
	s.send(0, "q", "read")
	s.begin(10*ms, "a", "q", "read")
	s.Replied(20*ms, "a", "q", Failed, "")
	s.Close(90_000 * ms)
	want := []string{
		"    0.000 ms  read of key asked of router r, deadline 1200.000 ms",
		"   10.000 ms  began at cache a, sent by router r at 5.000 ms",
		"   20.000 ms  cache a replied: failed",
		" 1200.000 ms  BROKEN: lost",
	}
	if got := s.History("q"); !slices.Equal(got, want) {
		t.Errorf("got\n%s", strings.Join(got, "\n"))
	}
	if got := s.History("p"); got != nil {
		t.Errorf("got history %v of an unknown request, want none", got)
	}
}

// A late answer on a reused connection is the most likely cause of a wrong value, so the report names the request that the value
// was made for.
func TestWrongValueNamesRequestItWasMadeFor(t *testing.T) {
	s := newHarness(testSettings())
	owners := []string{"first"}
	for i := range 50 {
		owners = append(owners, fmt.Sprint("later", i))
	}
	for _, id := range append(owners, "q") {
		s.send(0, id, "read")
		s.begin(10*ms, "a", id, "read")
	}
	s.Ended(20*ms, "a", "first")
	for _, id := range owners {
		s.Replied(30*ms, "a", id, Served, "one value")
	}
	s.Answered(40*ms, "q", Served, "one value")
	if len(s.got) != 1 || s.got[0].Text != "the value was made for request first" {
		t.Errorf("%v", s.got)
	}
}

func TestRequestsLostAtOneInstantAreReportedInOrder(t *testing.T) {
	s := newHarness(testSettings())
	var want, got []string
	for i := range 100 {
		want = append(want, fmt.Sprint(i))
		s.send(0, want[i], "read")
	}
	s.Close(90_000 * ms)
	for _, v := range s.got {
		got = append(got, v.Request)
	}
	if !slices.Equal(got, want) {
		t.Errorf("%v", got)
	}
}

func TestBehindMovesDeadline(t *testing.T) {
	for _, answer := range []Time{1249 * ms, 2049 * ms, 2051 * ms} {
		s := newHarness(testSettings())
		s.send(0, "q", "read")
		s.Behind(1200*ms, "q", 2000*ms)
		s.Behind(1200*ms, "q", 1000*ms) // an earlier instant changes nothing
		s.begin(10*ms, "a", "q", "read")
		s.Replied(20*ms, "a", "q", Served, "v")
		s.Answered(answer, "q", Served, "v")
		s.Tick(9000 * ms)
		late := answer > 2050*ms
		if lost := s.Counts().Lost == 1; lost != late || len(s.got) > 0 != late {
			t.Errorf("answered after %s: %v", span(answer), s.got)
		}
	}
}
