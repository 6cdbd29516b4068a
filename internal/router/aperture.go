package router

import (
	"log/slog"
	"maps"
	"slices"

	"starlingwinch/decide"
	"starlingwinch/internal/aperture"
	"starlingwinch/internal/endpoints"
)

// endpointSubset restricts a fleet that has more caches than the router has descriptors to the part that its aperture
// covers. Without it, nearly every request would open a connection.
type endpointSubset struct {
	aperture *aperture.Aperture
	all      map[string]subsetEntry // the whole list, by name
}

// subsetEntry is an endpoint of the whole list.
type subsetEntry struct {
	entry   decide.Endpoint
	address string
}

// newEndpointSubset returns a subset for so many connections; nil where the router's number among its peers is not known or
// its descriptors are enough for any fleet.
func newEndpointSubset(cfg *Config, connections int) *endpointSubset {
	covered, err := aperture.New(cfg.RouterNumber, cfg.RouterCount, connections)
	if err != nil {
		return nil
	}
	return &endpointSubset{aperture: covered, all: map[string]subsetEntry{}}
}

// restrict takes in a change of the whole list, and returns the change of the part that the aperture covers.
func (s *endpointSubset) restrict(list endpoints.Publish, logger *slog.Logger) endpoints.Publish {
	for i, e := range list.Endpoints {
		s.update(e, list.Addresses[i])
	}
	before := *s.aperture
	if s.aperture.Resize(len(s.all)) {
		return s.afterResize(list, &before, logger)
	}
	if s.aperture.CoversAll() {
		return list
	}
	restricted := endpoints.Publish{Kind: list.Kind}
	for i, e := range list.Endpoints {
		if s.aperture.Covers(e.ID) {
			restricted.Endpoints = append(restricted.Endpoints, e)
			restricted.Addresses = append(restricted.Addresses, list.Addresses[i])
		}
	}
	return restricted
}

// update takes one endpoint into the whole list. A drain may come without an address.
func (s *endpointSubset) update(e decide.Endpoint, address string) {
	if e.Status == decide.Removed {
		delete(s.all, e.ID)
		return
	}
	if address == "" {
		address = s.all[e.ID].address
	}
	s.all[e.ID] = subsetEntry{e, address}
}

// subsetChange is a change of the covered part, in two halves: removals and drains come first.
type subsetChange struct {
	leaving, serving []subsetEntry
}

// add adds an endpoint to its half of the change.
func (c *subsetChange) add(e decide.Endpoint, address string) {
	if e.Status == decide.Serving {
		c.serving = append(c.serving, subsetEntry{e, address})
	} else {
		c.leaving = append(c.leaving, subsetEntry{e, address})
	}
}

// remove adds the removal of an endpoint.
func (c *subsetChange) remove(id string) {
	c.leaving = append(c.leaving, subsetEntry{entry: decide.Endpoint{ID: id, Status: decide.Removed}})
}

// afterResize returns the change that a resized aperture makes of a change of the whole list: endpoints that it covers no
// more are removed, those that it covers now are added, beside those that have changed themselves.
func (s *endpointSubset) afterResize(list endpoints.Publish, before *aperture.Aperture, logger *slog.Logger) endpoints.Publish {
	var change subsetChange
	inList := map[string]bool{}
	for i, e := range list.Endpoints {
		inList[e.ID] = true
		if e.Status == decide.Removed || s.aperture.Covers(e.ID) {
			change.add(e, list.Addresses[i])
		} else if before.Covers(e.ID) {
			change.remove(e.ID)
		}
	}
	used := 0
	for _, id := range slices.Sorted(maps.Keys(s.all)) {
		wasCovered, isCovered := before.Covers(id), s.aperture.Covers(id)
		if isCovered {
			used++
		}
		switch {
		case inList[id] || wasCovered == isCovered:
		case isCovered:
			change.add(s.all[id].entry, s.all[id].address)
		default:
			change.remove(id)
		}
	}
	restricted := endpoints.Publish{Kind: list.Kind}
	for _, e := range append(change.leaving, change.serving...) {
		restricted.Endpoints = append(restricted.Endpoints, e.entry)
		restricted.Addresses = append(restricted.Addresses, e.address)
	}
	logger.Info("endpoint subset resized", "used", used, "listed", len(s.all))
	return restricted
}
