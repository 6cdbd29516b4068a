package eureka

import (
	"strings"

	"starlingwinch/internal/endpoints"
)

// maxReplicationLag is the longest time by which a server of the registry, or one of its cached responses, may be behind another.
// To revert a drain or removal received within this time, a list must show that it is newer.
const maxReplicationLag = 30 * second

// deletedReason is the reason of a claim for a removed instance.
const deletedReason = "DELETED"

// filter selects the instances that are used as endpoints.
type filter struct {
	application string // in upper case; "" for all
	vip         string // "" for any
}

// selects reports whether an instance matches the filter.
func (f filter) selects(i *Instance) bool {
	if f.application != "" && i.App != f.application {
		return false
	}
	if f.vip == "" {
		return true
	}
	for vip := range strings.SplitSeq(i.VIP, ",") {
		if strings.EqualFold(strings.TrimSpace(vip), f.vip) {
			return true
		}
	}
	return false
}

// knownInstance is an entry of the instance table.
type knownInstance struct {
	Instance
	receivedAt   Time // time at which this status and update were first received, by the router's clock
	leaseOverdue bool // the instance is up, but has missed its renewals
	omitted      bool // the instance departed because a full list omitted it
}

// instanceTable holds the instances from a server's lists and the claims reported on them. It does no I/O.
type instanceTable struct {
	filter          filter
	leaseGrace      int                        // lease durations without a renewal after which an instance is draining; 0 for never
	present         map[string]knownInstance   // by Instance.key
	departed        map[string]knownInstance   // by Instance.key; an outdated list must not restore these instances
	statusCounts    map[string]int             // instances present, by status as listed; for the hash code
	reported        map[string]endpoints.Claim // the latest claim on each endpoint, by id
	newestTimestamp Time                       // in the last full list, by the registry's clock
	revertWithheld  bool                       // the last full list reverts a drain or removal; that takes effect only after maxReplicationLag
}

func newInstanceTable(f filter, leaseGrace int) *instanceTable {
	return &instanceTable{
		filter:       f,
		leaseGrace:   leaseGrace,
		present:      map[string]knownInstance{},
		departed:     map[string]knownInstance{},
		statusCounts: map[string]int{},
		reported:     map[string]endpoints.Claim{},
	}
}

// key returns the identity of an instance: ids are unique only within an application.
func (i *Instance) key() string { return i.App + "\x00" + i.ID }

// supersedes reports whether the known state is a drain or removal that the older entry i would revert. A state received at
// least maxReplicationLag ago supersedes nothing, since the clock of the server that reported it may have been wrong.
func (k *knownInstance) supersedes(i *Instance, now Time) bool {
	isNewer := k.UpdatedAt > i.UpdatedAt && i.UpdatedAt > 0 && now-k.receivedAt < maxReplicationLag
	return isNewer && (k.Change == Deleted || k.EffectiveStatus != statusUp && i.EffectiveStatus == statusUp)
}

// applyFull replaces the table with a full list and returns all claims. If repeat is set, the list was fetched to confirm a list
// that omitted too many instances, and those omissions don't supersede entries of this list. Otherwise a server with an empty
// list would be confirmed by a server that knows all instances but has slightly older timestamps.
func (t *instanceTable) applyFull(l *List, now Time, repeat bool) (claims []endpoints.Claim, unreadable []string) {
	present, departed := t.present, t.departed
	t.present, t.departed = make(map[string]knownInstance, len(l.Instances)), map[string]knownInstance{}
	t.statusCounts, t.newestTimestamp, t.revertWithheld = map[string]int{}, 0, false
	for n := range l.Instances {
		i := &l.Instances[n]
		t.newestTimestamp = max(t.newestTimestamp, i.RenewedAt, i.UpdatedAt)
	}
	for n := range l.Instances {
		i := &l.Instances[n]
		if i.Change != Deleted {
			t.addListed(i, now, repeat, present, departed)
		}
	}
	t.addDeparted(now, present, departed)
	return t.reportAll()
}

// addListed adds an instance of a full list to the table. presentBefore and departedBefore are the previous contents of the
// table.
func (t *instanceTable) addListed(i *Instance, now Time, repeat bool, presentBefore, departedBefore map[string]knownInstance) {
	t.statusCounts[i.Status]++
	key := i.key()
	if k, duplicate := t.present[key]; duplicate {
		if k.EffectiveStatus == statusUp && i.EffectiveStatus != statusUp { // of two entries, the draining one counts
			k.EffectiveStatus = i.EffectiveStatus
			t.present[key] = k
		}
		return
	}
	next := knownInstance{Instance: *i, receivedAt: now, leaseOverdue: t.isLeaseOverdue(i)}
	if before, had := presentBefore[key]; had {
		if before.EffectiveStatus == i.EffectiveStatus && before.UpdatedAt == i.UpdatedAt {
			next.receivedAt = before.receivedAt
		}
		if before.supersedes(i, now) {
			next, t.revertWithheld = before, true
		}
	}
	k, hasDeparted := departedBefore[key]
	isSuperseded := hasDeparted && !(repeat && k.omitted) && k.supersedes(i, now)
	if isSuperseded {
		t.departed[key], t.revertWithheld = k, true
		return
	}
	t.present[key] = next
}

