package gossip

import (
	"errors"
	"net/netip"

	"google.golang.org/protobuf/encoding/protowire"
)

// A datagram consists of a version byte, a kind byte, and fields in the wire format of Protocol Buffers. Each field occurs at most
// once, except updates. An unknown, out-of-range or truncated field makes the entire datagram unreadable; a format with
// other fields needs another version.

// version is the version of the datagram format.
const version = 1

// kind is the kind of a datagram.
type kind uint8

// Kinds of datagrams.
const (
	ping        kind = iota + 1
	pingRequest      // asks a member to ping another member
	ack              // answers a ping, or a pingRequest whose ping was acknowledged
	nack             // answers a pingRequest whose ping was not acknowledged
	digests          // digests of parts of the view
	differences      // answers digests with the members of the parts that differ
	query            // an observer asks for a page of the view
	page             // answers a query
	kinds
)

// header is the information about the sender that each datagram of a member carries.
type header struct {
	kind        kind
	name        string
	boot        uint32 // random number that identifies the sender's process
	sequence    uint64 // sequence number; increases with each datagram of the sender's process
	incarnation uint64
	leaving     bool
	settled     bool
	runTime     uint64 // how long the sender's process has run, in tenths of a second plus 1
	digest      uint64 // digest of the sender's view
}

// datagram is a decoded datagram. Its byte slices share memory with the encoded datagram.
type datagram struct {
	header
	nonce   uint32   // matches an answer to its request
	target  string   // name of the member probed indirectly
	addr    string   // address at which the sender is reached
	parts   []uint32 // digests of the parts of the view
	agreed  []byte   // bit set over the sorted members: those that have announced the digest
	first   uint64   // index of the first member of a page
	total   uint64   // number of members
	age     uint64   // milliseconds since settled last changed
	updates []update
}

// update is a claim about a member.
type update struct {
	name        string
	state       State
	incarnation uint64
	boot        uint32
	revision    uint64 // revision of info within the process identified by boot; 0 if the claim does not include info
	info        Info
	addr        string // address that the member announced
	by          string // router that suspects the member
	age         uint64 // milliseconds in state; only in pages
}

// Field numbers.
const (
	fieldName protowire.Number = iota + 1
	fieldBoot
	fieldSequence
	fieldIncarnation
	fieldRunTime
	fieldLeaving
	fieldSettled
	fieldDigest
	fieldNonce
	fieldTarget
	fieldAddr
	fieldParts
	fieldAgreed
	fieldFirst
	fieldTotal
	fieldAge
	fieldUpdate
	fieldState
	fieldRevision
	fieldList
	fieldListDigest
	fieldConfig
	fieldBuild
	fieldBy
	fieldPadding
)

const (
	viewParts      = 16 // number of parts of the view, each of which has a digest
	maxUpdates     = 16 // maximum number of updates in a datagram
	maxPackedAddr  = 18 // maximum bytes of an address: 16 for IPv6 and 2 for the port
	headBytes      = 2  // bytes of version and kind
	updateTagBytes = 2  // bytes of an update's tag
)

// errUnreadable is the only error for an invalid datagram. Receivers handle all faults of a datagram alike, so the error does not
// distinguish them.
var errUnreadable = errors.New("fleet: not a datagram of this version")

func appendString(b []byte, n protowire.Number, s string) []byte {
	if s == "" {
		return b
	}
	return protowire.AppendString(protowire.AppendTag(b, n, protowire.BytesType), s)
}

func appendBytes(b []byte, n protowire.Number, v []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(b, n, protowire.BytesType), v)
}

func appendUint(b []byte, n protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, n, protowire.VarintType), v)
}

func appendFixed32(b []byte, n protowire.Number, v uint32) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendFixed32(protowire.AppendTag(b, n, protowire.Fixed32Type), v)
}

func appendFixed64(b []byte, n protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendFixed64(protowire.AppendTag(b, n, protowire.Fixed64Type), v)
}

func appendBool(b []byte, n protowire.Number, v bool) []byte {
	if !v {
		return b
	}
	return appendUint(b, n, 1)
}

// append encodes a datagram without agreed members and updates, which the caller appends as far as they fit.
func (d *datagram) append(b []byte) []byte {
	b = append(b, version, byte(d.kind))
	b = appendString(b, fieldName, d.name)
	b = appendFixed32(b, fieldBoot, d.boot)
	b = appendUint(b, fieldSequence, d.sequence)
	b = appendUint(b, fieldIncarnation, d.incarnation)
	b = appendUint(b, fieldRunTime, d.runTime)
	b = appendBool(b, fieldLeaving, d.leaving)
	b = appendBool(b, fieldSettled, d.settled)
	b = appendFixed64(b, fieldDigest, d.digest)
	b = appendFixed32(b, fieldNonce, d.nonce)
	b = appendString(b, fieldTarget, d.target)
	b = appendString(b, fieldAddr, packAddr(d.addr))
	b = appendParts(b, d.parts)
	b = appendUint(b, fieldFirst, d.first)
	b = appendUint(b, fieldTotal, d.total)
	return appendUint(b, fieldAge, d.age)
}

func appendParts(b []byte, parts []uint32) []byte {
	if len(parts) == 0 {
		return b
	}
	b = protowire.AppendTag(b, fieldParts, protowire.BytesType)
	b = protowire.AppendVarint(b, uint64(4*len(parts)))
	for _, part := range parts {
		b = protowire.AppendFixed32(b, part)
	}
	return b
}

