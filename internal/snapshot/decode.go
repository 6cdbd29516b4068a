package snapshot

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"starlingwinch/decide"
)

// Causes of a SectionError.
var (
	errTruncated = errors.New("truncated")
	errOrder     = errors.New("entries are not in ascending order")
	errTooLarge  = errors.New("size limit exceeded")
)

// SectionError reports a section that could not be decoded, and the cause.
type SectionError struct {
	Kind  uint16
	Cause error
}

// Error implements error.
func (e *SectionError) Error() string { return fmt.Sprintf("section %d: %v", e.Kind, e.Cause) }

// Unwrap returns the cause.
func (e *SectionError) Unwrap() error { return e.Cause }

// Decode decodes a snapshot from its sections. The part of a missing section stays empty. A malformed section is an error,
// because the caller has already verified the checksum.
func Decode(sections []Section) (Snapshot, error) {
	var s Snapshot
	seen := map[uint16]bool{}
	var keys []byte
	for _, section := range sections {
		if seen[section.Kind] {
			return Snapshot{}, fmt.Errorf("section %d occurs twice", section.Kind)
		}
		seen[section.Kind] = true
		if section.Kind == KindKeys {
			keys = section.Body // decoded last: the section of the caches may follow
			continue
		}
		if err := decodeSection(&s, section); err != nil {
			return Snapshot{}, err
		}
	}
	if keys == nil {
		return s, nil
	}
	r := reader{rest: keys}
	r.keys(s.Caches)
	if err := r.finish(); err != nil {
		return Snapshot{}, &SectionError{KindKeys, err}
	}
	return s, nil
}

// decodeSection decodes a section that does not refer to another section.
func decodeSection(s *Snapshot, section Section) error {
	r := reader{rest: section.Body}
	switch section.Kind {
	case KindRouter:
		r.router(s)
	case KindZones:
		s.Router.Zones = r.zones()
	case KindCaches:
		s.Caches = r.endpoints()
	default:
		return nil
	}
	if err := r.finish(); err != nil {
		return &SectionError{section.Kind, err}
	}
	return nil
}

// reader reads the body of a section sequentially. After the first error, all reads return zero values and the error does
// not change.
type reader struct {
	rest []byte // unread bytes
	err  error  // the first error
}

// take returns the next n bytes, or nil if fewer are left.
func (r *reader) take(n int) []byte {
	if r.err != nil || n > len(r.rest) {
		r.fail(errTruncated)
		return nil
	}
	part := r.rest[:n]
	r.rest = r.rest[n:]
	return part
}

func (r *reader) fail(err error) {
	if r.err == nil {
		r.err = err
	}
}

// finish returns the first error. Unread bytes at the end are an error.
func (r *reader) finish() error {
	if r.err == nil && len(r.rest) > 0 {
		return fmt.Errorf("%d trailing bytes", len(r.rest))
	}
	return r.err
}

func (r *reader) byte() byte {
	if b := r.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *reader) uint32() uint32 {
	if b := r.take(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (r *reader) uint64() uint64 {
	if b := r.take(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

func (r *reader) time() Time { return Time(r.uint64()) }

func (r *reader) float() float64 { return math.Float64frombits(r.uint64()) }

// text reads the length of a text and then the text.
func (r *reader) text() string {
	b := r.take(2)
	if b == nil {
		return ""
	}
	n := int(binary.BigEndian.Uint16(b))
	if n > MaxIDBytes {
		r.fail(errTooLarge)
		return ""
	}
	return string(r.take(n))
}

// count reads a number of entries of at least minBytes each. It rejects a number that does not fit in the remaining bytes,
// because callers allocate memory for that many entries.
func (r *reader) count(minBytes, maxCount int) int {
	n := r.uint32()
	if uint64(n) > uint64(maxCount) {
		r.fail(errTooLarge)
		return 0
	}
	if int(n)*minBytes > len(r.rest) {
		r.fail(errTruncated)
		return 0
	}
	return int(n)
}

func (r *reader) router(s *Snapshot) {
	s.At = r.time()
	s.Router.OriginLimit = r.float()
	s.Router.OriginMissRatio = r.float()
	s.Router.RetryBudget = r.float()
	s.Router.ErrorRatio = r.float()
	s.Router.LostRatio = r.float()
}

func (r *reader) zones() []decide.ZoneSnapshot {
	count := r.count(minZoneBytes, MaxZones)
	var zones []decide.ZoneSnapshot
	for i := range count {
		zone := decide.ZoneSnapshot{Name: r.text(), FailedConnections: int(r.byte())}
		if i > 0 && zone.Name <= zones[i-1].Name {
			r.fail(errOrder)
		}
		if r.err != nil {
			return nil
		}
		zones = append(zones, zone)
	}
	return zones
}

func (r *reader) endpoints() []Endpoint {
	count := r.count(minEndpointBytes, MaxEndpoints)
	endpoints := make([]Endpoint, 0, count)
	for i := range count {
		c := r.endpoint()
		if i > 0 && c.ID <= endpoints[i-1].ID {
			r.fail(errOrder)
		}
		if r.err != nil {
			return nil
		}
		endpoints = append(endpoints, c)
	}
	return endpoints
}

func (r *reader) endpoint() Endpoint {
	var c Endpoint
	c.ID = r.text()
	c.StartedAt = r.time()
	c.At = r.time()
	c.ConcurrencyLimit = r.float()
	c.LateRatio = r.float()
	c.ErrorRatio = r.float()
	flags := r.byte()
	c.Healthy = flags&flagHealthy != 0
	c.Responsive = flags&flagResponsive != 0
	c.FailedHealthChecks = int(r.byte())
	return c
}

// keys reads the keys of caches into the entries of the caches. Indices and keys must be in ascending order.
func (r *reader) keys(endpoints []Endpoint) {
	count, minIndex := r.count(minKeysBytes, MaxEndpoints), 0
	for range count {
		index := int(r.uint32())
		if r.err == nil && (index < minIndex || index >= len(endpoints)) {
			r.fail(errOrder)
		}
		at := r.time()
		keyCount := r.count(keyBytes, math.MaxInt32)
		if r.err != nil {
			return
		}
		minIndex = index + 1
		endpoints[index].KeysAt = at
		endpoints[index].CachedKeys = r.ascending(keyCount)
		if r.err != nil {
			return
		}
	}
}

// ascending reads count keys, which must be in strictly ascending order.
func (r *reader) ascending(count int) []uint64 {
	keys := make([]uint64, count)
	for i := range keys {
		keys[i] = r.uint64()
		if i > 0 && keys[i] <= keys[i-1] {
			r.fail(errOrder)
			break
		}
	}
	return keys
}
