package endpoints

import (
	"testing"
)

func lossRig(t *testing.T) *rig {
	t.Helper()
	r := newRig(t, eureka)
	r.full("eureka", names(1, 10)...)
	return r
}

// TestEmptyAnswerIsAskedForAgainAndDenied: a server of the registry has come back with nothing.
func TestEmptyAnswerIsAskedForAgainAndDenied(t *testing.T) {
	r := lossRig(t)
	r.full("eureka")
	r.wantAll(names(1, 10), "up")
	if r.confirms() != 1 || !r.rowOf("c1").Claims[0].Unconfirmed || r.Sources(r.at)[0].Unconfirmed != 10 {
		t.Errorf("%+v, %+v", r.actions, r.rowOf("c1"))
	}
	r.after(100_000).repeat("eureka", names(1, 10)...)
	r.after(10*second).wantAll(names(1, 10), "up")
	if s := r.Sources(r.at)[0]; s.Unconfirmed != 0 || r.rowOf("c1").Flaps != 0 {
		t.Errorf("%+v", s)
	}
}

func TestLossThatIsConfirmedIsObeyedAtOnce(t *testing.T) {
	r := lossRig(t)
	r.full("eureka", names(1, 3)...)
	r.after(100_000).repeat("eureka", names(1, 3)...)
	r.wantAll(names(4, 10), "gone")
	r.wantAll(names(1, 3), "up")
	if r.confirms() != 0 {
		t.Errorf("%+v", r.actions)
	}
}

func TestRepeatThatNamesSomeTakesAwayTheOthersOnly(t *testing.T) {
	r := lossRig(t)
	r.full("eureka")
	r.repeat("eureka", names(1, 8)...)
	r.wantAll(names(1, 8), "up")
	r.wantAll(names(9, 10), "gone")
}

// TestDrainInSoManyWordsIsNeverHeldBack, also in a list that loses most.
func TestDrainInSoManyWordsIsNeverHeldBack(t *testing.T) {
	r := lossRig(t)
	r.full("eureka", "c1-", "c2x")
	r.want("c1", "drains")
	r.want("c2", "gone")
	r.wantAll(names(3, 10), "up")
	r.changes("eureka", "c3x", "c4-")
	r.want("c3", "gone")
	r.want("c4", "drains")
	drains := []string{"c5-", "c6-", "c7-", "c8-", "c9-", "c10-"}
	r.full("eureka", drains...)
	r.wantAll(names(5, 10), "drains")
}

func TestHalfOfTheCachesIsNotMost(t *testing.T) {
	r := lossRig(t)
	r.full("eureka", names(1, 5)...)
	r.wantAll(names(6, 10), "gone")
	r.full("eureka", names(1, 2)...) // three of five
	r.wantAll(names(3, 5), "up")
	if r.confirms() != 1 {
		t.Errorf("%+v", r.actions)
	}
}

func TestSmallFleetIsNotChecked(t *testing.T) {
	r := newRig(t, eureka)
	r.full("eureka", names(1, 3)...)
	r.full("eureka")
	r.wantAll(names(1, 3), "gone")
}

func TestSourceThatIsNotCheckedIsObeyedAtOnce(t *testing.T) {
	r := newRig(t, platform)
	r.full("platform", names(1, 10)...)
	r.full("platform")
	r.wantAll(names(1, 10), "gone")
}

// TestLossIsMeasuredAgainstTheMergedListToo: another source has drained all but three caches, and these go.
func TestLossIsMeasuredAgainstTheMergedListToo(t *testing.T) {
	r := newRig(t, platform, eureka)
	r.full("eureka", names(1, 20)...)
	var drained []string
	for _, id := range names(6, 20) {
		drained = append(drained, id+"-")
	}
	r.changes("platform", drained...)
	r.full("eureka", names(4, 20)...) // 3 of its 20, and 3 of the 5 that take work
	r.wantAll(names(1, 5), "up")
	if r.confirms() != 1 {
		t.Errorf("%+v", r.actions)
	}
}

// TestSilenceAfterALossIsObeyedWithinTheGrace: the operators' rule on drains counts from the first list.
func TestSilenceAfterALossIsObeyedWithinTheGrace(t *testing.T) {
	r := lossRig(t)
	r.full("eureka", "c1")
	r.after(DefaultMassRemoval().ConfirmWithin-1).wantAll(names(2, 10), "up")
	r.after(1).wantAll(names(2, 10), "gone")
	r.want("c1", "up")
}

