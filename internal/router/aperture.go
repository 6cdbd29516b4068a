package router

import (
	"log/slog"
	"maps"
	"slices"

	"starlingwinch/decide"
	"starlingwinch/internal/aperture"
	"starlingwinch/internal/endpoints"
)

// endpointSubset restricts the endpoint list to the caches that the router's aperture covers, for a fleet with more caches than
// the router has descriptors. Without this restriction, nearly every request would open a connection.
type endpointSubset struct {
	aperture *aperture.Aperture
	all      map[string]subsetEntry // the complete endpoint list, by name
}

// subsetEntry is an endpoint of the complete list, with its address.
type subsetEntry struct {
	entry   decide.Endpoint
	address string
}

// newEndpointSubset returns a subset for the given number of connections. It returns nil if the router's number among its peers
// is unknown or its descriptors are enough for a fleet of any size.
func newEndpointSubset(cfg *Config, connections int) *endpointSubset {
	covered, err := aperture.New(cfg.RouterNumber, cfg.RouterCount, connections)
	if err != nil {
		return nil
	}
	return &endpointSubset{aperture: covered, all: map[string]subsetEntry{}}
}

// restrict updates the complete list with a change, and returns the part of the change that concerns the covered caches. If the
// change resizes the aperture, the result also adds the caches that are newly covered and removes those that no longer are.
func (s *endpointSubset) restrict(list endpoints.Publish, logger *slog.Logger) endpoints.Publish {
	for i, e := range list.Endpoints {
		s.updateEntry(e, list.Addresses[i])
	}
	before := *s.aperture
	if s.aperture.Resize(len(s.all)) {
		return s.changeAfterResize(list, &before, logger)
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

// updateEntry updates one endpoint of the complete list. An update that drains a cache may omit the address.
func (s *endpointSubset) updateEntry(e decide.Endpoint, address string) {
	if e.Status == decide.Removed {
		delete(s.all, e.ID)
		return
	}
	if address == "" {
		address = s.all[e.ID].address
	}
	s.all[e.ID] = subsetEntry{e, address}
}

// subsetChange is a change to the covered caches. Removals and drains (leaving) are published before serving endpoints.
type subsetChange struct {
	leaving, serving []subsetEntry
}

// add adds an endpoint to serving or leaving, according to its status.
func (c *subsetChange) add(e decide.Endpoint, address string) {
	if e.Status == decide.Serving {
		c.serving = append(c.serving, subsetEntry{e, address})
	} else {
		c.leaving = append(c.leaving, subsetEntry{e, address})
	}
}

// remove adds the removal of an endpoint to leaving.
func (c *subsetChange) remove(id string) {
	c.leaving = append(c.leaving, subsetEntry{entry: decide.Endpoint{ID: id, Status: decide.Removed}})
}

// changeAfterResize returns the change to the covered caches when a change to the complete list has resized the aperture. The
// result removes endpoints that are no longer covered, adds endpoints that are newly covered, and includes the covered endpoints
// of the list change itself.
func (s *endpointSubset) changeAfterResize(list endpoints.Publish, before *aperture.Aperture, logger *slog.Logger) endpoints.Publish {
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
