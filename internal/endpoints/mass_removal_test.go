package endpoints

import (
	"testing"
)

// massRemovalRig returns a rig with ten serving endpoints of a source that must confirm a mass removal.
func massRemovalRig(t *testing.T) *rig {
	t.Helper()
	r := newRig(t, eureka)
	r.full("eureka", names(1, 10)...)
	return r
}

// TestEmptyListIsConfirmedAndDenied guards against the removal of all endpoints by a registry server that has restarted with an
// empty list.
func TestEmptyListIsConfirmedAndDenied(t *testing.T) {
	r := massRemovalRig(t)
	r.full("eureka")
	r.wantAll(names(1, 10), "serving")
	if r.confirms() != 1 || !r.rowOf("c1").Claims[0].Unconfirmed || r.Sources(r.at)[0].Unconfirmed != 10 {
		t.Errorf("got actions %+v and row %+v, want one Confirm and 10 unconfirmed omissions", r.actions, r.rowOf("c1"))
	}
	r.after(100_000).repeat("eureka", names(1, 10)...)
	r.after(10*second).wantAll(names(1, 10), "serving")
	if s := r.Sources(r.at)[0]; s.Unconfirmed != 0 || r.rowOf("c1").Flaps != 0 {
		t.Errorf("got source %+v and %d flaps of c1, want no unconfirmed omissions and no flaps", s, r.rowOf("c1").Flaps)
	}
}

func TestConfirmedMassRemovalIsPublishedAtOnce(t *testing.T) {
	r := massRemovalRig(t)
	r.full("eureka", names(1, 3)...)
	r.after(100_000).repeat("eureka", names(1, 3)...)
	r.wantAll(names(4, 10), "removed")
	r.wantAll(names(1, 3), "serving")
	if r.confirms() != 0 {
		t.Errorf("got actions %+v, want no Confirm", r.actions)
	}
}

func TestConfirmationRemovesOnlyWhatItOmits(t *testing.T) {
	r := massRemovalRig(t)
	r.full("eureka")
	r.repeat("eureka", names(1, 8)...)
	r.wantAll(names(1, 8), "serving")
	r.wantAll(names(9, 10), "removed")
}

// TestExplicitDrainAndRemovalNeedNoConfirmation checks this also for a list that omits most endpoints.
func TestExplicitDrainAndRemovalNeedNoConfirmation(t *testing.T) {
	r := massRemovalRig(t)
	r.full("eureka", "c1-", "c2x")
	r.want("c1", "draining")
	r.want("c2", "removed")
	r.wantAll(names(3, 10), "serving")
	r.changes("eureka", "c3x", "c4-")
	r.want("c3", "removed")
	r.want("c4", "draining")
	drained := []string{"c5-", "c6-", "c7-", "c8-", "c9-", "c10-"}
	r.full("eureka", drained...)
	r.wantAll(names(5, 10), "draining")
}

func TestRemovalOfHalfNeedsNoConfirmation(t *testing.T) {
	r := massRemovalRig(t)
	r.full("eureka", names(1, 5)...)
	r.wantAll(names(6, 10), "removed")
	r.full("eureka", names(1, 2)...) // omits three of five
	r.wantAll(names(3, 5), "serving")
	if r.confirms() != 1 {
		t.Errorf("got actions %+v, want one Confirm", r.actions)
	}
}

func TestMassRemovalIsNotCheckedBelowMinEndpoints(t *testing.T) {
	r := newRig(t, eureka)
	r.full("eureka", names(1, 3)...)
	r.full("eureka")
	r.wantAll(names(1, 3), "removed")
}

func TestMassRemovalBySourceWithoutConfirmationIsPublishedAtOnce(t *testing.T) {
	r := newRig(t, platform)
	r.full("platform", names(1, 10)...)
	r.full("platform")
	r.wantAll(names(1, 10), "removed")
}

// TestMassRemovalIsMeasuredAgainstTheMergedListToo checks a list that omits three endpoints after another source has drained all
// but five.
func TestMassRemovalIsMeasuredAgainstTheMergedListToo(t *testing.T) {
	r := newRig(t, platform, eureka)
	r.full("eureka", names(1, 20)...)
	var drained []string
	for _, id := range names(6, 20) {
		drained = append(drained, id+"-")
	}
	r.changes("platform", drained...)
	r.full("eureka", names(4, 20)...) // omits 3 of the source's 20 endpoints, and 3 of the 5 that are serving
	r.wantAll(names(1, 5), "serving")
	if r.confirms() != 1 {
		t.Errorf("got actions %+v, want one Confirm", r.actions)
	}
}

