package gossip

import (
	"net/netip"

	"google.golang.org/protobuf/encoding/protowire"
)

// fieldValue is the content of a field: bytes or a number, depending on the field's wire type.
type fieldValue struct {
	number  uint64
	bytes   []byte
	invalid bool // set by text and addr if the content is not valid
}

// text returns the field as a text of 1 to maxBytes bytes. Only visible ASCII is valid, because texts are written to logs and
// terminals.
func (v *fieldValue) text(maxBytes int) string {
	if len(v.bytes) == 0 || len(v.bytes) > maxBytes {
		v.invalid = true
		return ""
	}
	for _, c := range v.bytes {
		if c <= ' ' || c > '~' {
			v.invalid = true
			return ""
		}
	}
	return string(v.bytes)
}

// addr returns the field as an address of the form IP:PORT.
func (v *fieldValue) addr() string {
	var address netip.AddrPort
	if len(v.bytes) > maxPackedAddr || address.UnmarshalBinary(v.bytes) != nil || !address.IsValid() || address.Port() == 0 {
		v.invalid = true
		return ""
	}
	return address.String()
}

// parseFields calls set with each field in order and stops with an error at the first field that is malformed or that set
// reports as not valid. Only updates may occur more than once.
func parseFields(b []byte, set func(protowire.Number, fieldValue) bool) error {
	var seen uint64 // bit set of the field numbers that have occurred
	for len(b) > 0 {
		number, wireType, size := protowire.ConsumeTag(b)
		if size < 0 || number > fieldPadding || number != fieldUpdate && seen&(1<<number) != 0 {
			return errUnreadable
		}
		seen |= 1 << number
		b = b[size:]
		if wireType != wireTypeOf(number) {
			return errUnreadable
		}
		value, size := consumeValue(b, wireType)
		if size < 0 || !set(number, value) {
			return errUnreadable
		}
		b = b[size:]
	}
	return nil
}

// consumeValue reads the content of a field. The size is negative if the content is malformed or truncated.
func consumeValue(b []byte, wireType protowire.Type) (v fieldValue, size int) {
	switch wireType {
	case protowire.BytesType:
		v.bytes, size = protowire.ConsumeBytes(b)
	case protowire.Fixed32Type:
		var number uint32
		number, size = protowire.ConsumeFixed32(b)
		v.number = uint64(number)
	case protowire.Fixed64Type:
		v.number, size = protowire.ConsumeFixed64(b)
	default:
		v.number, size = protowire.ConsumeVarint(b)
	}
	return v, size
}

// wireTypeOf returns the wire type of a field.
func wireTypeOf(n protowire.Number) protowire.Type {
	switch n {
	case fieldName, fieldTarget, fieldAddr, fieldParts, fieldAgreed, fieldUpdate, fieldBy, fieldPadding:
		return protowire.BytesType
	case fieldBoot, fieldNonce, fieldListDigest, fieldConfig, fieldBuild:
		return protowire.Fixed32Type
	case fieldDigest:
		return protowire.Fixed64Type
	}
	return protowire.VarintType
}
