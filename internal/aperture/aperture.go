// Package aperture selects the subset of a large fleet of caches to which a router keeps connections. It implements
// deterministic aperture subsetting, after Twitter's Finagle. Without a subset, a router that has fewer descriptors than the
// fleet has caches would open a new connection for most of its requests.
//
// Caches and routers are placed on a ring that has one segment per router. A cache belongs to the segment given by the hash of
// its name; a router uses a number of consecutive segments that begin with its own segment. Each cache is therefore used by the
// same number of routers for any fleet, and adding or removing a cache does not affect the other caches. The package does no
// I/O and makes no decisions about individual requests.
package aperture

import (
	"errors"
	"hash/fnv"
)

// Errors that New returns.
var (
	errRouterNumber = errors.New("aperture: the router number must be at least 0 and less than the number of routers")
	errMaxCaches    = errors.New("aperture: the maximum number of caches must be at least 1")
)

// growMargin is the fraction of maxCaches that must remain free for the aperture to grow: the hash does not distribute names
// evenly, and a fleet that alternately grows and shrinks by one cache must not change the aperture each time.
const growMargin = 0.1

// Aperture is the part of the ring that one router uses. Use New to create one.
type Aperture struct {
	router    int // number of the router, from 0
	routers   int // number of routers, which is also the number of segments
	maxCaches int // maximum number of caches to which the router can keep connections
	segments  int // number of consecutive segments in use, beginning with the router's own; changed by Resize
}

// New returns the aperture of one of several routers, numbered from 0, that can keep connections to maxCaches caches. The
// aperture covers all caches until Resize is called.
func New(router, routers, maxCaches int) (*Aperture, error) {
	if routers < 1 || router < 0 || router >= routers {
		return nil, errRouterNumber
	}
	if maxCaches < 1 {
		return nil, errMaxCaches
	}
	return &Aperture{router: router, routers: routers, maxCaches: maxCaches, segments: routers}, nil
}

// Resize adjusts the aperture to the number of caches in the fleet, and reports whether the aperture has changed.
func (a *Aperture) Resize(caches int) bool {
	before := a.segments
	shrunk := a.segmentsFor(float64(a.maxCaches), caches)
	grown := a.segmentsFor(float64(a.maxCaches)*(1-growMargin), caches)
	switch {
	case shrunk < a.segments:
		a.segments = shrunk
	case grown > a.segments:
		a.segments = grown
	}
	return a.segments != before
}

// segmentsFor returns the number of segments, at least one, that hold on average at most maxCaches of a fleet of the given size.
func (a *Aperture) segmentsFor(maxCaches float64, caches int) int {
	if caches == 0 {
		return a.routers
	}
	return min(a.routers, max(1, int(maxCaches*float64(a.routers)/float64(caches))))
}

// CoversAll reports whether the router uses all caches of the fleet.
func (a *Aperture) CoversAll() bool { return a.segments == a.routers }

// Covers reports whether the router uses the named cache.
func (a *Aperture) Covers(name string) bool {
	if a.CoversAll() {
		return true
	}
	segment := int(hash(name) % uint64(a.routers))
	distance := (segment - a.router + a.routers) % a.routers
	return distance < a.segments
}

// hash returns a hash of a name: FNV-1a, followed by a part of MurmurHash3's finalizer, which also distributes short names that
// differ only in their last letter.
func hash(name string) uint64 {
	const mixer = 0xff51afd7ed558ccd
	fnv1a := fnv.New64a()
	fnv1a.Write([]byte(name))
	sum := fnv1a.Sum64()
	sum ^= sum >> 33
	sum *= mixer
	sum ^= sum >> 33
	return sum
}
