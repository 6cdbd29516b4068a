package endpoints

import (
	"testing"
)

// massRemovalRig has ten serving endpoints of a source that must confirm a mass removal.
func massRemovalRig(t *testing.T) *rig {
	t.Helper()
	r := newRig(t, eureka)
	r.full("eureka", names(1, 10)...)
	return r
}

// TestEmptyListIsConfirmedAndDenied: a server of the registry has restarted with an empty list.
func TestEmptyListIsConfirmedAndDenied(t *testing.T) {
	r := massRemovalRig(t)
	r.full("eureka")
	r.wantAll(names(1, 10), "serving")
	if r.confirms() != 1 || !r.rowOf("c1").Claims[0].Unconfirmed || r.Sources(r.at)[0].Unconfirmed != 10 {
		t.Errorf("%+v, %+v", r.actions, r.rowOf("c1"))
	}
	r.after(100_000).repeat("eureka", names(1, 10)...)
	r.after(10*second).wantAll(names(1, 10), "serving")
	if s := r.Sources(r.at)[0]; s.Unconfirmed != 0 || r.rowOf("c1").Flaps != 0 {
		t.Errorf("%+v", s)
	}
}

func TestConfirmedMassRemovalIsPublishedAtOnce(t *testing.T) {
	r := massRemovalRig(t)
	r.full("eureka", names(1, 3)...)
	r.after(100_000).repeat("eureka", names(1, 3)...)
	r.wantAll(names(4, 10), "removed")
	r.wantAll(names(1, 3), "serving")
	if r.confirms() != 0 {
		t.Errorf("%+v", r.actions)
	}
}

func TestConfirmationRemovesOnlyWhatItOmits(t *testing.T) {
	r := massRemovalRig(t)
	r.full("eureka")
	r.repeat("eureka", names(1, 8)...)
	r.wantAll(names(1, 8), "serving")
	r.wantAll(names(9, 10), "removed")
}

// TestExplicitDrainAndRemovalNeedNoConfirmation, also in a list that omits most endpoints.
func TestExplicitDrainAndRemovalNeedNoConfirmation(t *testing.T) {
	r := massRemovalRig(t)
	r.full("eureka", "c1-", "c2x")
	r.want("c1", "draining")
	r.want("c2", "removed")
	r.wantAll(names(3, 10), "serving")
	r.changes("eureka", "c3x", "c4-")
	r.want("c3", "removed")
	r.want("c4", "draining")
	drains := []string{"c5-", "c6-", "c7-", "c8-", "c9-", "c10-"}
	r.full("eureka", drains...)
	r.wantAll(names(5, 10), "draining")
}

func TestRemovalOfHalfNeedsNoConfirmation(t *testing.T) {
	r := massRemovalRig(t)
	r.full("eureka", names(1, 5)...)
	r.wantAll(names(6, 10), "removed")
	r.full("eureka", names(1, 2)...) // three of five
	r.wantAll(names(3, 5), "serving")
	if r.confirms() != 1 {
		t.Errorf("%+v", r.actions)
	}
}

func TestMassRemovalIsNotCheckedBelowMinEndpoints(t *testing.T) {
	r := newRig(t, eureka)
	r.full("eureka", names(1, 3)...)
	r.full("eureka")
	r.wantAll(names(1, 3), "removed")
}

func TestSourceWithoutConfirmationIsBelievedAtOnce(t *testing.T) {
	r := newRig(t, platform)
	r.full("platform", names(1, 10)...)
	r.full("platform")
	r.wantAll(names(1, 10), "removed")
}

// TestMassRemovalIsMeasuredAgainstTheMergedListToo: another source has drained all but five endpoints, and three of these are
// omitted.
func TestMassRemovalIsMeasuredAgainstTheMergedListToo(t *testing.T) {
	r := newRig(t, platform, eureka)
	r.full("eureka", names(1, 20)...)
	var drained []string
	for _, id := range names(6, 20) {
		drained = append(drained, id+"-")
	}
	r.changes("platform", drained...)
	r.full("eureka", names(4, 20)...) // omits 3 of its 20, and 3 of the 5 that are serving
	r.wantAll(names(1, 5), "serving")
	if r.confirms() != 1 {
		t.Errorf("%+v", r.actions)
	}
}

// TestUnconfirmedMassRemovalIsPublishedAfterConfirmWithin, as the drain grace counts from the first list.
func TestUnconfirmedMassRemovalIsPublishedAfterConfirmWithin(t *testing.T) {
	r := massRemovalRig(t)
	r.full("eureka", "c1")
	r.after(DefaultMassRemoval().ConfirmWithin-1).wantAll(names(2, 10), "serving")
	r.after(1).wantAll(names(2, 10), "removed")
	r.want("c1", "serving")
}

func TestUnavailableSourceConfirmsNothing(t *testing.T) {
	r := massRemovalRig(t)
	r.full("eureka")
	r.after(100_000).unavailable("eureka")
	r.after(60*second).wantAll(names(1, 10), "serving")
	if r.changes("eureka"); r.confirms() != 1 {
		t.Errorf("no Confirm once it is available again: %+v", r.actions)
	}
	r.unavailable("eureka")
	r.full("eureka", names(1, 4)...) // the second list that omits them, a minute after the first
	r.wantAll(names(5, 10), "removed")
	r.wantAll(names(1, 4), "serving")
}

