package guard

import (
	"testing"

	"starlingwinch/decide"
)

const idempotencyWindow = 1_000_000 // microseconds

// newGuard returns a Guard for four classes, and a pointer to the violations that it has reported.
func newGuard(hedging bool) (*Guard, *[]Violation) {
	var reported []Violation
	settings := &decide.Settings{MaxAttempts: 3, AllowHedging: hedging, Classes: []decide.Class{
		{Name: "read", Semantics: decide.Idempotent},
		{Name: "keyed", Semantics: decide.IdempotentByKey, DeduplicationScope: decide.DeduplicatedInZone, IdempotencyWindow: idempotencyWindow},
		{Name: "keyed-all", Semantics: decide.IdempotentByKey, DeduplicationScope: decide.DeduplicatedEverywhere, IdempotencyWindow: idempotencyWindow},
		{Name: "not-idempotent", Semantics: decide.NonIdempotent}}}
	return NewGuard(settings, func(violation Violation) { reported = append(reported, violation) }), &reported
}

var cacheInZoneA, cacheInZoneB = Cache{Name: "c1", Zone: "a"}, Cache{Name: "c2", Zone: "b"}

// TestMaySendAppliesEachRule checks that MaySend counts a forbidden attempt as prevented, and that the Guard reports a violation if
// the loop writes the attempt nevertheless.
func TestMaySendAppliesEachRule(t *testing.T) {
	runAttempt := func(guard *Guard, request *Request) { // writes an attempt that may have run
		guard.WriteStarted(0, request, 0, cacheInZoneA, 1, true)
		request.AttemptEnded(0, decide.TimedOut)
	}
	for _, testCase := range []struct {
		name, class string
		keyMissing  bool
		hedging     bool
		before      func(*Guard, *Request)
		now         decide.Time
		to          Cache
		want        Reason
	}{
		{"a first attempt", "not-idempotent", false, true, func(*Guard, *Request) {}, 1, cacheInZoneA, Allowed},
		{"after the answer", "read", false, true, func(guard *Guard, request *Request) { guard.Answered(1, request) }, 1, cacheInZoneA, Answered},
		{"a repeat, idempotent", "read", false, true, runAttempt, 1, cacheInZoneB, Allowed},
		{"a repeat, not idempotent", "not-idempotent", false, true, runAttempt, 1, cacheInZoneA, NotIdempotent},
		{"a repeat of an unknown class", "unknown", false, true, runAttempt, 1, cacheInZoneA, NotIdempotent},
		{"a repeat, by key, without the key", "keyed-all", true, true, runAttempt, 1, cacheInZoneA, NotIdempotent},
		{"a repeat, by key, in the deduplication scope", "keyed", false, true, runAttempt, idempotencyWindow - 1, cacheInZoneA, Allowed},
		{"a repeat, by key, outside the deduplication scope", "keyed", false, true, runAttempt, 1, cacheInZoneB, OutsideDeduplicationScope},
		{"a repeat, by key, everywhere", "keyed-all", false, true, runAttempt, 1, cacheInZoneB, Allowed},
		{"a repeat, by key, after the idempotency window", "keyed-all", false, true, runAttempt, idempotencyWindow, cacheInZoneA, IdempotencyWindowOver},
		{"not idempotent, after an attempt that never ran", "not-idempotent", false, true, func(guard *Guard, request *Request) {
			guard.WriteStarted(0, request, 0, cacheInZoneA, 1, true)
			request.AttemptEnded(0, decide.Rejected)
		}, 1, cacheInZoneB, Allowed},
		{"not idempotent, after an attempt written in part", "not-idempotent", false, true, func(guard *Guard, request *Request) {
			guard.WriteStarted(0, request, 0, cacheInZoneA, 1, false)
			request.AttemptEnded(0, decide.ConnectFailed)
		}, 1, cacheInZoneB, Allowed},
		{"not idempotent, after an attempt completed later", "not-idempotent", false, true, func(guard *Guard, request *Request) {
			guard.WriteStarted(0, request, 0, cacheInZoneA, 1, false)
			request.WriteCompleted(0)
		}, 1, cacheInZoneB, NotIdempotent},
		{"a hedged request with hedging disabled", "read", false, false, func(guard *Guard, request *Request) {
			guard.WriteStarted(0, request, 0, cacheInZoneA, 1, true)
		}, 1, cacheInZoneB, HedgeNotAllowed},
		{"one attempt too many", "read", false, true, func(guard *Guard, request *Request) {
			for n := range 3 {
				guard.WriteStarted(0, request, n, cacheInZoneA, 1, true)
			}
		}, 1, cacheInZoneB, TooManyAttempts},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			guard, reported := newGuard(testCase.hedging)
			request := guard.NewRequest(7, "id", testCase.class, testCase.keyMissing, 10*idempotencyWindow)
			testCase.before(guard, &request)
			if got := guard.MaySend(testCase.now, &request, testCase.to, false); got != testCase.want {
				t.Errorf("MaySend returned %v, want %v", got, testCase.want)
			}
			guard.WriteStarted(testCase.now, &request, 3, testCase.to, 1, true)
			counts := guard.Counts()
			if testCase.want == Allowed {
				if len(*reported) > 0 || counts.TotalViolations() > 0 {
					t.Errorf("reported %v for an allowed attempt, want no violation", *reported)
				}
				return
			}
			if len(*reported) != 1 || (*reported)[0].Reason != testCase.want || counts.Violations[testCase.want] != 1 || counts.Prevented[testCase.want] != 1 {
				t.Errorf("reported %v, counted %+v, want one prevented attempt and one violation, %v", *reported, counts, testCase.want)
			}
		})
	}
}

