package eureka

import (
	"fmt"
	"slices"
	"strings"

	"starlingwinch/decide"
	"starlingwinch/internal/endpoints"
)

// lag is how long a registry's server may be behind another one, or its kept answers behind one another.
// Within it, a list that takes bad news back must show that it is newer.
const lag = 30 * second

// filter picks the instances that are caches.
type filter struct{ app, vip string } // app in upper case

// takes reports whether an instance is a cache.
func (f filter) takes(i *Instance) bool {
	if f.app != "" && i.App != f.app {
		return false
	}
	if f.vip == "" {
		return true
	}
	for one := range strings.SplitSeq(i.VIP, ",") {
		if strings.EqualFold(strings.TrimSpace(one), f.vip) {
			return true
		}
	}
	return false
}

// known is what the state holds of an instance.
type known struct {
	Instance
	heard Time // when its news came, by the router's clock
	late  bool // up, but its renewals have ceased
	left  bool // departed, as a whole list has left it out
}

// state is a server's list as it has been applied, and what of it was told. It does no I/O.
type state struct {
	filter filter
	grace  int              // leases after which one that is not renewed counts as draining; 0 for never
	all    map[string]known // by application and id
	gone   map[string]known // departed ones: a list that is behind must not bring them back
	counts map[string]int   // instances by status
	told   map[string]endpoints.Claim
	newest Time // of the times in the last full list, by the registry's clock
	held   bool // the last full list would have taken bad news back: after a while it may
}

func newState(f filter, grace int) *state {
	return &state{filter: f, grace: grace, all: map[string]known{}, gone: map[string]known{}, counts: map[string]int{},
		told: map[string]endpoints.Claim{}}
}

func (i *Instance) key() string { return i.App + "\x00" + i.ID }

// behind reports whether news of an instance is older than what is known and would take bad news back. Bad news
// that came long ago does not count: a server's clock may have been wrong.
func (k *known) behind(i *Instance, now Time) bool {
	return k.Updated > i.Updated && i.Updated > 0 && now-k.heard < lag &&
		(k.Change == Deleted || k.Word != statusUp && i.Word == statusUp)
}

// replace takes a full list over. It returns all that is to be told. A repeat was asked for as the list before has left out
// too much to be believed: that list's word on what it left out is not held against this one. The danger: a server that has
// come back empty is confirmed by one that knows all, since its own times are a little later.
func (s *state) replace(l *List, now Time, repeat bool) (claims []endpoints.Claim, unread []string) {
	before, gone := s.all, s.gone
	s.all, s.gone = make(map[string]known, len(l.Instances)), map[string]known{}
	s.counts, s.newest, s.held = map[string]int{}, 0, false
	for _, i := range l.Instances {
		s.newest = max(s.newest, i.Renewed, i.Updated)
	}
	for n := range l.Instances {
		i := &l.Instances[n]
		if i.Change == Deleted {
			continue
		}
		s.counts[i.Status]++
		key := i.key()
		if k, twice := s.all[key]; twice {
			if k.Word == statusUp && i.Word != statusUp { // the worse news counts
				k.Word = i.Word
				s.all[key] = k
			}
			continue
		}
		next := known{Instance: *i, heard: now, late: s.late(i)}
		old, had := before[key]
		if had && old.Word == i.Word && old.Updated == i.Updated {
			next.heard = old.heard
		}
		if had && old.behind(i, now) {
			next, s.held = old, true
		}
		if k, left := gone[key]; left && !(repeat && k.left) && k.behind(i, now) {
			s.gone[key], s.held = k, true
			continue
		}
		s.all[key] = next
	}
	for key, k := range before { // any order: each one by itself
		if _, stays := s.all[key]; !stays && s.gone[key].ID == "" {
			k.Change, k.heard, k.left = Deleted, now, true
			s.gone[key] = k
		}
	}
	for key, k := range gone { // any order: each one by itself
		if _, back := s.all[key]; !back && now-k.heard < lag {
			s.gone[key] = k
		}
	}
	return s.tellAll()
}

// late reports whether an instance that is up has missed so many renewals that it counts as draining. Time is the
// newest in the same list. The dangers: the registry's clock and the router's differ; a server that renewals do
// not reach any more, or a list that was kept for long, makes all look late together.
func (s *state) late(i *Instance) bool {
	return s.grace > 0 && i.Lease > 0 && i.Renewed > 0 && s.newest-i.Renewed > Time(s.grace)*i.Lease
}

