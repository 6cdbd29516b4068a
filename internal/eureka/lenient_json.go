package eureka

import (
	"bytes"
	"encoding/json"
	"math"
	"strconv"
	"strings"
	"unicode/utf8"
)

// The lenient types decode fields that registries write in several forms. Decoding never fails: an unreadable value is only
// flagged, since an instance with one invalid field may be draining and must not be dropped.

// lenientText decodes a string, number or boolean into a string. The value is bare or stands under the key "$" of an object.
type lenientText struct {
	value   string
	invalid bool
}

// UnmarshalJSON implements json.Unmarshaler.
func (t *lenientText) UnmarshalJSON(raw []byte) error {
	*t = lenientText{}
	first := raw[0]
	switch {
	case first == '"' && bytes.IndexByte(raw, '\\') < 0 && utf8.Valid(raw): // fast path for the usual case, without json.Unmarshal
		t.value = string(raw[1 : len(raw)-1])
	case first == '"':
		t.invalid = json.Unmarshal(raw, &t.value) != nil
	case first == '{':
		return t.unmarshalObject(raw)
	case first == '[':
		t.invalid = true
	case string(raw) != "null":
		t.value = string(raw)
	}
	return nil
}

// unmarshalObject decodes the value under the key "$" of an object.
func (t *lenientText) unmarshalObject(raw []byte) error {
	var object struct {
		Value json.RawMessage `json:"$"`
	}
	t.invalid = json.Unmarshal(raw, &object) != nil || len(object.Value) == 0 || object.Value[0] == '{'
	if t.invalid {
		return nil
	}
	return t.UnmarshalJSON(object.Value)
}

// lenientStatus decodes a status. If an instance has the field twice, under two spellings of the key, a status other than UP
// and UNKNOWN overrides UP.
type lenientStatus struct{ value string }

// UnmarshalJSON implements json.Unmarshaler.
func (s *lenientStatus) UnmarshalJSON(raw []byte) error {
	var text lenientText
	text.UnmarshalJSON(raw)
	if text.invalid {
		text.value = statusUnreadable
	}
	next := strings.ToUpper(strings.TrimSpace(text.value))
	if len(next) > maxStatusLength {
		next = statusUnreadable
	}
	replacesUp := s.value == statusUp && next != "" && next != statusUnknown
	if s.value == "" || s.value == statusUnknown || replacesUp {
		s.value = next
	}
	return nil
}

// lenientNumber decodes a number, or a string that holds a number, into an integer. A fraction is truncated.
type lenientNumber struct {
	value   int64
	invalid bool
}

// UnmarshalJSON implements json.Unmarshaler.
func (n *lenientNumber) UnmarshalJSON(raw []byte) error {
	var text lenientText
	text.UnmarshalJSON(raw)
	*n = lenientNumber{invalid: text.invalid}
	if text.value == "" {
		return nil
	}
	whole, err := strconv.ParseInt(text.value, 10, 64)
	if err == nil {
		n.value = whole
		return nil
	}
	float, err := strconv.ParseFloat(text.value, 64)
	n.invalid = err != nil || !(math.Abs(float) < 1<<62)
	if !n.invalid {
		n.value = int64(float)
	}
	return nil
}

// maxTimestampMilliseconds bounds a timestamp, so that its value in microseconds can't overflow.
const maxTimestampMilliseconds = math.MaxInt64 / 2000

// timestamp converts the number from Unix time in milliseconds to microseconds; 0 if it is unreadable.
func (n *lenientNumber) timestamp() Time {
	return max(0, min(n.value, maxTimestampMilliseconds)) * millisecond
}

// lenientPort decodes a port number, either bare or in an object that also holds whether the port is enabled.
type lenientPort struct {
	lenientNumber
	disabled bool
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *lenientPort) UnmarshalJSON(raw []byte) error {
	var object struct {
		Enabled lenientText `json:"@enabled"`
	}
	if raw[0] == '{' {
		json.Unmarshal(raw, &object)
	}
	p.disabled = strings.EqualFold(object.Enabled.value, "false")
	return p.lenientNumber.UnmarshalJSON(raw)
}

// lenientMetadata holds an object of texts. Decoding is deferred until the metadata is needed.
type lenientMetadata struct {
	raw     json.RawMessage
	tooLong bool
}

// UnmarshalJSON implements json.Unmarshaler.
func (m *lenientMetadata) UnmarshalJSON(raw []byte) error {
	m.tooLong = len(raw) > maxMetadataSize
	if m.tooLong {
		return nil
	}
	return m.raw.UnmarshalJSON(raw)
}

// decode returns the texts by key, nil if there are none, and the problem with the object, if any.
func (m *lenientMetadata) decode() (texts map[string]lenientText, problem string) {
	switch {
	case m.tooLong:
		return nil, "longer than the limit"
	case len(m.raw) > 0 && json.Unmarshal(m.raw, &texts) != nil:
		return nil, "not an object"
	}
	return texts, ""
}
