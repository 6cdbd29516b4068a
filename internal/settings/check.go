package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"

	"starlingwinch/internal/configerror"
)

// Check names all that is wrong with a configuration file, in the file's own words. It is stricter than what
// reads the file at a start, which skips what it does not know: a slip of the pen is to be found before.
func Check(raw []byte) configerror.List {
	c := &checker{}
	var any json.RawMessage
	if err := json.Unmarshal(raw, &any); err != nil {
		line, column := 1, 1
		var bad *json.SyntaxError
		if errors.As(err, &bad) {
			line, column = configerror.Position(raw, int(bad.Offset)-1)
		}
		c.faults.Add(configerror.Error{Line: line, Column: column, Text: "not JSON: " + err.Error()})
		return c.faults
	}
	c.dec = json.NewDecoder(bytes.NewReader(raw))
	c.dec.UseNumber()
	c.value("", &file)
	return c.faults
}

// checker walks over a file that is JSON, one word at a time: it holds no more than the schema names.
type checker struct {
	dec    *json.Decoder
	faults configerror.List
	names  map[string]int // of the entries of the list at hand: where each stands first
}

// values are the sound leaves of an object, by name: string, bool, int64 or float64.
type values map[string]any

func (v values) text(name string) string {
	s, _ := v[name].(string)
	return s
}

func (v values) integer(name string) (int64, bool) {
	n, ok := v[name].(int64)
	return n, ok
}

func (c *checker) bad(at, format string, args ...any) {
	c.faults.Add(configerror.Error{Field: at, Text: fmt.Sprintf(format, args...)})
}

// value checks the next value. What it returns is nil where it is no leaf, or not sound.
func (c *checker) value(at string, f *field) any {
	token, err := c.dec.Token()
	if err != nil { // the file is JSON, so this is a depth or a size that the decoder refuses
		c.bad(at, "unreadable: %v", err)
		return nil
	}
	var v any
	switch t := token.(type) {
	case json.Delim:
		switch {
		case t == '{' && f.shape == object:
			c.object(at, f)
		case t == '[' && f.shape == array:
			c.array(at, f)
		default:
			c.skip(1)
			c.wrong(at, f, map[json.Delim]string{'{': "an object", '[': "an array"}[t])
		}
		return nil
	case nil:
		c.wrong(at, f, "null")
		return nil
	case string:
		v = c.text(at, f, t)
	case bool:
		if f.shape != truth {
			c.wrong(at, f, strconv.FormatBool(t))
			return nil
		}
		v = t
	case json.Number:
		v = c.number(at, f, string(t))
	}
	if v != nil && f.whole != nil {
		f.whole(c, at, values{"": v})
	}
	return v
}

func (c *checker) wrong(at string, f *field, got string) {
	if at == "" {
		at = "the file"
	}
	c.bad(at, "wrong type (%s, wanted %s)", got, f.wanted())
}

// wanted words what a field holds.
func (f *field) wanted() string {
	switch f.shape {
	case object:
		return "an object"
	case array:
		return "an array"
	case truth:
		return "true or false"
	case address:
		return "IP:PORT in quotes"
	case text:
		if len(f.words) > 0 {
			return configerror.OneOf(f.words)
		}
		return "a text in quotes"
	}
	return f.bounds()
}

// bounds words the range and the unit of a number.
func (f *field) bounds() string {
	kind := ""
	if f.shape == integer {
		kind = "whole numbers "
	}
	s := kind + plainNumber(f.lo) + " to " + plainNumber(f.hi)
	if f.unit != "" {
		s += " " + f.unit
	}
	return s
}