// TestNextListConfirmsOnlyAfterConfirmWithin: sooner, it may come from the same server with the same fault.
func TestNextListConfirmsOnlyAfterConfirmWithin(t *testing.T) {
	r := massRemovalRig(t)
	r.full("eureka")
	r.after(100_000).full("eureka")
	r.wantAll(names(1, 10), "serving")
	if r.confirms() != 0 {
		t.Errorf("a second Confirm: %+v", r.actions)
	}
	r.unavailable("eureka")
	r.after(100_000).full("eureka")
	r.wantAll(names(1, 10), "serving")
	r.unavailable("eureka")
	r.after(second).full("eureka")
	r.wantAll(names(1, 10), "removed")
}

// TestServersThatDifferRemoveNothingBetweenThem: one knows the first half, the other one the second half.
func TestServersThatDifferRemoveNothingBetweenThem(t *testing.T) {
	r := massRemovalRig(t)
	confirms := 0
	r.full("eureka", names(1, 4)...)
	confirms += r.confirms()
	for range 20 {
		r.repeat("eureka", names(5, 10)...)
		confirms += r.confirms()
		r.wantAll(names(1, 10), "serving")
		r.after(DefaultMassRemoval().ConfirmWithin / 4)
		r.repeat("eureka", names(1, 4)...)
		confirms += r.confirms()
		r.wantAll(names(1, 10), "serving")
		r.after(DefaultMassRemoval().ConfirmWithin / 4)
	}
	if confirms > 21 {
		t.Errorf("%d Confirms in %d ms", confirms, r.at/1000)
	}
	r.repeat("eureka", names(5, 10)...)
	r.repeat("eureka", names(5, 10)...) // two in a row agree
	r.wantAll(names(1, 4), "removed")
	r.wantAll(names(5, 10), "serving")
}

func TestNoOmissionIsPublishedWhileAListIsUnconfirmed(t *testing.T) {
	r := massRemovalRig(t)
	r.full("eureka", names(1, 4)...)
	r.after(100_000).full("eureka", names(1, 2)...)
	r.wantAll(names(1, 10), "serving")
	r.after(100_000).repeat("eureka", names(1, 2)...)
	r.wantAll(names(3, 10), "removed")
}

// TestReusedAddressProvesARemoval, also in a list that omits most endpoints.
func TestReusedAddressProvesARemoval(t *testing.T) {
	r := massRemovalRig(t)
	next := claims("c1", "c11")
	next[1].Address = "10.0.0.1:2"
	r.handle(&SourceUpdate{Source: "eureka", Full: true, Claims: next})
	r.want("c2", "removed")
	r.want("c11", "serving")
	r.wantAll(names(3, 10), "serving")
}

// TestReplacementOfAllEndpointsIsAMassRemoval: the new ones are published at once.
func TestReplacementOfAllEndpointsIsAMassRemoval(t *testing.T) {
	r := massRemovalRig(t)
	r.full("eureka", names(11, 20)...)
	r.wantAll(names(1, 20), "serving")
	r.repeat("eureka", names(11, 20)...)
	r.wantAll(names(1, 10), "removed")
	r.wantAll(names(11, 20), "serving")
}

// TestUnreadableEntryDeniesARemoval: the list names the endpoint, so that it was not removed.
func TestUnreadableEntryDeniesARemoval(t *testing.T) {
	r := massRemovalRig(t)
	r.full("eureka", "c2")
	r.handle(&SourceUpdate{Source: "eureka", Full: true, Repeat: true, Claims: claims("c2"), Unreadable: []string{"c1"}})
	r.after(10*second).want("c1", "serving")
	r.wantAll(names(3, 10), "removed")
	if s := r.Sources(r.at)[0]; s.Unconfirmed != 0 {
		t.Errorf("%+v", s)
	}
}

func TestUnconfirmedEndpointIsDrainedByAnotherSource(t *testing.T) {
	r := newRig(t, eureka, platform)
	r.full("eureka", names(1, 10)...)
	r.full("eureka")
	r.changes("platform", "c1-")
	r.want("c1", "draining")
	r.wantAll(names(2, 10), "serving")
}

// TestFirstListWithoutServingEndpointsIsConfirmed: a router starts as a server of the registry has restarted with an empty list.
func TestFirstListWithoutServingEndpointsIsConfirmed(t *testing.T) {
	r := newRig(t, eureka)
	r.full("eureka")
	if r.confirms() != 1 {
		t.Fatalf("%+v, want it confirmed", r.actions)
	}
	r.after(100_000).repeat("eureka", names(1, 10)...)
	r.wantAll(names(1, 10), "serving")
	if r.confirms() != 0 {
		t.Errorf("%+v after the answer", r.actions)
	}
}

// TestEmptyRegistryIsConfirmedOnce: all servers are empty, and the router must not call them without a pause.
func TestEmptyRegistryIsConfirmedOnce(t *testing.T) {
	r := newRig(t, eureka)
	r.full("eureka")
	r.after(100_000).repeat("eureka")
	if r.confirms() != 0 {
		t.Errorf("%+v after the answer", r.actions)
	}
	r.after(second).full("eureka")
	if r.confirms() != 0 {
		t.Errorf("%+v after a second empty list", r.actions)
	}
}

func TestFirstListWithServingEndpointsIsNotConfirmed(t *testing.T) {
	r := newRig(t, eureka)
	r.full("eureka", "c1", "c2-")
	if r.confirms() != 0 {
		t.Errorf("%+v", r.actions)
	}
}