// TestUnconfirmedMassRemovalIsPublishedAfterConfirmWithin guards against a longer wait, as the drain grace starts with the first
// list.
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
		t.Errorf("got actions %+v once the source is available again, want one Confirm", r.actions)
	}
	r.unavailable("eureka")
	r.full("eureka", names(1, 4)...) // the second list that omits the others, a minute after the first
	r.wantAll(names(5, 10), "removed")
	r.wantAll(names(1, 4), "serving")
}

// TestNextListConfirmsOnlyAfterConfirmWithin checks that an earlier list does not count as a confirmation, as it may come from the
// same server with the same fault.
func TestNextListConfirmsOnlyAfterConfirmWithin(t *testing.T) {
	r := massRemovalRig(t)
	r.full("eureka")
	r.after(100_000).full("eureka")
	r.wantAll(names(1, 10), "serving")
	if r.confirms() != 0 {
		t.Errorf("got actions %+v, want no second Confirm", r.actions)
	}
	r.unavailable("eureka")
	r.after(100_000).full("eureka")
	r.wantAll(names(1, 10), "serving")
	r.unavailable("eureka")
	r.after(second).full("eureka")
	r.wantAll(names(1, 10), "removed")
}

// TestServersThatDifferRemoveNothingBetweenThem guards against the removal of all endpoints by two servers of which one knows
// c1 to c4 and the other c5 to c10.
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
		t.Errorf("got %d Confirms in %d ms, want at most 21", confirms, r.at/1000)
	}
	r.repeat("eureka", names(5, 10)...)
	r.repeat("eureka", names(5, 10)...) // two consecutive lists agree
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

// TestReusedAddressProvesARemoval checks this for a list that omits most endpoints.
func TestReusedAddressProvesARemoval(t *testing.T) {
	r := massRemovalRig(t)
	next := claims("c1", "c11")
	next[1].Address = "10.0.0.1:2"
	r.handle(&SourceUpdate{Source: "eureka", Full: true, Claims: next})
	r.want("c2", "removed")
	r.want("c11", "serving")
	r.wantAll(names(3, 10), "serving")
}

// TestReplacementOfAllEndpointsIsAMassRemoval checks that the new endpoints are published at once, and that the old ones are
// removed after the confirmation.
func TestReplacementOfAllEndpointsIsAMassRemoval(t *testing.T) {
	r := massRemovalRig(t)
	r.full("eureka", names(11, 20)...)
	r.wantAll(names(1, 20), "serving")
	r.repeat("eureka", names(11, 20)...)
	r.wantAll(names(1, 10), "removed")
	r.wantAll(names(11, 20), "serving")
}

// TestUnreadableEntryDeniesARemoval checks that an endpoint with an invalid entry is not removed, since the list names it.
func TestUnreadableEntryDeniesARemoval(t *testing.T) {
	r := massRemovalRig(t)
	r.full("eureka", "c2")
	r.handle(&SourceUpdate{Source: "eureka", Full: true, Confirmation: true, Claims: claims("c2"), Unreadable: []string{"c1"}})
	r.after(10*second).want("c1", "serving")
	r.wantAll(names(3, 10), "removed")
	if s := r.Sources(r.at)[0]; s.Unconfirmed != 0 {
		t.Errorf("got source %+v, want no unconfirmed omissions", s)
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

// TestFirstListWithoutServingEndpointsIsConfirmed covers a router that starts just after a registry server has restarted with an
// empty list.
func TestFirstListWithoutServingEndpointsIsConfirmed(t *testing.T) {
	r := newRig(t, eureka)
	r.full("eureka")
	if r.confirms() != 1 {
		t.Fatalf("got actions %+v, want one Confirm", r.actions)
	}
	r.after(100_000).repeat("eureka", names(1, 10)...)
	r.wantAll(names(1, 10), "serving")
	if r.confirms() != 0 {
		t.Errorf("got actions %+v after the confirmation, want no Confirm", r.actions)
	}
}

// TestEmptyRegistryIsConfirmedOnce guards against polling without a pause where the lists of all registry servers are empty.
func TestEmptyRegistryIsConfirmedOnce(t *testing.T) {
	r := newRig(t, eureka)
	r.full("eureka")
	r.after(100_000).repeat("eureka")
	if r.confirms() != 0 {
		t.Errorf("got actions %+v after the confirmation, want no Confirm", r.actions)
	}
	r.after(second).full("eureka")
	if r.confirms() != 0 {
		t.Errorf("got actions %+v after a second empty list, want no Confirm", r.actions)
	}
}

func TestFirstListWithServingEndpointsIsNotConfirmed(t *testing.T) {
	r := newRig(t, eureka)
	r.full("eureka", "c1", "c2-")
	if r.confirms() != 0 {
		t.Errorf("got actions %+v, want no Confirm", r.actions)
	}
}
