package guard

import (
	"testing"

	"starlingwinch/decide"
)

const window = 1_000_000

// newGuard returns a Guard for four classes, and the violations that it reports.
func newGuard(hedging bool) (*Guard, *[]Violation) {
	var reported []Violation
	set := &decide.Settings{MaxAttempts: 3, AllowHedging: hedging, Classes: []decide.Class{
		{Name: "read", Semantics: decide.Idempotent},
		{Name: "keyed", Semantics: decide.IdempotentByKey, DeduplicationScope: decide.DeduplicatedInZone, IdempotencyWindow: window},
		{Name: "keyed-all", Semantics: decide.IdempotentByKey, DeduplicationScope: decide.DeduplicatedEverywhere, IdempotencyWindow: window},
		{Name: "not-idempotent", Semantics: decide.NonIdempotent}}}
	return NewGuard(set, func(v Violation) { reported = append(reported, v) }), &reported
}

var here, there = Cache{Name: "c1", Zone: "a"}, Cache{Name: "c2", Zone: "b"}

// TestMaySendAppliesEachRule checks that what MaySend does not allow is counted as prevented, and that it is a violation if it
// is done all the same.
func TestMaySendAppliesEachRule(t *testing.T) {
	ran := func(g *Guard, q *Request) { // makes an attempt that may have run
		g.WriteStarted(0, q, 0, here, 1, true)
		q.AttemptEnded(0, decide.TimedOut)
	}
	for _, c := range []struct {
		name, class string
		keyMissing  bool
		hedging     bool
		before      func(*Guard, *Request)
		now         decide.Time
		to          Cache
		want        Reason
	}{
		{"a first attempt", "not-idempotent", false, true, func(*Guard, *Request) {}, 1, here, Allowed},
		{"after the answer", "read", false, true, func(g *Guard, q *Request) { g.Answered(1, q) }, 1, here, Answered},
		{"a repeat, idempotent", "read", false, true, ran, 1, there, Allowed},
		{"a repeat, not idempotent", "not-idempotent", false, true, ran, 1, here, NotIdempotent},
		{"a repeat of an unknown class", "unknown", false, true, ran, 1, here, NotIdempotent},
		{"a repeat, by key, without the key", "keyed-all", true, true, ran, 1, here, NotIdempotent},
		{"a repeat, by key, in its scope", "keyed", false, true, ran, window - 1, here, Allowed},
		{"a repeat, by key, outside its scope", "keyed", false, true, ran, 1, there, OutsideDeduplicationScope},
		{"a repeat, by key, everywhere", "keyed-all", false, true, ran, 1, there, Allowed},
		{"a repeat, by key, after its window", "keyed-all", false, true, ran, window, here, IdempotencyWindowOver},
		{"not idempotent, after one that never ran", "not-idempotent", false, true, func(g *Guard, q *Request) {
			g.WriteStarted(0, q, 0, here, 1, true)
			q.AttemptEnded(0, decide.Rejected)
		}, 1, there, Allowed},
		{"not idempotent, after one not written whole", "not-idempotent", false, true, func(g *Guard, q *Request) {
			g.WriteStarted(0, q, 0, here, 1, false)
			q.AttemptEnded(0, decide.ConnectFailed)
		}, 1, there, Allowed},
		{"not idempotent, after one written whole later", "not-idempotent", false, true, func(g *Guard, q *Request) {
			g.WriteStarted(0, q, 0, here, 1, false)
			q.WriteCompleted(0)
		}, 1, there, NotIdempotent},
		{"a hedged request that is not allowed", "read", false, false, func(g *Guard, q *Request) {
			g.WriteStarted(0, q, 0, here, 1, true)
		}, 1, there, HedgeNotAllowed},
		{"one attempt too many", "read", false, true, func(g *Guard, q *Request) {
			for n := range 3 {
				g.WriteStarted(0, q, n, here, 1, true)
			}
		}, 1, there, TooManyAttempts},
	} {
		t.Run(c.name, func(t *testing.T) {
			g, reported := newGuard(c.hedging)
			q := g.Open(7, "id", c.class, c.keyMissing, 10*window)
			c.before(g, &q)
			if got := g.MaySend(c.now, &q, c.to, false); got != c.want {
				t.Errorf("decided %v, want %v", got, c.want)
			}
			g.WriteStarted(c.now, &q, 3, c.to, 1, true)
			counts := g.Counts()
			if c.want == Allowed {
				if len(*reported) > 0 || counts.Broken() > 0 {
					t.Errorf("violations of what is allowed: %v", *reported)
				}
				return
			}
			if len(*reported) != 1 || (*reported)[0].Reason != c.want || counts.Violations[c.want] != 1 || counts.Prevented[c.want] != 1 {
				t.Errorf("reported %v, counted %+v", *reported, counts)
			}
		})
	}
}

func TestMaySendPreventsAttemptForGoneClient(t *testing.T) {
	g, _ := newGuard(true)
	q := g.Open(7, "id", "read", false, window)
	if got := g.MaySend(1, &q, here, true); got != ClientGone || g.Counts().Prevented[ClientGone] != 1 {
		t.Errorf("decided %v", got)
	}
}

func TestViolationsOtherThanSends(t *testing.T) {
	for want, do := range map[Reason]func(*Guard, *Request){
		WaitBeyondDeadline: func(g *Guard, q *Request) { g.WriteStarted(1, q, 0, here, window, true) },
		Answered: func(g *Guard, q *Request) {
			g.Answered(1, q)
			g.Answered(2, q)
		},
		ClosedUnanswered: func(g *Guard, q *Request) { g.Closed(1, q) },
	} {
		t.Run(want.String(), func(t *testing.T) {
			g, reported := newGuard(true)
			q := g.Open(7, "id", "read", false, window)
			do(g, &q)
			if len(*reported) != 1 || (*reported)[0].Reason != want {
				t.Errorf("reported %v", *reported)
			}
		})
	}
}

func TestMayRejectAfterRun(t *testing.T) {
	for class, want := range map[string]Reason{"read": Allowed, "keyed-all": Allowed, "keyed": RejectedAfterRun,
		"not-idempotent": RejectedAfterRun} {
		t.Run(class, func(t *testing.T) {
			g, _ := newGuard(true)
			q := g.Open(7, "id", class, false, window)
			if got := g.MayReject(&q); got != Allowed {
				t.Errorf("%v before any attempt", got)
			}
			g.WriteStarted(1, &q, 0, here, 1, true)
			if got := g.MayReject(&q); got != want {
				t.Errorf("%v after an attempt that may have run, want %v", got, want)
			}
		})
	}
}

func TestMayWriteChecksCacheAndDeadlines(t *testing.T) {
	for want, l := range map[Reason]WriteCheck{
		Allowed:        {Now: 1, Deadline: 2, CacheServing: true},
		CacheDraining:  {Now: 1, Deadline: 2},
		DeadlinePassed: {Now: 2, Deadline: 2, CacheServing: true},
	} {
		if got := l.MayWrite(); got != want {
			t.Errorf("%+v: %v, want %v", l, got, want)
		}
	}
	if got := (WriteCheck{Now: 1, Deadline: 9, WriteDeadline: 1, CacheServing: true}).MayWrite(); got != DeadlinePassed {
		t.Errorf("after the write deadline: %v", got)
	}
}