func TestSourceThatIsLostConfirmsNothing(t *testing.T) {
	r := lossRig(t)
	r.full("eureka")
	r.after(100_000).lost("eureka")
	r.after(60*second).wantAll(names(1, 10), "up")
	if r.changes("eureka"); r.confirms() != 1 {
		t.Errorf("it answers again and is not asked: %+v", r.actions)
	}
	r.lost("eureka")
	r.full("eureka", names(1, 4)...) // the second list that leaves them out, a minute after the first
	r.wantAll(names(5, 10), "gone")
	r.wantAll(names(1, 4), "up")
}

// TestNextListConfirmsOnlyOnceTheGraceIsOver. The danger: the same server, with the same fault, is polled twice
// in a moment.
func TestNextListConfirmsOnlyOnceTheGraceIsOver(t *testing.T) {
	r := lossRig(t)
	r.full("eureka")
	r.after(100_000).full("eureka")
	r.wantAll(names(1, 10), "up")
	if r.confirms() != 0 {
		t.Errorf("it is asked twice: %+v", r.actions)
	}
	r.lost("eureka")
	r.after(100_000).full("eureka")
	r.wantAll(names(1, 10), "up")
	r.lost("eureka")
	r.after(second).full("eureka")
	r.wantAll(names(1, 10), "gone")
}

// TestServersThatDifferTakeNothingAwayBetweenThem: one knows the first half, the other one the second half.
func TestServersThatDifferTakeNothingAwayBetweenThem(t *testing.T) {
	r := lossRig(t)
	asked := 0
	r.full("eureka", names(1, 4)...)
	asked += r.confirms()
	for range 20 {
		r.repeat("eureka", names(5, 10)...)
		asked += r.confirms()
		r.wantAll(names(1, 10), "up")
		r.after(DefaultMassRemoval().ConfirmWithin / 4)
		r.repeat("eureka", names(1, 4)...)
		asked += r.confirms()
		r.wantAll(names(1, 10), "up")
		r.after(DefaultMassRemoval().ConfirmWithin / 4)
	}
	if asked > 21 {
		t.Errorf("asked %d times in %d ms", asked, r.at/1000)
	}
	r.repeat("eureka", names(5, 10)...)
	r.repeat("eureka", names(5, 10)...) // two in a row agree
	r.wantAll(names(1, 4), "gone")
	r.wantAll(names(5, 10), "up")
}

// TestNothingMoreIsTakenAwayWhileAnAnswerIsInDoubt.
func TestNothingMoreIsTakenAwayWhileAnAnswerIsInDoubt(t *testing.T) {
	r := lossRig(t)
	r.full("eureka", names(1, 4)...)
	r.after(100_000).full("eureka", names(1, 2)...)
	r.wantAll(names(1, 10), "up")
	r.after(100_000).repeat("eureka", names(1, 2)...)
	r.wantAll(names(3, 10), "gone")
}

// TestAddressThatIsHandedOnProvesADeparture, also in a list that loses most.
func TestAddressThatIsHandedOnProvesADeparture(t *testing.T) {
	r := lossRig(t)
	next := claims("c1", "c11")
	next[1].Address = "10.0.0.1:2"
	r.tell(&SourceUpdate{Source: "eureka", Full: true, Claims: next})
	r.want("c2", "gone")
	r.want("c11", "up")
	r.wantAll(names(3, 10), "up")
}

// TestEveryCacheReplacedAtOnceIsALossToo: the new ones are taken at once.
func TestEveryCacheReplacedAtOnceIsALossToo(t *testing.T) {
	r := lossRig(t)
	r.full("eureka", names(11, 20)...)
	r.wantAll(names(1, 20), "up")
	r.repeat("eureka", names(11, 20)...)
	r.wantAll(names(1, 10), "gone")
	r.wantAll(names(11, 20), "up")
}

// TestEntryThatCannotBeReadEndsTheDoubt: the list names the cache, so it has not gone.
func TestEntryThatCannotBeReadEndsTheDoubt(t *testing.T) {
	r := lossRig(t)
	r.full("eureka", "c2")
	r.tell(&SourceUpdate{Source: "eureka", Full: true, Repeat: true, Claims: claims("c2"), Unreadable: []string{"c1"}})
	r.after(10*second).want("c1", "up")
	r.wantAll(names(3, 10), "gone")
	if s := r.Sources(r.at)[0]; s.Unconfirmed != 0 {
		t.Errorf("%+v", s)
	}
}

// TestCacheWhoseDepartureIsInDoubtIsDrainedByAnotherSource.
func TestCacheWhoseDepartureIsInDoubtIsDrainedByAnotherSource(t *testing.T) {
	r := newRig(t, eureka, platform)
	r.full("eureka", names(1, 10)...)
	r.full("eureka")
	r.changes("platform", "c1-")
	r.want("c1", "drains")
	r.wantAll(names(2, 10), "up")
}
