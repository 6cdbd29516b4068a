package guard

import (
	"testing"

	"starlingwinch/decide"
)

const window = 1_000_000

// newGuard is a guard for three classes, with what it reports.
func newGuard(copies bool) (*Guard, *[]Violation) {
	var told []Violation
	set := &decide.Settings{MaxAttempts: 3, AllowHedging: copies, Classes: []decide.Class{
		{Name: "read", Semantics: decide.Idempotent},
		{Name: "keyed", Semantics: decide.IdempotentByKey, DeduplicationScope: decide.DeduplicatedInZone, IdempotencyWindow: window},
		{Name: "keyed-all", Semantics: decide.IdempotentByKey, DeduplicationScope: decide.DeduplicatedEverywhere, IdempotencyWindow: window},
		{Name: "unsafe", Semantics: decide.NonIdempotent}}}
	return NewGuard(set, func(v Violation) { told = append(told, v) }), &told
}

var here, there = Cache{Name: "c1", Zone: "a"}, Cache{Name: "c2", Zone: "b"}

// TestEachRuleIsDecidedAndItsBreachCounted: what MaySend forbids is prevented, and done all the same it is a violation.
func TestEachRuleIsDecidedAndItsBreachCounted(t *testing.T) {
	ran := func(g *Guard, q *Request) { // an attempt that may have run
		g.WriteStarted(0, q, 0, here, 1, true)
		q.AttemptEnded(0, decide.TimedOut)
	}
	for _, c := range []struct {
		name, class string
		unkeyed     bool
		copies      bool
		before      func(*Guard, *Request)
		now         decide.Time
		to          Cache
		want        Reason
	}{
		{"a first attempt", "unsafe", false, true, func(*Guard, *Request) {}, 1, here, Allowed},
		{"after the answer", "read", false, true, func(g *Guard, q *Request) { g.Answered(1, q) }, 1, here, Answered},
		{"a safe one again", "read", false, true, ran, 1, there, Allowed},
		{"an unsafe one again", "unsafe", false, true, ran, 1, here, EffectMayRepeat},
		{"one of no class again", "nobody's", false, true, ran, 1, here, EffectMayRepeat},
		{"a keyed one without its key", "keyed-all", true, true, ran, 1, here, EffectMayRepeat},
		{"a keyed one in its group", "keyed", false, true, ran, window - 1, here, Allowed},
		{"a keyed one out of its group", "keyed", false, true, ran, 1, there, OutsideDeduplicationScope},
		{"a keyed one of all", "keyed-all", false, true, ran, 1, there, Allowed},
		{"a keyed one past its window", "keyed-all", false, true, ran, window, here, IdempotencyWindowOver},
		{"an unsafe one that never ran", "unsafe", false, true, func(g *Guard, q *Request) {
			g.WriteStarted(0, q, 0, here, 1, true)
			q.AttemptEnded(0, decide.Rejected)
		}, 1, there, Allowed},
		{"an unsafe one not written whole", "unsafe", false, true, func(g *Guard, q *Request) {
			g.WriteStarted(0, q, 0, here, 1, false)
			q.AttemptEnded(0, decide.ConnectFailed)
		}, 1, there, Allowed},
		{"an unsafe one written whole later", "unsafe", false, true, func(g *Guard, q *Request) {
			g.WriteStarted(0, q, 0, here, 1, false)
			q.WriteCompleted(0)
		}, 1, there, EffectMayRepeat},
		{"a second copy", "read", false, false, func(g *Guard, q *Request) { g.WriteStarted(0, q, 0, here, 1, true) }, 1, there, HedgeNotAllowed},
		{"one too many", "read", false, true, func(g *Guard, q *Request) {
			for n := range 3 {
				g.WriteStarted(0, q, n, here, 1, true)
			}
		}, 1, there, TooManyAttempts},
	} {
		t.Run(c.name, func(t *testing.T) {
			g, told := newGuard(c.copies)
			q := g.Open(7, "id", c.class, c.unkeyed, 10*window)
			c.before(g, &q)
			if got := g.MaySend(c.now, &q, c.to, false); got != c.want {
				t.Errorf("decided %v, want %v", got, c.want)
			}
			g.WriteStarted(c.now, &q, 3, c.to, 1, true)
			counts := g.Counts()
			if c.want == Allowed {
				if len(*told) > 0 || counts.Broken() > 0 {
					t.Errorf("violations of what is allowed: %v", *told)
				}
				return
			}
			if len(*told) != 1 || (*told)[0].Reason != c.want || counts.Violations[c.want] != 1 || counts.Prevented[c.want] != 1 {
				t.Errorf("reported %v, counted %+v", *told, counts)
			}
		})
	}
}

func TestDepartedClientsAttemptIsPrevented(t *testing.T) {
	g, _ := newGuard(true)
	q := g.Open(7, "id", "read", false, window)
	if got := g.MaySend(1, &q, here, true); got != ClientGone || g.Counts().Prevented[ClientGone] != 1 {
		t.Errorf("decided %v", got)
	}
}

func TestViolationsThatNoSendIs(t *testing.T) {
	for want, do := range map[Reason]func(*Guard, *Request){
		DeadlineExceeded: func(g *Guard, q *Request) { g.WriteStarted(1, q, 0, here, window, true) },
		Answered: func(g *Guard, q *Request) {
			g.Answered(1, q)
			g.Answered(2, q)
		},
		ClosedUnanswered: func(g *Guard, q *Request) { g.Closed(1, q) },
	} {
		g, told := newGuard(true)
		q := g.Open(7, "id", "read", false, window)
		do(g, &q)
		if len(*told) != 1 || (*told)[0].Reason != want {
			t.Errorf("%v: reported %v", want, *told)
		}
	}
}

func TestRefusalAfterRun(t *testing.T) {
	for class, want := range map[string]Reason{"read": Allowed, "keyed-all": Allowed, "keyed": RejectedAfterRun,
		"unsafe": RejectedAfterRun} {
		g, _ := newGuard(true)
		q := g.Open(7, "id", class, false, window)
		if got := g.MayReject(&q); got != Allowed {
			t.Errorf("%s: %v before any attempt", class, got)
		}
		g.WriteStarted(1, &q, 0, here, 1, true)
		if got := g.MayReject(&q); got != want {
			t.Errorf("%s: %v, want %v", class, got, want)
		}
	}
}

func TestLookBeforeWriting(t *testing.T) {
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
		t.Errorf("past the time to be written: %v", got)
	}
}
