package router

import (
	"starlingwinch/decide"
	"starlingwinch/internal/frontend"
)

// maxRecentIDs is the maximum number of ids that recentIDs holds.
const maxRecentIDs = 8192

// recentIDs holds the ids of requests that have ended, that must not run twice, and that may have run. Each request has a new id, so
// that another request with such an id is the same one: the router rejects it as it rejects the id of an open request.
type recentIDs struct {
	ttl   Time            // see recentIDTime
	held  map[uint64]Time // when each id was added, by the hash of the id
	added []recentID      // in the order of addition, from next on
	next  int
}

// recentID is an entry of recentIDs.
type recentID struct {
	hash uint64
	at   Time
}

// newRecentIDs returns an empty set that holds ids for the given time.
func newRecentIDs(ttl Time) recentIDs {
	return recentIDs{ttl: ttl, held: map[uint64]Time{}}
}

// recentIDTime returns the time for which an id is held: the longest time after which a client may send a request once more, and the
// time that the request then has. Caches drop a repeat of a keyed request only within its window.
func recentIDTime(classes []decide.Class) Time {
	longestTimeout, longestWindow := Time(0), Time(0)
	for _, class := range classes {
		longestTimeout = max(longestTimeout, class.ClientTimeout)
		if class.Semantics == decide.IdempotentByKey {
			longestWindow = max(longestWindow, class.IdempotencyWindow)
		}
	}
	return max(longestTimeout, longestWindow, maxDrainTimeout) + longestTimeout
}

// add adds an id. The set drops its oldest ids where it holds maxRecentIDs.
func (s *recentIDs) add(clientID string, now Time) {
	s.dropOld(now)
	if len(s.held) >= maxRecentIDs {
		s.dropFirst()
	}
	hash := frontend.KeyHash([]byte(clientID))
	s.held[hash] = now
	s.added = append(s.added, recentID{hash, now})
}

// contains reports whether the set holds an id.
func (s *recentIDs) contains(clientID string, now Time) bool {
	if len(s.held) == 0 {
		return false
	}
	at, found := s.held[frontend.KeyHash([]byte(clientID))]
	return found && now < at+s.ttl
}

// dropOld drops the ids whose time is over.
func (s *recentIDs) dropOld(now Time) {
	for s.next < len(s.added) && s.added[s.next].at+s.ttl <= now {
		s.dropFirst()
	}
}

// dropFirst drops the id that was added first.
func (s *recentIDs) dropFirst() {
	first := s.added[s.next]
	if s.held[first.hash] == first.at {
		delete(s.held, first.hash)
	}
	if s.next++; s.next > len(s.added)/2 {
		s.added = s.added[:copy(s.added, s.added[s.next:])]
		s.next = 0
	}
}

// rememberID keeps the id of a request that ends if another request with that id could make it run twice.
func (r *Router) rememberID(q *request) {
	if !q.command.Idempotent && q.guard.MayHaveRun() {
		r.recentIDs.add(q.clientID, r.m.Now())
	}
}
