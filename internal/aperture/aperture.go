// Package aperture chooses, for each router, the part of a large fleet of caches that it keeps connections to: deterministic
// aperture subsetting, after Twitter's Finagle. A router that uses all caches of a fleet that is larger than its number of
// descriptors opens a connection for most of its requests.
//
// Caches and routers stand on one ring of as many segments as there are routers. A cache stands in the segment that the hash of
// its name gives; a router uses a number of segments from its own on. So each cache is used by equally many routers, whatever
// the fleet, and one that comes or goes changes nothing for the others. The package does no I/O, and decides nothing about
// single requests.
package aperture

import (
	"errors"
	"hash/fnv"
)

// Errors of New.
var (
	errRouterNumber = errors.New("aperture: a router's number is below that of routers, and there is one at least")
	errMaxCaches    = errors.New("aperture: a router keeps connections to one cache at least")
)

// growMargin is the fraction of maxCaches that stays free when the aperture grows: the hash does not spread names evenly, and a
// fleet that grows and shrinks by one cache must not change the aperture each time.
const growMargin = 0.1

// Aperture is the part of the ring that one router uses. Use New.
type Aperture struct {
	router    int // its number, from 0
	routers   int // their number, and that of segments
	maxCaches int // that the router can keep connections to
	segments  int // that the router uses, from its own on; changed by Resize
}

// New returns the aperture of the router with a number, from 0, among so many, which can keep connections to maxCaches. It
// covers all caches until Resize is called.
func New(router, routers, maxCaches int) (*Aperture, error) {
	if routers < 1 || router < 0 || router >= routers {
		return nil, errRouterNumber
	}
	if maxCaches < 1 {
		return nil, errMaxCaches
	}
	return &Aperture{router: router, routers: routers, maxCaches: maxCaches, segments: routers}, nil
}

// Resize fits the aperture to a fleet of so many caches, and reports whether it has changed.
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

// segmentsFor returns the number of segments that hold at most maxCaches of a fleet, and at least one.
func (a *Aperture) segmentsFor(maxCaches float64, caches int) int {
	if caches == 0 {
		return a.routers
	}
	return min(a.routers, max(1, int(maxCaches*float64(a.routers)/float64(caches))))
}

// CoversAll reports whether the router uses all caches.
func (a *Aperture) CoversAll() bool { return a.segments == a.routers }

// Covers reports whether the router uses a cache.
func (a *Aperture) Covers(name string) bool {
	if a.CoversAll() {
		return true
	}
	segment := int(hash(name) % uint64(a.routers))
	distance := (segment - a.router + a.routers) % a.routers
	return distance < a.segments
}

// hash returns a hash of a name: FNV-1a, mixed by a part of MurmurHash3's finalizer so that short names that differ in their
// last letter alone are spread too.
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