// addDeparted adds to departed the instances that a full list omits and the instances that departed within maxReplicationLag.
func (t *instanceTable) addDeparted(now Time, presentBefore, departedBefore map[string]knownInstance) {
	for key, k := range presentBefore { // any order: the entries are independent
		_, isPresent := t.present[key]
		if !isPresent && t.departed[key].ID == "" {
			k.Change, k.receivedAt, k.omitted = Deleted, now, true
			t.departed[key] = k
		}
	}
	for key, k := range departedBefore { // any order: the entries are independent
		_, isPresent := t.present[key]
		if !isPresent && now-k.receivedAt < maxReplicationLag {
			t.departed[key] = k
		}
	}
}

// isLeaseOverdue reports whether an instance has missed so many renewals that it counts as draining. The age of the renewal is
// measured against the newest timestamp of the same list. The router's clock can't serve as the reference: it differs from the
// registry's, and a server that receives no renewals, or a cached list, would make all instances overdue at the same time.
func (t *instanceTable) isLeaseOverdue(i *Instance) bool {
	isMeasurable := t.leaseGrace > 0 && i.LeaseDuration > 0 && i.RenewedAt > 0
	return isMeasurable && t.newestTimestamp-i.RenewedAt > Time(t.leaseGrace)*i.LeaseDuration
}

// applyDelta applies the changes of a delta to the table. It returns the claims that have changed, and whether part of the
// delta is older than the table.
func (t *instanceTable) applyDelta(l *List, now Time) (claims []endpoints.Claim, unreadable []string, isOlder bool) {
	changed := map[string]bool{}
	for _, i := range latestChanges(l.Instances) {
		switch t.applyChange(i, now) {
		case changeOutdated:
			isOlder = true
		case changeApplied:
			changed[i.ID] = true
		case changeIrrelevant:
		}
	}
	claims, unreadable = t.reportChanged(changed)
	return claims, unreadable, isOlder
}

// changeResult is the outcome of applyChange.
type changeResult uint8

const (
	changeApplied    changeResult = iota
	changeIrrelevant              // the instances that are present don't change
	changeOutdated                // the change is older than the table's entry
)

// applyChange applies the change of one instance in a delta.
func (t *instanceTable) applyChange(i *Instance, now Time) changeResult {
	key := i.key()
	k, isPresent := t.present[key]
	if !isPresent {
		k = t.departed[key]
	}
	isKnown := k.ID != ""
	if isKnown && i.UpdatedAt > 0 && k.UpdatedAt > i.UpdatedAt {
		return changeOutdated
	}
	if i.Change == Deleted {
		t.departed[key] = knownInstance{Instance: *i, receivedAt: now}
		if !isPresent {
			return changeIrrelevant
		}
		t.statusCounts[k.Status]--
		delete(t.present, key)
		return changeApplied
	}
	hasDeparted := !isPresent && isKnown
	if hasDeparted && i.UpdatedAt > 0 && k.UpdatedAt == i.UpdatedAt && now-k.receivedAt < maxReplicationLag {
		return changeIrrelevant // the delta still holds the instance's registration from before its departure
	}
	if isPresent {
		t.statusCounts[k.Status]--
	}
	t.statusCounts[i.Status]++
	delete(t.departed, key)
	next := knownInstance{Instance: *i, receivedAt: now}
	if isPresent && k.EffectiveStatus == i.EffectiveStatus && k.UpdatedAt == i.UpdatedAt {
		// A delta repeats a change for minutes, with the renewal time as of the change.
		next.receivedAt, next.leaseOverdue = k.receivedAt, k.leaseOverdue
		next.RenewedAt = max(k.RenewedAt, i.RenewedAt)
	}
	t.present[key] = next
	return changeApplied
}

// latestChanges returns the latest change of each instance, ordered by the first change of each. A delta may hold several
// changes of one instance.
func latestChanges(all []Instance) []*Instance {
	indexes := make(map[string]int, len(all))
	var latest []*Instance
	for n := range all {
		i := &all[n]
		index, duplicate := indexes[i.key()]
		switch {
		case !duplicate:
			indexes[i.key()] = len(latest)
			latest = append(latest, i)
		case i.UpdatedAt >= latest[index].UpdatedAt || i.UpdatedAt == 0:
			latest[index] = i
		}
	}
	return latest
}

// hash returns the hash code of the instances that are present.
func (t *instanceTable) hash() string { return hashCode(t.statusCounts) }
