package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"strconv"

	"starlingwinch/internal/configerror"
)

// Check reports everything that is wrong with a configuration file, in the file's own words. It is stricter than Parse, which
// skips unknown keys: an operator runs it to find misspelled ones before a router starts.
func Check(raw []byte) configerror.List {
	c := &checker{}
	var content json.RawMessage
	if err := json.Unmarshal(raw, &content); err != nil {
		line, column := 1, 1
		var bad *json.SyntaxError
		if errors.As(err, &bad) {
			line, column = configerror.Position(raw, int(bad.Offset)-1)
		}
		c.errors.Add(configerror.Error{Line: line, Column: column, Text: "not JSON: " + err.Error()})
		return c.errors
	}
	c.dec = json.NewDecoder(bytes.NewReader(raw))
	c.dec.UseNumber()
	c.value("", &fileSchema)
	return c.errors
}

// checker walks over a file that is JSON, token by token, so that its memory is bounded by the schema and not by the file.
type checker struct {
	dec    *json.Decoder
	errors configerror.List
	names  map[string]int // indices of the entries of the present array, by name; the first of each counts
}

// values are the valid scalars of an object by name, as string, bool, int64 or float64. The value of a scalar itself has the
// name "", and so has the length of an array.
type values map[string]any

func (v values) text(name string) string {
	s, _ := v[name].(string)
	return s
}

func (v values) integer(name string) (int64, bool) {
	n, ok := v[name].(int64)
	return n, ok
}

// bad reports an error at a path.
func (c *checker) bad(at, format string, args ...any) {
	c.errors.Add(configerror.Error{Field: at, Text: fmt.Sprintf(format, args...)})
}

// value checks the next value and returns it; nil where it is no scalar, or not valid.
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
	if v != nil && f.checkWhole != nil {
		f.checkWhole(c, at, values{"": v})
	}
	return v
}

// wrong reports a value of the wrong type.
func (c *checker) wrong(at string, f *field, got string) {
	if at == "" {
		at = "the file"
	}
	c.bad(at, "wrong type (%s, wanted %s)", got, f.wanted())
}

// wanted describes what a field holds, for messages.
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

// bounds describes the range and the unit of a number.
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

// object checks the keys of an object, whose brace has been read.
func (c *checker) object(at string, f *field) {
	found, valid := map[string]bool{}, values{}
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
			valid[name] = v
		}
	}
	c.dec.Token()
	for i := range f.fields {
		if child := &f.fields[i]; child.required && !found[child.name] {
			c.bad(joined(at, child.name), "missing (wanted %s)", child.wanted())
		}
	}
	if f.checkWhole != nil {
		f.checkWhole(c, at, valid)
	}
}

// joined returns the path of an object's key.
func joined(at, name string) string {
	if at == "" {
		return configerror.Plain(name)
	}
	return at + "." + configerror.Plain(name)
}

// child returns the key of that name, or nil.
func (f *field) child(name string) *field {
	for i := range f.fields {
		if f.fields[i].name == name {
			return &f.fields[i]
		}
	}
	return nil
}

// names returns the names of an object's keys.
func (f *field) names() []string {
	var names []string
	for i := range f.fields {
		names = append(names, f.fields[i].name)
	}
	return names
}

// array checks the items of an array, whose bracket has been read. Names of its items are its own.
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
	if f.checkWhole != nil {
		f.checkWhole(c, at, values{"": int64(n)})
	}
}

// skip passes over the rest of so many open objects and arrays; with depth 0, over one value.
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

// text checks a text and returns it; nil where it is not valid.
func (c *checker) text(at string, f *field, s string) any {
	switch {
	case f.shape == address:
		if reason := addressError(s, f.callable); reason != "" {
			c.bad(at, "%s (%s, wanted IP:PORT)", reason, configerror.Quote(s))
			return nil
		}
	case f.shape != text:
		c.wrong(at, f, "the text "+configerror.Quote(s))
		return nil
	case len(s) > maxTextBytes:
		c.bad(at, "too long (%d bytes, wanted at most %d)", len(s), maxTextBytes)
		return nil
	case len(f.words) > 0:
		for _, w := range f.words {
			if s == w {
				return s
			}
		}
		c.bad(at, "unknown %s (%s, wanted %s)%s", f.wordsAre, configerror.Quote(s), configerror.OneOf(f.words),
			configerror.DidYouMean(s, f.words))
		return nil
	}
	return s
}

// addressError says why an address can't be used, or nothing.
func addressError(s string, callable bool) string {
	a, err := netip.ParseAddrPort(s)
	switch {
	case err != nil:
		return "not an address"
	case callable && a.Port() == 0:
		return "port 0 can't be called"
	}
	return ""
}

// number checks a number and returns it; nil where it is not valid.
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
	if n > 0 && n < f.minMicros {
		c.bad(at, "looks like milliseconds; microseconds are wanted (%d, wanted at least %d µs)", n, f.minMicros)
		return nil
	}
	return n
}

// cut shortens a number for messages, as it may be as long as the file.
func cut(s string) string {
	if len(s) > 40 {
		return s[:40] + "..."
	}
	return s
}
