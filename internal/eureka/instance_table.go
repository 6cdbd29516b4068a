package eureka

import (
	"strings"

	"starlingwinch/internal/endpoints"
)

// maxReplicationLag is by how much a registry's server may be behind another one, or its cached responses behind one another.
// Within it, a list that takes a drain or removal back must show that it is newer.
const maxReplicationLag = 30 * second

// deletedReason is the reason of a removal that a registry reports.
const deletedReason = "DELETED"

// filter selects the instances that are endpoints.
type filter struct {
	application string // in upper case; "" for all
	vip         string // "" for any
}

// selects reports whether an instance is an endpoint.
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

// knownInstance is an instance as the table holds it.
type knownInstance struct {
	Instance
	receivedAt   Time // when it was received with these values, by the router's clock
	leaseOverdue bool // it is up, but its renewals have ceased
	omitted      bool // it has departed, as a full list omitted it
}

// instanceTable is a server's list as it has been applied, and what was reported of it. It does no I/O.
type instanceTable struct {
	filter          filter
	leaseGrace      int                        // leases without a renewal after which an instance counts as draining; 0 for never
	present         map[string]knownInstance   // by Instance.key
	departed        map[string]knownInstance   // by Instance.key: a list that is behind must not bring them back
	statusCounts    map[string]int             // of those present, by status as listed; for the hash code
	reported        map[string]endpoints.Claim // the latest claim on each endpoint, by id
	newestTimestamp Time                       // in the last full list, by the registry's clock
	withheld        bool                       // the last full list takes a drain or removal back, which counts only after maxReplicationLag
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

// key identifies an instance: ids are unique within an application.
func (i *Instance) key() string { return i.App + "\x00" + i.ID }

// outweighs reports whether what is known of an instance is a drain or removal that an older list would take back. One that was
// received long ago does not count: the clock of the server may have been wrong.
func (k *knownInstance) outweighs(i *Instance, now Time) bool {
	isNewer := k.UpdatedAt > i.UpdatedAt && i.UpdatedAt > 0 && now-k.receivedAt < maxReplicationLag
	return isNewer && (k.Change == Deleted || k.EffectiveStatus != statusUp && i.EffectiveStatus == statusUp)
}

// applyFull replaces the table by a full list, and returns all claims. A repeat was fetched as the list before omitted too many
// instances: what that list omitted does not count against this one, or a server with an empty list would be confirmed by one
// that knows all, whose own timestamps are a little older.
func (t *instanceTable) applyFull(l *List, now Time, repeat bool) (claims []endpoints.Claim, unreadable []string) {
	present, departed := t.present, t.departed
	t.present, t.departed = make(map[string]knownInstance, len(l.Instances)), map[string]knownInstance{}
	t.statusCounts, t.newestTimestamp, t.withheld = map[string]int{}, 0, false
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

// addListed adds an instance of a full list to the table. presentBefore and departedBefore are what the table held before it.
func (t *instanceTable) addListed(i *Instance, now Time, repeat bool, presentBefore, departedBefore map[string]knownInstance) {
	t.statusCounts[i.Status]++
	key := i.key()
	if k, duplicate := t.present[key]; duplicate {
		if k.EffectiveStatus == statusUp && i.EffectiveStatus != statusUp { // of two entries, the drain counts
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
		if before.outweighs(i, now) {
			next, t.withheld = before, true
		}
	}
	k, hasDeparted := departedBefore[key]
	isContradicted := hasDeparted && !(repeat && k.omitted) && k.outweighs(i, now)
	if isContradicted {
		t.departed[key], t.withheld = k, true
		return
	}
	t.present[key] = next
}

// addDeparted adds the instances to departed that a full list omits, and those that departed lately.
func (t *instanceTable) addDeparted(now Time, presentBefore, departedBefore map[string]knownInstance) {
	for key, k := range presentBefore { // any order: each one by itself
		_, isPresent := t.present[key]
		if !isPresent && t.departed[key].ID == "" {
			k.Change, k.receivedAt, k.omitted = Deleted, now, true
			t.departed[key] = k
		}
	}
	for key, k := range departedBefore { // any order: each one by itself
		_, isPresent := t.present[key]
		if !isPresent && now-k.receivedAt < maxReplicationLag {
			t.departed[key] = k
		}
	}
}

// isLeaseOverdue reports whether an instance that is up has missed so many renewals that it counts as draining. It is measured
// against the newest timestamp of the same list: the registry's clock differs from the router's, and a server that receives no
// renewals, or a cached list, would make all instances overdue together.
func (t *instanceTable) isLeaseOverdue(i *Instance) bool {
	isMeasurable := t.leaseGrace > 0 && i.LeaseDuration > 0 && i.RenewedAt > 0
	return isMeasurable && t.newestTimestamp-i.RenewedAt > Time(t.leaseGrace)*i.LeaseDuration
}

// applyDelta takes the changes over. It returns the claims that have changed, and whether part of the delta is older than what
// the table holds.
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

// changeResult says what became of an instance of a delta.
type changeResult uint8

const (
	changeApplied    changeResult = iota
	changeIrrelevant              // it leaves the instances that are present as they are
	changeOutdated                // it is older than what the table holds
)

// applyChange takes one instance of a delta over.
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
		return changeIrrelevant // the delta still holds its registration, from before it departed
	}
	if isPresent {
		t.statusCounts[k.Status]--
	}
	t.statusCounts[i.Status]++
	delete(t.departed, key)
	next := knownInstance{Instance: *i, receivedAt: now}
	if isPresent && k.EffectiveStatus == i.EffectiveStatus && k.UpdatedAt == i.UpdatedAt {
		// A delta repeats a change for minutes, with the renewal of then.
		next.receivedAt, next.leaseOverdue = k.receivedAt, k.leaseOverdue
		next.RenewedAt = max(k.RenewedAt, i.RenewedAt)
	}
	t.present[key] = next
	return changeApplied
}

// latestChanges returns the latest change of each instance, in the order of their first ones. A delta may hold several changes
// of one instance.
func latestChanges(all []Instance) []*Instance {
	places := make(map[string]int, len(all))
	var latest []*Instance
	for n := range all {
		i := &all[n]
		place, duplicate := places[i.key()]
		switch {
		case !duplicate:
			places[i.key()] = len(latest)
			latest = append(latest, i)
		case i.UpdatedAt >= latest[place].UpdatedAt || i.UpdatedAt == 0:
			latest[place] = i
		}
	}
	return latest
}

// hash is the hash code of the instances that are present.
func (t *instanceTable) hash() string { return hashCode(t.statusCounts) }
