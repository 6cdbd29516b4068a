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

// Check returns all errors of a configuration file, under the names of the file's keys. It is stricter than Parse, which ignores
// unknown keys: operators run Check before a router starts, to find misspelled keys.
func Check(raw []byte) configerror.List {
	c := &checker{}
	var content json.RawMessage
	if err := json.Unmarshal(raw, &content); err != nil {
		line, column := 1, 1
		var syntaxErr *json.SyntaxError
		if errors.As(err, &syntaxErr) {
			line, column = configerror.Position(raw, int(syntaxErr.Offset)-1)
		}
		c.errors.Add(configerror.Error{Line: line, Column: column, Text: "not JSON: " + err.Error()})
		return c.errors
	}
	c.dec = json.NewDecoder(bytes.NewReader(raw))
	c.dec.UseNumber()
	c.value("", &fileSchema)
	return c.errors
}

// checker checks a valid JSON file token by token, so that the schema and not the size of the file bounds its memory.
type checker struct {
	dec    *json.Decoder
	errors configerror.List
	names  map[string]int // index of the first entry of each name in the current array
}

// values holds the valid scalars of an object by key, as string, bool, int64 or float64. For the check of a single scalar, or of
// an array, it holds the scalar, or the length of the array, under the key "".
type values map[string]any

func (v values) text(name string) string {
	s, _ := v[name].(string)
	return s
}

func (v values) integer(name string) (int64, bool) {
	n, ok := v[name].(int64)
	return n, ok
}

// report adds an error at a path.
func (c *checker) report(path, format string, args ...any) {
	c.errors.Add(configerror.Error{Field: path, Text: fmt.Sprintf(format, args...)})
}

// value checks the next value. It returns a valid scalar, and nil for any other value.
func (c *checker) value(path string, f *field) any {
	token, err := c.dec.Token()
	if err != nil { // the file is valid JSON, so it exceeds a limit of the decoder on depth or size
		c.report(path, "unreadable: %v", err)
		return nil
	}
	var v any
	switch t := token.(type) {
	case json.Delim:
		switch {
		case t == '{' && f.kind == object:
			c.object(path, f)
		case t == '[' && f.kind == array:
			c.array(path, f)
		default:
			c.skip(1)
			c.wrongType(path, f, map[json.Delim]string{'{': "an object", '[': "an array"}[t])
		}
		return nil
	case nil:
		c.wrongType(path, f, "null")
		return nil
	case string:
		v = c.text(path, f, t)
	case bool:
		if f.kind != boolean {
			c.wrongType(path, f, strconv.FormatBool(t))
			return nil
		}
		v = t
	case json.Number:
		v = c.number(path, f, string(t))
	}
	if v != nil && f.validate != nil {
		f.validate(c, path, values{"": v})
	}
	return v
}

// wrongType reports a value of the wrong type.
func (c *checker) wrongType(path string, f *field, got string) {
	if path == "" {
		path = "the file"
	}
	c.report(path, "wrong type (%s, wanted %s)", got, f.wanted())
}

// wanted describes the valid values of a field for error messages.
func (f *field) wanted() string {
	switch f.kind {
	case object:
		return "an object"
	case array:
		return "an array"
	case boolean:
		return "true or false"
	case address:
		return "IP:PORT in quotes"
	case text:
		if len(f.choices) > 0 {
			return configerror.OneOf(f.choices)
		}
		return "a text in quotes"
	}
	return f.bounds()
}

