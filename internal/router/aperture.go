package router

import (
	"fmt"
	"maps"
	"slices"

	"starlingwinch/decide"
	"starlingwinch/internal/aperture"
	"starlingwinch/internal/endpoints"
)

// narrowed is the fleet as the list has it, of which the router uses the part that its aperture covers.
type narrowed struct {
	ring  *aperture.Aperture
	whole map[string]member
}

// member is a line of the whole list.
type member struct {
	entry decide.Endpoint
	addr  string
}

// newNarrowed is nil where the router can't know its place among the others, or has descriptors for any fleet.
func newNarrowed(cfg *Config, connections int) *narrowed {
	ring, err := aperture.New(cfg.RouterNumber, cfg.RouterCount, connections)
	if err != nil {
		return nil
	}
	return &narrowed{ring: ring, whole: map[string]member{}}
}

// part keeps what the aperture covers of what has changed. The danger: with more caches than descriptors a connection is
// opened for nearly every request.
func (n *narrowed) part(p endpoints.Publish, log func(string)) endpoints.Publish {
	for i, e := range p.Endpoints {
		if e.Status == decide.Removed {
			delete(n.whole, e.ID)
		} else {
			addr := p.Addresses[i]
			if addr == "" {
				addr = n.whole[e.ID].addr // bad news needs none
			}
			n.whole[e.ID] = member{e, addr}
		}
	}
	before := *n.ring
	if n.ring.Resize(len(n.whole)) {
		return n.moved(p, &before, log)
	}
	if n.ring.CoversAll() {
		return p
	}
	out := endpoints.Publish{Kind: p.Kind}
	for i, e := range p.Endpoints {
		if n.ring.Covers(e.ID) {
			out.Endpoints, out.Addresses = append(out.Endpoints, e), append(out.Addresses, p.Addresses[i])
		}
	}
	return out
}

// moved is what an aperture that has just changed makes of the list: what it does not cover any more has gone, what
// it covers now has come, and what has changed has.
func (n *narrowed) moved(p endpoints.Publish, before *aperture.Aperture, log func(string)) endpoints.Publish {
	var bad, good []member
	add := func(e decide.Endpoint, addr string) {
		if e.Status == decide.Serving {
			good = append(good, member{e, addr})
		} else {
			bad = append(bad, member{e, addr})
		}
	}
	changed := map[string]bool{}
	for i, e := range p.Endpoints {
		if changed[e.ID] = true; e.Status == decide.Removed || n.ring.Covers(e.ID) {
			add(e, p.Addresses[i])
		} else if before.Covers(e.ID) {
			add(decide.Endpoint{ID: e.ID, Status: decide.Removed}, "")
		}
	}
	used := 0
	for _, name := range slices.Sorted(maps.Keys(n.whole)) {
		was, is := before.Covers(name), n.ring.Covers(name)
		if is {
			used++
		}
		switch {
		case changed[name] || was == is:
		case is:
			add(n.whole[name].entry, n.whole[name].addr)
		default:
			add(decide.Endpoint{ID: name, Status: decide.Removed}, "")
		}
	}
	out := endpoints.Publish{Kind: p.Kind}
	for _, m := range append(bad, good...) {
		out.Endpoints, out.Addresses = append(out.Endpoints, m.entry), append(out.Addresses, m.addr)
	}
	log(fmt.Sprintf("list of caches: %d of %d are used, as there are descriptors for so many", used, len(n.whole)))
	return out
}
