package eureka

import (
	"bytes"
	"encoding/json"
	"math"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Types that read what registries write in several forms. None of them fails: what can't be read is
// marked. The danger: one odd field throws the instance away, and the drain that stands in it.

// text is a string, or a number or truth as a string; one bare or as the "$" of an object.
type text struct {
	s   string
	bad bool
}

// UnmarshalJSON implements json.Unmarshaler.
func (t *text) UnmarshalJSON(b []byte) error {
	*t = text{}
	switch c := b[0]; {
	case c == '"' && bytes.IndexByte(b, '\\') < 0 && utf8.Valid(b): // as nearly all are
		t.s = string(b[1 : len(b)-1])
	case c == '"':
		t.bad = json.Unmarshal(b, &t.s) != nil
	case c == '{':
		var in struct {
			Value json.RawMessage `json:"$"`
		}
		if t.bad = json.Unmarshal(b, &in) != nil || len(in.Value) == 0 || in.Value[0] == '{'; !t.bad {
			return t.UnmarshalJSON(in.Value)
		}
	case c == '[':
		t.bad = true
	case string(b) != "null":
		t.s = string(b)
	}
	return nil
}

// word is a status. Where it stands twice, in two spellings of the name, the worse one counts.
type word struct{ s string }

// UnmarshalJSON implements json.Unmarshaler.
func (w *word) UnmarshalJSON(b []byte) error {
	var t text
	if t.UnmarshalJSON(b); t.bad {
		t.s = unheard
	}
	next := strings.ToUpper(strings.TrimSpace(t.s))
	if len(next) > mostWord {
		next = unheard
	}
	if w.s == "" || w.s == statusUnknown || w.s == statusUp && next != "" && next != statusUnknown {
		w.s = next
	}
	return nil
}

// number is a whole number or one written as a text. Parts of a whole are cut off.
type number struct {
	n     int64
	found bool
	bad   bool
}

// UnmarshalJSON implements json.Unmarshaler.
func (n *number) UnmarshalJSON(b []byte) error {
	var t text
	t.UnmarshalJSON(b)
	*n = number{bad: t.bad}
	if t.s == "" {
		return nil
	}
	n.found = true
	if whole, err := strconv.ParseInt(t.s, 10, 64); err == nil {
		n.n = whole
		return nil
	}
	x, err := strconv.ParseFloat(t.s, 64)
	if n.bad = err != nil || !(math.Abs(x) < 1<<62); !n.bad {
		n.n = int64(x)
	}
	return nil
}

// stamp is an instant in milliseconds of Unix time, as microseconds. What can't be read is 0.
func (n *number) stamp() Time { return max(0, min(n.n, math.MaxInt64/2000)) * 1000 }

// port is a number, bare or with a word whether it is enabled.
type port struct {
	number
	off bool
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *port) UnmarshalJSON(b []byte) error {
	var in struct {
		Enabled text `json:"@enabled"`
	}
	if b[0] == '{' {
		json.Unmarshal(b, &in)
	}
	p.off = strings.EqualFold(in.Enabled.s, "false")
	return p.number.UnmarshalJSON(b)
}

// metadata is an object of texts, kept as it came until it is known who wants it.
type metadata struct {
	raw  json.RawMessage
	long bool
}

// UnmarshalJSON implements json.Unmarshaler.
func (m *metadata) UnmarshalJSON(b []byte) error {
	if m.long = len(b) > mostMetadata; m.long {
		return nil
	}
	return m.raw.UnmarshalJSON(b)
}

// read gives the texts, nil where there are none, and what is wrong.
func (m *metadata) read() (map[string]text, string) {
	var all map[string]text
	switch {
	case m.long:
		return nil, "longer than its bound"
	case len(m.raw) > 0 && json.Unmarshal(m.raw, &all) != nil:
		return nil, "not an object"
	}
	return all, ""
}
