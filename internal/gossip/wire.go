package gossip

import (
	"errors"
	"net/netip"

	"google.golang.org/protobuf/encoding/protowire"
)

// Datagrams are a byte for the version, one for the kind, and fields in the wire format of Protocol Buffers, each at most
// once but for rumours. A field that is not known, out of range or cut makes the whole datagram unreadable: a newer
// format has another version.

const version = 1

type kind uint8

const (
	ping      kind = iota + 1
	pingFor        // asks another member to ping a third one
	ack            // answers a ping, also through the one that was asked
	nack           // the one that was asked got no answer
	compare        // digests of parts of the view
	differing      // what stands in the parts that differ
	ask            // an observer asks for a page of the view
	page
	kinds
)

// header is what each datagram of a member says of its sender.
type header struct {
	kind        kind
	name        string
	boot        uint32
	seq         uint64
	incarnation uint64
	leaving     bool
	settled     bool
	runs        uint64 // for how long, in tenths of a second
	digest      uint64 // of its whole view
}

// datagram is one as read. Its slices point into what was read.
type datagram struct {
	header
	nonce   uint32
	target  string
	addr    string // where the sender wants to be reached
	parts   []uint32
	agreed  []byte // which members, in their order, are known to have said the digest
	number  uint64 // of the first member of a page
	pages   uint64 // members there are
	age     uint64 // milliseconds for which the view has been as settled as it is
	rumours []rumour
}

// rumour is a claim on one member.
type rumour struct {
	name        string
	state       State
	incarnation uint64
	boot        uint32
	rev         uint64 // of its Info, which is as of this life of the member
	info        Info
	addr        string
	by          string // who suspects it
	age         uint64 // pages only: milliseconds in that state
}

// Numbers of fields.
const (
	fName protowire.Number = iota + 1
	fBoot
	fSeq
	fIncarnation
	fRuns
	fLeaving
	fSettled
	fDigest
	fNonce
	fTarget
	fAddr
	fParts
	fAgreed
	fNumber
	fPages
	fAge
	fRumour
	fState
	fRev
	fList
	fListDigest
	fConfig
	fBuild
	fBy
	fPad
)

const (
	partsOfView = 16
	mostRumours = 16
)

var errUnreadable = errors.New("fleet: not a datagram of this version")

func putString(b []byte, n protowire.Number, s string) []byte {
	if s == "" {
		return b
	}
	return protowire.AppendString(protowire.AppendTag(b, n, protowire.BytesType), s)
}

func putBytes(b []byte, n protowire.Number, v []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(b, n, protowire.BytesType), v)
}

func putUint(b []byte, n protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, n, protowire.VarintType), v)
}

func putFixed(b []byte, n protowire.Number, v uint32) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendFixed32(protowire.AppendTag(b, n, protowire.Fixed32Type), v)
}

func putBool(b []byte, n protowire.Number, v bool) []byte { return putUint(b, n, uint64(b2i(v))) }

func b2i(v bool) int {
	if v {
		return 1
	}
	return 0
}

// append writes all but the rumours, which are added as far as they fit.
func (d *datagram) append(b []byte) []byte {
	b = append(b, version, byte(d.kind))
	b = putString(b, fName, d.name)
	b = putFixed(b, fBoot, d.boot)
	b = putUint(b, fSeq, d.seq)
	b = putUint(b, fIncarnation, d.incarnation)
	b = putUint(b, fRuns, d.runs)
	b = putBool(b, fLeaving, d.leaving)
	b = putBool(b, fSettled, d.settled)
	if d.digest != 0 {
		b = protowire.AppendFixed64(protowire.AppendTag(b, fDigest, protowire.Fixed64Type), d.digest)
	}
	b = putFixed(b, fNonce, d.nonce)
	b = putString(b, fTarget, d.target)
	b = putString(b, fAddr, packAddr(d.addr))
	if len(d.parts) > 0 {
		b = protowire.AppendTag(b, fParts, protowire.BytesType)
		b = protowire.AppendVarint(b, uint64(4*len(d.parts)))
		for _, p := range d.parts {
			b = protowire.AppendFixed32(b, p)
		}
	}
	b = putUint(b, fNumber, d.number)
	b = putUint(b, fPages, d.pages)
	return putUint(b, fAge, d.age)
}

// appendRumour adds a rumour where it fits.
func appendRumour(b []byte, r *rumour, most int) ([]byte, bool) {
	var room [MaxDatagramBytes]byte
	m := putString(room[:0], fName, r.name)
	m = putUint(m, fState, uint64(r.state))
	m = putUint(m, fIncarnation, r.incarnation)
	m = putFixed(m, fBoot, r.boot)
	if r.rev > 0 {
		m = putUint(m, fRev, r.rev)
		m = putUint(m, fList, r.info.List)
		m = putFixed(m, fListDigest, r.info.Digest)
		m = putFixed(m, fConfig, r.info.Config)
		m = putFixed(m, fBuild, r.info.Build)
	}
	m = putString(m, fAddr, packAddr(r.addr))
	m = putString(m, fBy, r.by)
	m = putUint(m, fAge, r.age)
	if len(b)+2+protowire.SizeBytes(len(m)) > most {
		return b, false
	}
	return protowire.AppendBytes(protowire.AppendTag(b, fRumour, protowire.BytesType), m), true
}

// pad fills a datagram up, so that an answer may be as long.
func pad(b []byte, to int) []byte {
	const head = 4 // tag and length of the filling, both of two bytes
	if n := to - len(b) - head; n >= 128 {
		b = protowire.AppendBytes(protowire.AppendTag(b, fPad, protowire.BytesType), make([]byte, n))
	} else if n = min(n, 126); n >= 0 {
		b = protowire.AppendBytes(protowire.AppendTag(b, fPad, protowire.BytesType), make([]byte, n+1))
	}
	return b
}