// TestRestOfAttemptIsNotWrittenPastWindow guards against an attempt, held up after its first bytes, being finished when the caches
// have forgotten another attempt that ran in the meantime.
func TestRestOfAttemptIsNotWrittenPastWindow(t *testing.T) {
	const second = idempotencyWindow / 2 // when the second attempt is written
	for _, testCase := range []struct {
		class string
		cell  Cache
		now   decide.Time
		want  Reason
	}{
		{"keyed-all", cacheInZoneB, second + idempotencyWindow - decide.MaxSchedulingDelay - 1, Allowed},
		{"keyed-all", cacheInZoneB, second + idempotencyWindow - decide.MaxSchedulingDelay, IdempotencyWindowOver},
		{"keyed", cacheInZoneB, second, OutsideDeduplicationScope},
		{"read", cacheInZoneB, 9 * idempotencyWindow, Allowed},
		{"not-idempotent", cacheInZoneB, second, NotIdempotent},
	} {
		guard, _ := newGuard(true)
		request := guard.NewRequest(7, "id", testCase.class, false, 10*idempotencyWindow)
		guard.WriteStarted(0, &request, 0, cacheInZoneA, 1, false)
		if got := guard.MayFinish(0, &request, 0); got != Allowed {
			t.Errorf("%s: got %v for the only attempt, want %v", testCase.class, got, Allowed)
		}
		guard.WriteStarted(second, &request, 1, testCase.cell, 1, true)
		if got := guard.MayFinish(testCase.now, &request, 0); got != testCase.want {
			t.Errorf("%s: got %v at %d, want %v", testCase.class, got, testCase.now, testCase.want)
		}
		guard.Answered(testCase.now, &request)
		if got := guard.MayFinish(testCase.now, &request, 0); got != Answered {
			t.Errorf("%s: got %v after the answer, want %v", testCase.class, got, Answered)
		}
	}
}

func TestMaySendPreventsAttemptForGoneClient(t *testing.T) {
	guard, _ := newGuard(true)
	request := guard.NewRequest(7, "id", "read", false, idempotencyWindow)
	if got := guard.MaySend(1, &request, cacheInZoneA, true); got != ClientGone || guard.Counts().Prevented[ClientGone] != 1 {
		t.Errorf("MaySend returned %v, counted %+v, want %v counted once", got, guard.Counts(), ClientGone)
	}
}

func TestViolationsOtherThanSends(t *testing.T) {
	for want, violate := range map[Reason]func(*Guard, *Request){
		WaitBeyondDeadline: func(guard *Guard, request *Request) {
			guard.WriteStarted(1, request, 0, cacheInZoneA, idempotencyWindow, true)
		},
		Answered: func(guard *Guard, request *Request) {
			guard.Answered(1, request)
			guard.Answered(2, request)
		},
		ClosedUnanswered: func(guard *Guard, request *Request) { guard.ConnectionClosed(1, request) },
	} {
		t.Run(want.String(), func(t *testing.T) {
			guard, reported := newGuard(true)
			request := guard.NewRequest(7, "id", "read", false, idempotencyWindow)
			violate(guard, &request)
			if len(*reported) != 1 || (*reported)[0].Reason != want {
				t.Errorf("reported %v, want one violation, %v", *reported, want)
			}
		})
	}
}

func TestMayRejectAfterRun(t *testing.T) {
	for class, want := range map[string]Reason{"read": Allowed, "keyed-all": Allowed, "keyed": RejectedAfterRun,
		"not-idempotent": RejectedAfterRun} {
		t.Run(class, func(t *testing.T) {
			guard, _ := newGuard(true)
			request := guard.NewRequest(7, "id", class, false, idempotencyWindow)
			if got := guard.MayReject(&request); got != Allowed {
				t.Errorf("MayReject returned %v before any attempt, want %v", got, Allowed)
			}
			guard.WriteStarted(1, &request, 0, cacheInZoneA, 1, true)
			if got := guard.MayReject(&request); got != want {
				t.Errorf("MayReject returned %v after an attempt that may have run, want %v", got, want)
			}
		})
	}
}

func TestMayWriteChecksCacheAndDeadlines(t *testing.T) {
	for want, check := range map[Reason]WriteCheck{
		Allowed:        {Now: 1, Deadline: 2, CacheServing: true},
		CacheDraining:  {Now: 1, Deadline: 2},
		DeadlinePassed: {Now: 2, Deadline: 2, CacheServing: true},
	} {
		if got := check.MayWrite(); got != want {
			t.Errorf("MayWrite of %+v returned %v, want %v", check, got, want)
		}
	}
	if got := (WriteCheck{Now: 1, Deadline: 9, WriteDeadline: 1, CacheServing: true}).MayWrite(); got != DeadlinePassed {
		t.Errorf("MayWrite at the write deadline returned %v, want %v", got, DeadlinePassed)
	}
}
