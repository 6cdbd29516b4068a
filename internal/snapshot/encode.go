package snapshot

import (
	"encoding/binary"
	"math"

	"starlingwinch/decide"
)

// Kinds of sections. Decode skips unknown kinds, and the encoding of a kind never changes.
const (
	KindRouter = 1 // Snapshot.At and the figures of the router as a whole
	KindZones  = 2 // zones with failed connections
	KindCaches = 3 // entries of caches, without their keys
	KindKeys   = 4 // keys of caches; a cache is identified by its index in the KindCaches section
)

// Section is one encoded part of a snapshot.
type Section struct {
	Kind uint16
	Body []byte
}

// Size limits of a snapshot, for encoding and decoding.
const (
	MaxEndpoints = 20_000 // caches
	MaxZones     = 1_000  // zones
	MaxIDBytes   = 1_024  // bytes of an ID or zone name; Encode omits entries with longer ones
)

// Bits of a cache's flags.
const (
	flagHealthy = 1 << iota
	flagResponsive
)

// maxCounter is the largest value of a counter, which is encoded in one byte.
const maxCounter = math.MaxUint8

// Sizes of entries in bytes.
const (
	countBytes           = 4                      // a number of entries
	minZoneBytes         = 2 + 1                  // an empty name, a counter
	minEndpointBytes     = 2 + 5*8 + 2            // an empty ID, times and figures, flags and a counter
	minKeysBytes         = countBytes + 8 + 4     // an index, a time and a number of keys
	keyBytes             = 8                      // one key
	typicalEndpointBytes = minEndpointBytes + 4*9 // initial capacity per cache
)

// Encode encodes a snapshot as sections. All numbers are big-endian.
func Encode(s Snapshot) []Section {
	return []Section{
		{KindRouter, encodeRouter(s)},
		{KindZones, encodeZones(s.Router.Zones)},
		{KindCaches, encodeEndpoints(s.Caches)},
		{KindKeys, encodeKeys(s.Caches)},
	}
}

func encodeRouter(s Snapshot) []byte {
	body := appendTime(nil, s.At)
	body = appendFloat(body, s.Router.OriginLimit)
	body = appendFloat(body, s.Router.OriginMissRatio)
	body = appendFloat(body, s.Router.RetryBudget)
	body = appendFloat(body, s.Router.ErrorRatio)
	return appendFloat(body, s.Router.LostRatio)
}

func encodeZones(zones []decide.ZoneSnapshot) []byte {
	body := make([]byte, countBytes)
	count := uint32(0)
	for _, zone := range zones {
		if zone.FailedConnections <= 0 || len(zone.Name) > MaxIDBytes || count == MaxZones {
			continue
		}
		count++
		body = appendText(body, zone.Name)
		body = append(body, byte(min(zone.FailedConnections, maxCounter)))
	}
	binary.BigEndian.PutUint32(body, count)
	return body
}

func encodeEndpoints(endpoints []Endpoint) []byte {
	body := make([]byte, countBytes, countBytes+typicalEndpointBytes*len(endpoints))
	count := uint32(0)
	for i := range endpoints {
		if len(endpoints[i].ID) > MaxIDBytes || count == MaxEndpoints {
			continue
		}
		count++
		body = appendEndpoint(body, &endpoints[i])
	}
	binary.BigEndian.PutUint32(body, count)
	return body
}

func appendEndpoint(body []byte, c *Endpoint) []byte {
	body = appendText(body, c.ID)
	body = appendTime(body, c.StartedAt)
	body = appendTime(body, c.At)
	body = appendFloat(body, c.ConcurrencyLimit)
	body = appendFloat(body, c.LateRatio)
	body = appendFloat(body, c.ErrorRatio)
	flags := byte(0)
	if c.Healthy {
		flags |= flagHealthy
	}
	if c.Responsive {
		flags |= flagResponsive
	}
	return append(body, flags, byte(min(max(c.FailedHealthChecks, 0), maxCounter)))
}

// encodeKeys encodes the keys of the caches that have keys. A cache is identified by its index among the entries that
// encodeEndpoints writes.
func encodeKeys(endpoints []Endpoint) []byte {
	body := make([]byte, countBytes)
	count, index := uint32(0), uint32(0)
	for _, c := range endpoints {
		if len(c.ID) > MaxIDBytes || index == MaxEndpoints {
			continue
		}
		index++
		if len(c.CachedKeys) == 0 {
			continue
		}
		count++
		body = binary.BigEndian.AppendUint32(body, index-1)
		body = appendTime(body, c.KeysAt)
		body = binary.BigEndian.AppendUint32(body, uint32(len(c.CachedKeys)))
		for _, key := range c.CachedKeys {
			body = binary.BigEndian.AppendUint64(body, key)
		}
	}
	binary.BigEndian.PutUint32(body, count)
	return body
}

func appendTime(b []byte, t Time) []byte { return binary.BigEndian.AppendUint64(b, uint64(t)) }

func appendFloat(b []byte, v float64) []byte {
	return binary.BigEndian.AppendUint64(b, math.Float64bits(v))
}

// appendText appends the length of a text in two bytes, followed by the text.
func appendText(b []byte, text string) []byte {
	return append(binary.BigEndian.AppendUint16(b, uint16(len(text))), text...)
}