// apply takes a delta over. It returns what changed, and whether part of the delta is older than what is known.
func (s *state) apply(l *List, now Time) (claims []endpoints.Claim, unread []string, older bool) {
	touched := map[string]bool{}
	for _, i := range latest(l.Instances) {
		key := i.key()
		k, had := s.all[key]
		if !had {
			k = s.gone[key]
		}
		if k.ID != "" && i.Updated > 0 && k.Updated > i.Updated {
			older = true
			continue
		}
		if i.Change == Deleted {
			if had {
				s.count(k.Status, -1)
				delete(s.all, key)
				touched[i.ID] = true
			}
			s.gone[key] = known{Instance: *i, heard: now}
			continue
		}
		if !had && k.ID != "" && i.Updated > 0 && k.Updated == i.Updated && now-k.heard < lag {
			continue // the delta still holds how it came, before it went
		}
		if had {
			s.count(k.Status, -1)
		}
		s.count(i.Status, 1)
		delete(s.gone, key)
		next := known{Instance: *i, heard: now}
		if had && k.Word == i.Word && k.Updated == i.Updated {
			// It is repeated for minutes, and tells nothing new of renewals.
			next.heard, next.late = k.heard, k.late
			next.Renewed = max(k.Renewed, i.Renewed)
		}
		s.all[key] = next
		touched[i.ID] = true
	}
	claims, unread = s.tell(touched)
	return claims, unread, older
}

// latest leaves the last news of each instance, in their order. A delta may tell one's changes of minutes.
func latest(all []Instance) []*Instance {
	place := make(map[string]int, len(all))
	var out []*Instance
	for n := range all {
		i := &all[n]
		at, twice := place[i.key()]
		switch {
		case !twice:
			place[i.key()] = len(out)
			out = append(out, i)
		case i.Updated >= out[at].Updated || i.Updated == 0:
			out[at] = i
		}
	}
	return out
}

func (s *state) count(status string, by int) { s.counts[status] += by }

// hash is the hash code of what is known.
func (s *state) hash() string { return hashCode(s.counts) }

// tellAll words the whole list, in the order of ids.
func (s *state) tellAll() (claims []endpoints.Claim, unread []string) {
	merged, before := s.merged(nil), s.told
	s.told = map[string]endpoints.Claim{}
	for _, id := range sortedIDs(merged) {
		k := merged[id]
		if k.unread() {
			s.told[id] = before[id] // its end must be told all the same
			unread = append(unread, id)
			continue
		}
		c := k.claim()
		s.told[id] = c
		claims = append(claims, c)
	}
	return claims, unread
}

// tell words what has changed of these ids.
func (s *state) tell(ids map[string]bool) (claims []endpoints.Claim, unread []string) {
	if len(ids) == 0 {
		return nil, nil
	}
	merged := s.merged(ids)
	for _, id := range sortedIDs(ids) {
		k, there := merged[id]
		old, was := s.told[id]
		switch {
		case !there && was:
			delete(s.told, id)
			claims = append(claims, endpoints.Claim{Endpoint: decide.Endpoint{ID: id, Status: decide.Removed}, Reason: "DELETED"})
		case !there:
		case k.unread():
			s.told[id] = old
			unread = append(unread, id)
		default:
			c := k.claim()
			if was && c.Endpoint == old.Endpoint && c.Address == old.Address && c.Reason == old.Reason {
				continue
			}
			s.told[id] = c
			claims = append(claims, c)
		}
	}
	return claims, unread
}

// merged is what is known of the caches among these ids, nil for all. One that stands in several applications counts by the
// worst news of it.
func (s *state) merged(ids map[string]bool) map[string]known {
	out := map[string]known{}
	for key, k := range s.all { // any order: of several, the worst counts, and then the first by key
		if ids != nil && !ids[k.ID] || !s.filter.takes(&k.Instance) {
			continue
		}
		other, twice := out[k.ID]
		if twice && !worse(&k, &other) && (worse(&other, &k) || key > other.key()) {
			continue
		}
		out[k.ID] = k
	}
	return out
}

func worse(a, b *known) bool { return rank(a) > rank(b) }

func rank(k *known) int {
	switch {
	case k.Word != statusUp:
		return 2
	case k.late:
		return 1
	}
	return 0
}

func sortedIDs[T any](m map[string]T) []string {
	ids := make([]string, 0, len(m))
	for id := range m { // any order: sorted below
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// unread reports whether an instance stays as it is, as its entry can't be used. Bad news needs no more than an id.
func (k *known) unread() bool { return k.Unread && rank(k) == 0 }

// claim is what is told of an instance.
func (k *known) claim() endpoints.Claim {
	c := endpoints.Claim{
		Endpoint: decide.Endpoint{ID: k.ID, Zone: k.Zone, Cell: k.Group, Weight: k.Weight, StartedAt: k.Start,
			Status: condition(k.Word)},
		Address:  k.Addr,
		Reason:   k.Word,
		LastSeen: max(k.Renewed, k.Updated),
	}
	if k.late && c.Endpoint.Status == decide.Serving {
		c.Endpoint.Status = decide.Draining
		c.Reason = fmt.Sprintf("%s, but not renewed for more than %d s", k.Word, k.Lease/second)
	}
	return c
}
