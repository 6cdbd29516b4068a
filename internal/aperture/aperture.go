// Package aperture chooses, for each router of a tier, the part of a large fleet that it keeps connections
// to: deterministic aperture subsetting, after Finagle's. Where a fleet has more caches than a router has
// descriptors, a router that uses all of them opens a connection for most of its requests.
//
// Caches and routers stand on one ring: a cache in the segment that the hash of its name gives, of as many
// segments as there are routers; a router takes so many segments from its own on. So each cache is used by equally
// many routers, whatever the fleet, and one that comes or goes changes nothing for the others. It does no I/O
// and decides nothing about single requests.
package aperture

import (
	"errors"
	"hash/fnv"
)

// Aperture is a router's place among the others. Use New.
type Aperture struct {
	self, peers int
	most        int // caches that it can keep connections to
	segments    int // that it takes, from its own on
}

// margin is the part of a ring's bound that is left free when it takes more segments: names fall on segments by
// chance, and a fleet that grows and shrinks by one cache must not move the aperture each time.
const margin = 0.1

// New returns the ring of the router of a number, from 0, among so many. Until Resize it takes all.
func New(self, peers, most int) (*Aperture, error) {
	if peers < 1 || self < 0 || self >= peers {
		return nil, errors.New("aperture: a router's number is below that of routers, and there is one at least")
	}
	if most < 1 {
		return nil, errors.New("aperture: a router keeps connections to one cache at least")
	}
	return &Aperture{self: self, peers: peers, most: most, segments: peers}, nil
}

// Resize fits the aperture to a fleet of so many caches. It reports whether the aperture has changed.
func (r *Aperture) Resize(caches int) bool {
	before := r.segments
	fits := func(most float64) int { // segments that hold at most so many caches; one has to be taken
		if caches == 0 {
			return r.peers
		}
		return min(r.peers, max(1, int(most*float64(r.peers)/float64(caches))))
	}
	if n := fits(float64(r.most)); n < r.segments {
		r.segments = n
	} else if n := fits(float64(r.most) * (1 - margin)); n > r.segments {
		r.segments = n
	}
	return r.segments != before
}

// CoversAll reports whether all caches are taken.
func (r *Aperture) CoversAll() bool { return r.segments == r.peers }

// Covers reports whether the router uses a cache.
func (r *Aperture) Covers(name string) bool {
	if r.CoversAll() {
		return true
	}
	h := fnv.New64a()
	h.Write([]byte(name))
	x := h.Sum64()
	x ^= x >> 33 // short names that differ in their last letter only are far apart after that
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	segment := int(x % uint64(r.peers))
	return (segment-r.self+r.peers)%r.peers < r.segments
}