func plainNumber(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

func (c *checker) object(at string, f *field) {
	found, sound := map[string]bool{}, values{}
	for c.dec.More() {
		token, err := c.dec.Token()
		name, ok := token.(string)
		if err != nil || !ok {
			c.bad(at, "unreadable: %v", err)
			return
		}
		path := joined(at, name)
		child := f.child(name)
		switch {
		case child == nil:
			c.bad(path, "unknown field%s", configerror.DidYouMean(name, f.names()))
			c.skip(0)
			continue
		case found[name]:
			c.bad(path, "stands twice; the last one would count")
		}
		found[name] = true
		if v := c.value(path, child); v != nil {
			sound[name] = v
		}
	}
	c.dec.Token()
	for i := range f.fields {
		if child := &f.fields[i]; child.needed && !found[child.name] {
			c.bad(joined(at, child.name), "missing (wanted %s)", child.wanted())
		}
	}
	if f.whole != nil {
		f.whole(c, at, sound)
	}
}

// joined is the path of a field of an object.
func joined(at, name string) string {
	if at == "" {
		return configerror.Plain(name)
	}
	return at + "." + configerror.Plain(name)
}

func (f *field) child(name string) *field {
	for i := range f.fields {
		if f.fields[i].name == name {
			return &f.fields[i]
		}
	}
	return nil
}

func (f *field) names() []string {
	var names []string
	for i := range f.fields {
		names = append(names, f.fields[i].name)
	}
	return names
}

func (c *checker) array(at string, f *field) {
	outer := c.names
	c.names = map[string]int{}
	defer func() { c.names = outer }()
	n := 0
	for ; c.dec.More(); n++ {
		if float64(n) >= f.hi {
			c.skip(1)
			c.bad(at, "too long (wanted at most %s entries)", plainNumber(f.hi))
			return
		}
		c.value(fmt.Sprintf("%s[%d]", at, n), f.items)
	}
	c.dec.Token()
	if f.whole != nil {
		f.whole(c, at, values{"": int64(n)})
	}
}

// skip passes over what is left of so many objects and arrays, or over one value.
func (c *checker) skip(depth int) {
	for {
		token, err := c.dec.Token()
		if err != nil {
			return
		}
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth == 0 {
			return
		}
	}
}

// text checks a text; nil stands for one that is not sound.
func (c *checker) text(at string, f *field, s string) any {
	switch {
	case f.shape == address:
		if why := badAddress(s, f.port); why != "" {
			c.bad(at, "%s (%s, wanted IP:PORT)", why, configerror.Quote(s))
			return nil
		}
	case f.shape != text:
		c.wrong(at, f, "the text "+configerror.Quote(s))
		return nil
	case len(s) > longest:
		c.bad(at, "too long (%d bytes, wanted at most %d)", len(s), longest)
		return nil
	case len(f.words) > 0:
		for _, w := range f.words {
			if s == w {
				return s
			}
		}
		c.bad(at, "unknown %s (%s, wanted %s)%s", f.what, configerror.Quote(s), configerror.OneOf(f.words),
			configerror.DidYouMean(s, f.words))
		return nil
	}
	return s
}

// badAddress tells why an address can't be used, or "".
func badAddress(s string, port bool) string {
	a, err := netip.ParseAddrPort(s)
	switch {
	case err != nil:
		return "not an address"
	case port && a.Port() == 0:
		return "port 0 can't be called"
	}
	return ""
}

// number checks a number; nil stands for one that is not sound.
func (c *checker) number(at string, f *field, s string) any {
	if f.shape != integer && f.shape != number {
		c.wrong(at, f, "the number "+cut(s))
		return nil
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsInf(v, 0) || v < f.lo || v > f.hi {
		c.bad(at, "out of range (%s, wanted %s)", cut(s), f.bounds())
		return nil
	}
	if f.shape == number {
		return v
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		c.bad(at, "not a whole number (%s, wanted %s)", cut(s), f.bounds())
		return nil
	}
	if n > 0 && n < f.tiny {
		c.bad(at, "looks like milliseconds; microseconds are wanted (%d, wanted at least %d µs)", n, f.tiny)
		return nil
	}
	return n
}

// cut shows a number of the file's own, which may be as long as the file.
func cut(s string) string {
	if len(s) > 40 {
		return s[:40] + "..."
	}
	return s
}

// What no field tells by itself.

func (c *checker) seed(at string, v values) {
	s := v.text("")
	if s == "" {
		return
	}
	if _, err := strconv.ParseUint(s, 16, 64); err != nil {
		c.bad(at, "not a seed (%s, wanted 1 to 16 hexadecimal digits)", configerror.Quote(s))
	}
}

func (c *checker) sockets(at string, v values) {
	if n, _ := v.integer(""); n > 0 && n < LeastSockets {
		c.bad(at, "out of range (%d, wanted at least %d descriptors, or 0 for the default)", n, LeastSockets)
	}
}

// since looks for a time that was not given in milliseconds, as that field alone is.
func (c *checker) since(at string, v values) {
	const year2200 = 7_258_118_400_000
	if n, _ := v.integer(""); n > year2200 {
		c.bad(at, "looks like microseconds; milliseconds are wanted (%d, wanted 0 to %d ms)", n, int64(year2200))
	}
}

// twice names an entry whose name an earlier one has.
func (c *checker) twice(at, what, name string) {
	if name == "" {
		return
	}
	path, index, _ := strings.Cut(at, "[")
	n, _ := strconv.Atoi(strings.TrimSuffix(index, "]"))
	if first, taken := c.names[name]; taken {
		c.bad(at+".name", "names a second %s %s (the first is %s[%d])", what, configerror.Quote(name), path, first)
		return
	}
	c.names[name] = n
}

func (c *checker) endpoint(at string, v values) {
	if name, ok := v["name"].(string); ok && name == "" {
		c.bad(at+".name", "empty (wanted 1 to %d bytes)", longest)
	}
	c.twice(at, "cache", v.text("name"))
	if s := v.text("address"); v.text("status") != "terminated" {
		if why := badAddress(s, true); why != "" {
			c.bad(at+".address", "%s (%s, wanted IP:PORT)", why, configerror.Quote(s))
		}
	}
}

func (c *checker) classes(at string, v values) {
	if n, _ := v.integer(""); n == 0 {
		c.bad(at, "no classes (wanted at least 1)")
	}
}

func (c *checker) class(at string, v values) {
	if name, ok := v["name"].(string); ok && name == "" {
		c.bad(at+".name", "empty (wanted 1 to %d bytes)", longest)
	}
	c.twice(at, "class", v.text("name"))
	aim, okAim := v.integer("aim")
	limit, okLimit := v.integer("hardLimit")
	if okAim && okLimit && aim > limit {
		c.bad(at+".aim", "above hardLimit (%d, wanted at most %d µs)", aim, limit)
	}
	if v.text("effect") != "idempotency_key" {
		return
	}
	if _, ok := v["dedupScope"]; !ok {
		c.bad(at+".dedupScope", "needed for a keyed class, and missing or wrong (wanted all, zone or cell)")
	}
	if ttl, ok := v.integer("keyTtl"); !ok || ttl == 0 {
		c.bad(at+".keyTtl", "needed for a keyed class, and missing or wrong (wanted 10000 to %d µs)", int64(Day))
	}
}