// bounds describes the range and the unit of a number for error messages.
func (f *field) bounds() string {
	prefix := ""
	if f.kind == integer {
		prefix = "whole numbers "
	}
	s := prefix + formatNumber(f.lo) + " to " + formatNumber(f.hi)
	if f.unit != "" {
		s += " " + f.unit
	}
	return s
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

// object checks the keys of an object after its opening brace.
func (c *checker) object(path string, f *field) {
	seen, valid := map[string]bool{}, values{}
	for c.dec.More() {
		token, err := c.dec.Token()
		name, ok := token.(string)
		if err != nil || !ok {
			c.report(path, "unreadable: %v", err)
			return
		}
		childPath := joinPath(path, name)
		child := f.child(name)
		switch {
		case child == nil:
			c.report(childPath, "unknown field%s", configerror.DidYouMean(name, f.names()))
			c.skip(0)
			continue
		case seen[name]:
			c.report(childPath, "duplicate key; the last value would apply")
		}
		seen[name] = true
		if v := c.value(childPath, child); v != nil {
			valid[name] = v
		}
	}
	c.dec.Token()
	for i := range f.fields {
		if child := &f.fields[i]; child.required && !seen[child.name] {
			c.report(joinPath(path, child.name), "missing (wanted %s)", child.wanted())
		}
	}
	if f.validate != nil {
		f.validate(c, path, valid)
	}
}

// joinPath returns the path of a key in the object at path.
func joinPath(path, name string) string {
	if path == "" {
		return configerror.QuoteIfNeeded(name)
	}
	return path + "." + configerror.QuoteIfNeeded(name)
}

// child returns the field of an object's key, or nil if the key is unknown.
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

// array checks the items of an array after its opening bracket. Names must be unique only inside the array, so names of an outer
// array are set aside until it returns.
func (c *checker) array(path string, f *field) {
	outer := c.names
	c.names = map[string]int{}
	defer func() { c.names = outer }()
	n := 0
	for ; c.dec.More(); n++ {
		if float64(n) >= f.hi {
			c.skip(1)
			c.report(path, "too long (wanted at most %s entries)", formatNumber(f.hi))
			return
		}
		c.value(fmt.Sprintf("%s[%d]", path, n), f.items)
	}
	c.dec.Token()
	if f.validate != nil {
		f.validate(c, path, values{"": int64(n)})
	}
}

// skip reads to the end of the given number of open objects and arrays; with depth 0, it reads one value.
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

// text checks a text. It returns the text, or nil if the text is not valid.
func (c *checker) text(path string, f *field, s string) any {
	switch {
	case f.kind == address:
		if reason := addressError(s, f.callable); reason != "" {
			c.report(path, "%s (%s, wanted IP:PORT)", reason, configerror.Quote(s))
			return nil
		}
	case f.kind != text:
		c.wrongType(path, f, "the text "+configerror.Quote(s))
		return nil
	case len(s) > maxTextBytes:
		c.report(path, "too long (%d bytes, wanted at most %d)", len(s), maxTextBytes)
		return nil
	case len(f.choices) > 0:
		for _, choice := range f.choices {
			if s == choice {
				return s
			}
		}
		c.report(path, "unknown %s (%s, wanted %s)%s", f.choiceNoun, configerror.Quote(s), configerror.OneOf(f.choices),
			configerror.DidYouMean(s, f.choices))
		return nil
	}
	return s
}

// addressError returns the reason why an address is not valid, or "" if it is valid.
func addressError(s string, callable bool) string {
	a, err := netip.ParseAddrPort(s)
	switch {
	case err != nil:
		return "not an address"
	case callable && a.Port() == 0:
		return "port 0 is not allowed"
	}
	return ""
}

// number checks a number. It returns an int64 or a float64 by the field's type, or nil if the number is not valid.
func (c *checker) number(path string, f *field, s string) any {
	if f.kind != integer && f.kind != number {
		c.wrongType(path, f, "the number "+truncate(s))
		return nil
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsInf(v, 0) || v < f.lo || v > f.hi {
		c.report(path, "out of range (%s, wanted %s)", truncate(s), f.bounds())
		return nil
	}
	if f.kind == number {
		return v
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		c.report(path, "not a whole number (%s, wanted %s)", truncate(s), f.bounds())
		return nil
	}
	if n > 0 && n < f.minMicros {
		c.report(path, "looks like milliseconds; microseconds are wanted (%d, wanted at least %d µs)", n, f.minMicros)
		return nil
	}
	return n
}

// truncate shortens a number for error messages, because the number may be as long as the file.
func truncate(s string) string {
	if len(s) > 40 {
		return s[:40] + "..."
	}
	return s
}
