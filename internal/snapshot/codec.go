package snapshot

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"starlingwinch/decide"
)

// Kinds of sections. A reader skips those that it does not know; a kind never changes its form.
const (
	KindRouter = 1
	KindZones  = 2
	KindCaches = 3
	KindKeys   = 4
)

// Section is a part of the state in bytes.
type Section struct {
	Kind uint16
	Body []byte
}

// Bounds of what is written and read.
const (
	MaxEndpoints = 20_000
	MaxZones     = 1_000
	MaxIDBytes   = 1_024 // bytes of an id; a longer one is left out
)

// flags of a cache.
const (
	flagHealthy = 1 << iota
	flagPrompt
)

// Encode writes a state. All figures are big-endian.
func Encode(s Snapshot) []Section {
	var b []byte
	b = putTime(b, s.At)
	for _, v := range [...]float64{s.Router.OriginLimit, s.Router.OriginMissRatio, s.Router.RetryBudget, s.Router.ErrorRatio, s.Router.LostRatio} {
		b = putFigure(b, v)
	}
	return []Section{{KindRouter, b}, {KindZones, encodeZones(s.Router.Zones)}, {KindCaches, encodeCaches(s.Caches)},
		{KindKeys, encodeKeys(s.Caches)}}
}

func encodeZones(zones []decide.ZoneSnapshot) []byte {
	b := make([]byte, 4)
	n := uint32(0)
	for _, z := range zones {
		if z.FailedConnections > 0 && len(z.Name) <= MaxIDBytes && n < MaxZones {
			n++
			b = putText(b, z.Name)
			b = append(b, byte(min(z.FailedConnections, 255)))
		}
	}
	binary.BigEndian.PutUint32(b, n)
	return b
}

func encodeCaches(caches []Endpoint) []byte {
	b := make([]byte, 4, 4+80*len(caches))
	n := uint32(0)
	for _, c := range caches {
		if len(c.ID) > MaxIDBytes || n == MaxEndpoints {
			continue
		}
		n++
		b = putText(b, c.ID)
		b = putTime(b, c.StartedAt)
		b = putTime(b, c.At)
		b = putFigure(b, c.ConcurrencyLimit)
		b = putFigure(b, c.LateRatio)
		b = putFigure(b, c.ErrorRatio)
		flags := byte(0)
		if c.Healthy {
			flags |= flagHealthy
		}
		if c.Responsive {
			flags |= flagPrompt
		}
		b = append(b, flags, byte(min(max(c.FailedHealthChecks, 0), 255)))
	}
	binary.BigEndian.PutUint32(b, n)
	return b
}

// encodeKeys writes the keys of those caches that have any, by their place among the caches.
func encodeKeys(caches []Endpoint) []byte {
	b := make([]byte, 4)
	n, place := uint32(0), uint32(0)
	for _, c := range caches {
		if len(c.ID) > MaxIDBytes || place == MaxEndpoints {
			continue
		}
		place++
		if len(c.CachedKeys) == 0 {
			continue
		}
		n++
		b = binary.BigEndian.AppendUint32(b, place-1)
		b = putTime(b, c.KeysAt)
		b = binary.BigEndian.AppendUint32(b, uint32(len(c.CachedKeys)))
		for _, key := range c.CachedKeys {
			b = binary.BigEndian.AppendUint64(b, key)
		}
	}
	binary.BigEndian.PutUint32(b, n)
	return b
}

func putTime(b []byte, t Time) []byte { return binary.BigEndian.AppendUint64(b, uint64(t)) }

func putFigure(b []byte, v float64) []byte {
	return binary.BigEndian.AppendUint64(b, math.Float64bits(v))
}

func putText(b []byte, s string) []byte {
	return append(binary.BigEndian.AppendUint16(b, uint16(len(s))), s...)
}

