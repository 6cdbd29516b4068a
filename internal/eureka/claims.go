package eureka

import (
	"fmt"
	"slices"

	"starlingwinch/decide"
	"starlingwinch/internal/endpoints"
)

// reportAll returns the claims on all endpoints, ordered by id, and the ids of the endpoints whose instance is unusable.
func (t *instanceTable) reportAll() (claims []endpoints.Claim, unreadable []string) {
	merged, before := t.mergeByID(nil), t.reported
	t.reported = map[string]endpoints.Claim{}
	for _, id := range sortedKeys(merged) {
		k := merged[id]
		if k.isUnusable() {
			t.reported[id] = before[id] // so that a later removal is reported
			unreadable = append(unreadable, id)
			continue
		}
		claim := k.claim()
		t.reported[id] = claim
		claims = append(claims, claim)
	}
	return claims, unreadable
}

// reportChanged returns the claims on these endpoints that have changed, ordered by id, and the ids of the endpoints whose
// instance is unusable.
func (t *instanceTable) reportChanged(ids map[string]bool) (claims []endpoints.Claim, unreadable []string) {
	if len(ids) == 0 {
		return nil, nil
	}
	merged := t.mergeByID(ids)
	for _, id := range sortedKeys(ids) {
		k, isPresent := merged[id]
		before, wasReported := t.reported[id]
		switch {
		case !isPresent && wasReported:
			delete(t.reported, id)
			removed := decide.Endpoint{ID: id, Status: decide.Removed}
			claims = append(claims, endpoints.Claim{Endpoint: removed, Reason: deletedReason})
		case !isPresent:
		case k.isUnusable():
			t.reported[id] = before
			unreadable = append(unreadable, id)
		default:
			claim := k.claim()
			if wasReported && isSameClaim(claim, before) {
				continue
			}
			t.reported[id] = claim
			claims = append(claims, claim)
		}
	}
	return claims, unreadable
}

// isSameClaim reports whether two claims are equal apart from LastSeen.
func isSameClaim(a, b endpoints.Claim) bool {
	return a.Endpoint == b.Endpoint && a.Address == b.Address && a.Reason == b.Reason
}

// mergeByID returns one instance for each of these endpoints; nil ids select all endpoints. If several applications have the
// same id, the instance with the highest severity counts.
func (t *instanceTable) mergeByID(ids map[string]bool) map[string]knownInstance {
	merged := map[string]knownInstance{}
	for key, k := range t.present { // any order: among duplicates, the highest severity and then the lowest key counts
		if ids != nil && !ids[k.ID] || !t.filter.selects(&k.Instance) {
			continue
		}
		other, duplicate := merged[k.ID]
		if !duplicate || k.precedes(key, &other) {
			merged[k.ID] = k
		}
	}
	return merged
}

// precedes reports whether an instance counts in place of another instance with the same id.
func (k *knownInstance) precedes(key string, other *knownInstance) bool {
	if k.severity() != other.severity() {
		return k.severity() > other.severity()
	}
	return key <= other.key()
}

// severity ranks an instance: 0 if it serves, 1 if its lease is overdue, 2 if its status is not UP.
func (k *knownInstance) severity() int {
	switch {
	case k.EffectiveStatus != statusUp:
		return 2
	case k.leaseOverdue:
		return 1
	}
	return 0
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[T any](m map[string]T) []string {
	keys := make([]string, 0, len(m))
	for key := range m { // any order: sorted below
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// isUnusable reports whether the instance can't be used as an endpoint, so that the endpoint's last claim stays in force. It
// is false for an instance that drains, since a drain needs only the id.
func (k *knownInstance) isUnusable() bool { return k.Unusable && k.severity() == 0 }

// claim returns the claim that is reported for an instance.
func (k *knownInstance) claim() endpoints.Claim {
	claim := endpoints.Claim{
		Endpoint: decide.Endpoint{
			ID:        k.ID,
			Zone:      k.Zone,
			Cell:      k.Group,
			Weight:    k.Weight,
			StartedAt: k.StartedAt,
			Status:    endpointStatus(k.EffectiveStatus),
		},
		Address:  k.Address,
		Reason:   k.EffectiveStatus,
		LastSeen: max(k.RenewedAt, k.UpdatedAt),
	}
	if k.leaseOverdue && claim.Endpoint.Status == decide.Serving {
		claim.Endpoint.Status = decide.Draining
		claim.Reason = fmt.Sprintf("%s, but not renewed for more than %d s", k.EffectiveStatus, k.LeaseDuration/second)
	}
	return claim
}