func packAddr(addr string) string {
	if addr == "" {
		return ""
	}
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return ""
	}
	b, _ := a.MarshalBinary()
	return string(b)
}

// parse reads a datagram. The error is the same for all that is wrong, as nobody may act on it.
func parse(b []byte) (d datagram, err error) {
	if len(b) < 2 || len(b) > MaxDatagramBytes || b[0] != version || b[1] == 0 || kind(b[1]) >= kinds {
		return d, errUnreadable
	}
	d.kind = kind(b[1])
	err = fields(b[2:], func(n protowire.Number, v value) bool {
		switch n {
		case fName:
			d.name = v.text(MaxNameBytes)
		case fBoot:
			d.boot = uint32(v.n)
		case fSeq:
			d.seq = v.n
		case fIncarnation:
			d.incarnation = v.n
		case fRuns:
			d.runs = v.n
		case fLeaving:
			d.leaving = v.n == 1
		case fSettled:
			d.settled = v.n == 1
		case fDigest:
			d.digest = v.n
		case fNonce:
			d.nonce = uint32(v.n)
		case fTarget:
			d.target = v.text(MaxNameBytes)
		case fAddr:
			d.addr = v.addr()
		case fParts:
			if len(v.b) != 4*partsOfView {
				return false
			}
			for p := v.b; len(p) > 0; {
				x, m := protowire.ConsumeFixed32(p)
				d.parts, p = append(d.parts, x), p[m:]
			}
		case fAgreed:
			if len(v.b) > MaxMembers/8 {
				return false
			}
			d.agreed = v.b
		case fNumber:
			d.number = v.n
		case fPages:
			d.pages = v.n
		case fAge:
			d.age = v.n
		case fRumour:
			r, ok := parseRumour(v.b)
			if !ok || len(d.rumours) == mostRumours {
				return false
			}
			d.rumours = append(d.rumours, r)
		case fPad:
		default:
			return false
		}
		return !v.bad
	})
	if err == nil && d.kind != ask && (d.name == "" || d.boot == 0) {
		err = errUnreadable
	}
	return d, err
}

func parseRumour(b []byte) (r rumour, ok bool) {
	err := fields(b, func(n protowire.Number, v value) bool {
		switch n {
		case fName:
			r.name = v.text(MaxNameBytes)
		case fState:
			if v.n >= uint64(states) {
				return false
			}
			r.state = State(v.n)
		case fIncarnation:
			r.incarnation = v.n
		case fBoot:
			r.boot = uint32(v.n)
		case fRev:
			r.rev = v.n
		case fList:
			r.info.List = v.n
		case fListDigest:
			r.info.Digest = uint32(v.n)
		case fConfig:
			r.info.Config = uint32(v.n)
		case fBuild:
			r.info.Build = uint32(v.n)
		case fAddr:
			r.addr = v.addr()
		case fBy:
			r.by = v.text(MaxNameBytes)
		case fAge:
			r.age = v.n
		default:
			return false
		}
		return !v.bad
	})
	return r, err == nil && r.name != "" && r.boot != 0
}

// value is a field's content.
type value struct {
	n   uint64
	b   []byte
	bad bool
}

func (v *value) text(most int) string {
	v.bad = v.bad || len(v.b) == 0 || len(v.b) > most
	for _, c := range v.b {
		v.bad = v.bad || c <= ' ' || c > '~' // it goes to logs and terminals
	}
	if v.bad {
		return ""
	}
	return string(v.b)
}

func (v *value) addr() string {
	var a netip.AddrPort
	if len(v.b) > 18 || a.UnmarshalBinary(v.b) != nil || !a.IsValid() || a.Port() == 0 {
		v.bad = true
		return ""
	}
	return a.String()
}

// fields calls f with each field in turn, until it says that one is wrong. All but rumours may come once.
func fields(b []byte, f func(protowire.Number, value) bool) error {
	var seen uint64
	for len(b) > 0 {
		n, t, m := protowire.ConsumeTag(b)
		if m < 0 || n > fPad || n != fRumour && seen&(1<<n) != 0 {
			return errUnreadable
		}
		seen |= 1 << n
		b = b[m:]
		var v value
		bytes, fixed := false, 0
		switch t {
		case protowire.VarintType:
			v.n, m = protowire.ConsumeVarint(b)
		case protowire.BytesType:
			v.b, m = protowire.ConsumeBytes(b)
			bytes = true
		case protowire.Fixed32Type:
			var x uint32
			x, m = protowire.ConsumeFixed32(b)
			v.n, fixed = uint64(x), 4
		case protowire.Fixed64Type:
			v.n, m = protowire.ConsumeFixed64(b)
			fixed = 8
		default:
			return errUnreadable
		}
		if m < 0 || shapeOf(n) != (shape{bytes, fixed}) || !f(n, v) {
			return errUnreadable
		}
		b = b[m:]
	}
	return nil
}

// shape is how a field is written: as bytes, in so many fixed ones, or as a varint.
type shape struct {
	bytes bool
	fixed int
}

func shapeOf(n protowire.Number) shape {
	switch n {
	case fName, fTarget, fAddr, fParts, fAgreed, fRumour, fBy, fPad:
		return shape{bytes: true}
	case fBoot, fNonce, fListDigest, fConfig, fBuild:
		return shape{fixed: 4}
	case fDigest:
		return shape{fixed: 8}
	}
	return shape{}
}