// Decode reads a state. What is missing is nothing; what does not fit its form is an error, as the checksum has held.
func Decode(sections []Section) (Snapshot, error) {
	var s Snapshot
	seen := map[uint16]bool{}
	var keys []byte
	for _, sec := range sections {
		if seen[sec.Kind] {
			return Snapshot{}, fmt.Errorf("section %d stands twice", sec.Kind)
		}
		seen[sec.Kind] = true
		r := reader{b: sec.Body}
		switch sec.Kind {
		case KindRouter:
			s.At = r.time()
			for _, to := range [...]*float64{&s.Router.OriginLimit, &s.Router.OriginMissRatio, &s.Router.RetryBudget, &s.Router.ErrorRatio,
				&s.Router.LostRatio} {
				*to = r.figure()
			}
		case KindZones:
			s.Router.Zones = r.zones()
		case KindCaches:
			s.Caches = r.caches()
		case KindKeys:
			keys = sec.Body
			continue
		default:
			continue
		}
		if err := r.end(); err != nil {
			return Snapshot{}, fmt.Errorf("section %d: %w", sec.Kind, err)
		}
	}
	if keys != nil {
		r := reader{b: keys}
		r.keys(s.Caches)
		if err := r.end(); err != nil {
			return Snapshot{}, fmt.Errorf("section %d: %w", KindKeys, err)
		}
	}
	return s, nil
}

var (
	errShort = errors.New("ends too early")
	errOrder = errors.New("not in order")
	errMany  = errors.New("more entries than it may have")
)

// reader reads a section. After an error it gives zeros.
type reader struct {
	b   []byte
	err error
}

func (r *reader) take(n int) []byte {
	if r.err != nil || n > len(r.b) {
		r.fail(errShort)
		return nil
	}
	part := r.b[:n]
	r.b = r.b[n:]
	return part
}

func (r *reader) fail(err error) {
	if r.err == nil {
		r.err = err
	}
}

func (r *reader) end() error {
	if r.err == nil && len(r.b) > 0 {
		return fmt.Errorf("%d bytes too many", len(r.b))
	}
	return r.err
}

func (r *reader) byte() byte {
	if b := r.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *reader) long() uint64 {
	if b := r.take(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

func (r *reader) number() uint32 {
	if b := r.take(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (r *reader) time() Time { return Time(r.long()) }

func (r *reader) figure() float64 { return math.Float64frombits(r.long()) }

func (r *reader) text() string {
	b := r.take(2)
	if b == nil {
		return ""
	}
	n := int(binary.BigEndian.Uint16(b))
	if n > MaxIDBytes {
		r.fail(errMany)
		return ""
	}
	return string(r.take(n))
}

// count is a number of entries that take so many bytes each at least. The danger: a count of 4 billion is memory.
func (r *reader) count(least, most int) int {
	n := r.number()
	if uint64(n) > uint64(most) {
		r.fail(errMany)
		return 0
	}
	if int(n)*least > len(r.b) {
		r.fail(errShort)
		return 0
	}
	return int(n)
}

func (r *reader) zones() []decide.ZoneSnapshot {
	n := r.count(3, MaxZones)
	var all []decide.ZoneSnapshot
	for i := range n {
		z := decide.ZoneSnapshot{Name: r.text(), FailedConnections: int(r.byte())}
		if i > 0 && z.Name <= all[i-1].Name {
			r.fail(errOrder)
		}
		if r.err != nil {
			return nil
		}
		all = append(all, z)
	}
	return all
}

func (r *reader) caches() []Endpoint {
	n := r.count(44, MaxEndpoints)
	all := make([]Endpoint, 0, n)
	for i := range n {
		var c Endpoint
		c.ID = r.text()
		c.StartedAt, c.At = r.time(), r.time()
		c.ConcurrencyLimit, c.LateRatio, c.ErrorRatio = r.figure(), r.figure(), r.figure()
		flags := r.byte()
		c.Healthy, c.Responsive = flags&flagHealthy != 0, flags&flagPrompt != 0
		c.FailedHealthChecks = int(r.byte())
		if i > 0 && c.ID <= all[i-1].ID {
			r.fail(errOrder)
		}
		if r.err != nil {
			return nil
		}
		all = append(all, c)
	}
	return all
}

func (r *reader) keys(caches []Endpoint) {
	n, next := r.count(16, MaxEndpoints), 0
	for range n {
		place := int(r.number())
		if r.err == nil && (place < next || place >= len(caches)) {
			r.fail(errOrder)
		}
		at := r.time()
		many := r.count(8, math.MaxInt32)
		if r.err != nil {
			return
		}
		c := &caches[place]
		next = place + 1
		c.KeysAt, c.CachedKeys = at, make([]uint64, many)
		for i := range c.CachedKeys {
			c.CachedKeys[i] = r.long()
			if i > 0 && c.CachedKeys[i] <= c.CachedKeys[i-1] {
				r.fail(errOrder)
				return
			}
		}
	}
}