// appendUpdate appends an update if the result is no longer than maxBytes, and reports whether it did.
func appendUpdate(b []byte, u *update, maxBytes int) ([]byte, bool) {
	var buffer [MaxDatagramBytes]byte
	body := appendString(buffer[:0], fieldName, u.name)
	body = appendUint(body, fieldState, uint64(u.state))
	body = appendUint(body, fieldIncarnation, u.incarnation)
	body = appendFixed32(body, fieldBoot, u.boot)
	if u.revision > 0 {
		body = appendUint(body, fieldRevision, u.revision)
		body = appendUint(body, fieldList, u.info.List)
		body = appendFixed32(body, fieldListDigest, u.info.Digest)
		body = appendFixed32(body, fieldConfig, u.info.Config)
		body = appendFixed32(body, fieldBuild, u.info.Build)
	}
	body = appendString(body, fieldAddr, packAddr(u.addr))
	body = appendString(body, fieldBy, u.by)
	body = appendUint(body, fieldAge, u.age)
	if len(b)+updateTagBytes+protowire.SizeBytes(len(body)) > maxBytes {
		return b, false
	}
	return appendBytes(b, fieldUpdate, body), true
}

// pad pads a datagram to a size, because an answer may be no longer than the datagram it answers. Some sizes cannot be reached
// exactly: the result may be up to four bytes shorter.
func pad(b []byte, size int) []byte {
	const twoByteLength = 128 // smallest padding whose length takes two bytes
	const overhead = 4        // bytes of the padding's tag and length, two bytes each
	padding := size - len(b) - overhead
	if padding >= twoByteLength {
		return appendBytes(b, fieldPadding, make([]byte, padding))
	}
	padding = min(padding, twoByteLength-2)
	if padding < 0 {
		return b
	}
	return appendBytes(b, fieldPadding, make([]byte, padding+1)) // the length takes one byte here
}

// packAddr returns the binary form of an address as a string. The result is empty if addr is not of the form IP:PORT.
func packAddr(addr string) string {
	if addr == "" {
		return ""
	}
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil {
		return ""
	}
	packed, _ := parsed.MarshalBinary() // never fails
	return string(packed)
}

// parse decodes a datagram. The only error is errUnreadable.
func parse(b []byte) (d datagram, err error) {
	if len(b) < headBytes || len(b) > MaxDatagramBytes || b[0] != version || b[1] == 0 || kind(b[1]) >= kinds {
		return d, errUnreadable
	}
	d.kind = kind(b[1])
	if err := parseFields(b[headBytes:], d.setField); err != nil {
		return d, err
	}
	if d.kind != query && (d.name == "" || d.boot == 0) {
		return d, errUnreadable
	}
	return d, nil
}

// setField sets a field of the datagram and reports whether the field is valid.
func (d *datagram) setField(n protowire.Number, v fieldValue) bool {
	switch n {
	case fieldNonce:
		d.nonce = uint32(v.number)
	case fieldTarget:
		d.target = v.text(MaxNameBytes)
	case fieldAddr:
		d.addr = v.addr()
	case fieldParts:
		return d.setParts(v.bytes)
	case fieldAgreed:
		d.agreed = v.bytes
		return len(v.bytes) <= MaxMembers/8
	case fieldFirst:
		d.first = v.number
	case fieldTotal:
		d.total = v.number
	case fieldAge:
		d.age = v.number
	case fieldUpdate:
		return d.addUpdate(v.bytes)
	case fieldPadding:
	default:
		return d.header.setField(n, v)
	}
	return !v.invalid
}

// setField sets a field of the header and reports whether the field is valid.
func (h *header) setField(n protowire.Number, v fieldValue) bool {
	switch n {
	case fieldName:
		h.name = v.text(MaxNameBytes)
	case fieldBoot:
		h.boot = uint32(v.number)
	case fieldSequence:
		h.sequence = v.number
	case fieldIncarnation:
		h.incarnation = v.number
	case fieldRunTime:
		h.runTime = v.number
	case fieldLeaving:
		h.leaving = v.number == 1
	case fieldSettled:
		h.settled = v.number == 1
	case fieldDigest:
		h.digest = v.number
	default:
		return false
	}
	return !v.invalid
}

func (d *datagram) setParts(b []byte) bool {
	if len(b) != 4*viewParts {
		return false
	}
	for len(b) > 0 {
		part, size := protowire.ConsumeFixed32(b)
		d.parts, b = append(d.parts, part), b[size:]
	}
	return true
}

func (d *datagram) addUpdate(b []byte) bool {
	if len(d.updates) == maxUpdates {
		return false
	}
	u, ok := parseUpdate(b)
	if !ok {
		return false
	}
	d.updates = append(d.updates, u)
	return true
}

func parseUpdate(b []byte) (u update, ok bool) {
	err := parseFields(b, u.setField)
	return u, err == nil && u.name != "" && u.boot != 0
}

// setField sets a field of the update and reports whether the field is valid.
func (u *update) setField(n protowire.Number, v fieldValue) bool {
	switch n {
	case fieldName:
		u.name = v.text(MaxNameBytes)
	case fieldState:
		u.state = State(v.number)
		return v.number < uint64(states)
	case fieldIncarnation:
		u.incarnation = v.number
	case fieldBoot:
		u.boot = uint32(v.number)
	case fieldRevision:
		u.revision = v.number
	case fieldList:
		u.info.List = v.number
	case fieldListDigest:
		u.info.Digest = uint32(v.number)
	case fieldConfig:
		u.info.Config = uint32(v.number)
	case fieldBuild:
		u.info.Build = uint32(v.number)
	case fieldAddr:
		u.addr = v.addr()
	case fieldBy:
		u.by = v.text(MaxNameBytes)
	case fieldAge:
		u.age = v.number
	default:
		return false
	}
	return !v.invalid
}
