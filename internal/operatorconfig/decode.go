package operatorconfig

import (
	"encoding"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"starlingwinch/internal/configerror"
)

const (
	maxTextBytes   = 4096 // bytes of a text that has no range of its own
	maxListEntries = 4096 // entries of a list that has none
)

// decoder reads a document into a struct, and goes on after an error.
type decoder struct{ errors *configerror.List }

// bad reports an error at a path.
func (d *decoder) bad(at, format string, args ...any) {
	d.errors.Add(configerror.Error{Field: at, Text: fmt.Sprintf(format, args...)})
}

// wrongType reports a value that is not of the wanted type.
func (d *decoder) wrongType(at string, value any, tag reflect.StructTag, wanted string) {
	d.bad(at, "wrong type (%s, wanted %s)", describeUnlessSecret(tag, value), wanted)
}

// table reads a table. Keys that are not part of the struct are errors.
func (d *decoder) table(at string, doc map[string]any, v reflect.Value) {
	var known []string
	for i := range v.NumField() {
		f := v.Type().Field(i)
		name := keyName(f)
		known = append(known, name)
		if value, found := doc[name]; found {
			d.value(joined(at, name), value, v.Field(i), f.Tag)
		}
	}
	var unknown []string
	for name := range doc { // any order: sorted below
		if !slices.Contains(known, name) {
			unknown = append(unknown, name)
		}
	}
	slices.Sort(unknown)
	for _, name := range unknown {
		d.bad(joined(at, configerror.Plain(name)), "unknown key%s", configerror.DidYouMean(name, known))
	}
}

// value reads one value by its type, and checks its range.
func (d *decoder) value(at string, value any, v reflect.Value, tag reflect.StructTag) {
	t := v.Type()
	switch {
	case t == durationType:
		d.duration(at, value, v, tag)
	case t == sizeType:
		d.size(at, value, v, tag)
	case isTextual(t):
		d.textual(at, value, v, tag)
	case t.Kind() == reflect.Struct:
		if doc, ok := value.(map[string]any); ok {
			d.table(at, doc, v)
		} else {
			d.wrongType(at, value, tag, "a table")
		}
	case t.Kind() == reflect.Slice:
		d.list(at, value, v, tag)
	default:
		d.scalar(at, value, v, tag)
	}
}

func (d *decoder) duration(at string, value any, v reflect.Value, tag reflect.StructTag) {
	text, isText := value.(string)
	if !isText {
		d.wrongType(at, value, tag, `a duration in quotes, as "250ms"`)
		return
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		d.bad(at, `not a duration (%s, wanted digits and ms, s or m, as "250ms")`, configerror.Quote(text))
		return
	}
	v.SetInt(int64(duration))
	d.checkRange(at, float64(duration), configerror.Quote(text), tag, parseDurationBound)
}

func (d *decoder) size(at string, value any, v reflect.Value, tag reflect.StructTag) {
	text, isText := value.(string)
	if !isText {
		d.wrongType(at, value, tag, `a size in quotes, as "64KiB"`)
		return
	}
	size, err := ParseSize(text)
	if err != nil {
		d.bad(at, `not a size (%s, wanted digits and B, KiB, MiB or GiB, as "64KiB")`, configerror.Quote(text))
		return
	}
	v.SetInt(int64(size))
	d.checkRange(at, float64(size), configerror.Quote(text), tag, parseSizeBound)
}

// textual reads a value that unmarshals itself from text.
func (d *decoder) textual(at string, value any, v reflect.Value, tag reflect.StructTag) {
	text, isText := value.(string)
	if !isText {
		d.wrongType(at, value, tag, "a text in quotes")
		return
	}
	if err := v.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(text)); err != nil {
		d.bad(at, "%s: %s", configerror.Quote(text), configerror.Plain(err.Error()))
	}
}

// scalar reads a value of one of Go's own types.
func (d *decoder) scalar(at string, value any, v reflect.Value, tag reflect.StructTag) {
	switch v.Kind() {
	case reflect.Bool:
		if b, ok := value.(bool); ok {
			v.SetBool(b)
		} else {
			d.wrongType(at, value, tag, "true or false")
		}
	case reflect.Int, reflect.Int64, reflect.Uint16:
		d.integer(at, value, v, tag)
	case reflect.Float64:
		d.float(at, value, v, tag)
	case reflect.String:
		if text, ok := value.(string); ok {
			d.text(at, text, v, tag)
		} else {
			d.wrongType(at, value, tag, "a text in quotes")
		}
	}
}

func (d *decoder) integer(at string, value any, v reflect.Value, tag reflect.StructTag) {
	n, ok := value.(int64)
	if !ok {
		d.wrongType(at, value, tag, "a whole number")
		return
	}
	if !d.checkRange(at, float64(n), strconv.FormatInt(n, 10), tag, parseNumberBound) {
		return
	}
	if v.CanInt() {
		v.SetInt(n)
	} else {
		v.SetUint(uint64(n))
	}
}

// float reads a number, which may be whole.
func (d *decoder) float(at string, value any, v reflect.Value, tag reflect.StructTag) {
	x, ok := value.(float64)
	if n, isWhole := value.(int64); isWhole {
		x, ok = float64(n), true
	}
	if !ok {
		d.wrongType(at, value, tag, "a number")
		return
	}
	if d.checkRange(at, x, strconv.FormatFloat(x, 'g', -1, 64), tag, parseNumberBound) {
		v.SetFloat(x)
	}
}

func (d *decoder) text(at, text string, v reflect.Value, tag reflect.StructTag) {
	words := tag.Get("words")
	if words == "" {
		if d.checkLength(at, len(text), "bytes", maxTextBytes, tag) {
			v.SetString(text)
		}
		return
	}
	known := strings.Split(words, ",")
	if !slices.Contains(known, text) {
		d.bad(at, "unknown word (%s, wanted %s)%s",
			configerror.Quote(text), configerror.OneOf(known), configerror.DidYouMean(text, known))
		return
	}
	v.SetString(text)
}

// list reads a list. Its items have no ranges of their own; those of a secret list are secret.
func (d *decoder) list(at string, value any, v reflect.Value, tag reflect.StructTag) {
	items, ok := value.([]any)
	if !ok {
		d.wrongType(at, value, tag, "a list")
		return
	}
	if !d.checkLength(at, len(items), "entries", maxListEntries, tag) {
		return
	}
	list := reflect.MakeSlice(v.Type(), len(items), len(items))
	var itemTag reflect.StructTag
	if isSecret(tag) {
		itemTag = `secret:"true"`
	}
	for i, item := range items {
		d.value(fmt.Sprintf("%s[%d]", at, i), item, list.Index(i), itemTag)
	}
	v.Set(list)
}

// checkLength checks the length of a text or a list.
func (d *decoder) checkLength(at string, n int, what string, defaultMax float64, tag reflect.StructTag) bool {
	low, hasMin := bound(tag, "min", parseNumberBound)
	high, hasMax := bound(tag, "max", parseNumberBound)
	if !hasMax {
		high = defaultMax
	}
	if float64(n) > high || hasMin && float64(n) < low {
		d.bad(at, "out of range (%d %s, wanted %v to %v)", n, what, low, high)
		return false
	}
	return true
}

// checkRange checks the range of a figure. NaN is in no range.
func (d *decoder) checkRange(at string, x float64, shown string, tag reflect.StructTag, parse func(string) float64) bool {
	low, hasMin := bound(tag, "min", parse)
	high, hasMax := bound(tag, "max", parse)
	if math.IsNaN(x) || hasMin && x < low || hasMax && x > high {
		key := Key{Min: tag.Get("min"), Max: tag.Get("max")}
		d.bad(at, "out of range (%s, wanted %s)", shown, key.Range())
		return false
	}
	return true
}

// bound reads a bound of a tag, if it has one. Tags are part of the program, so that a malformed one is a defect of it: the
// parsers panic.
func bound(tag reflect.StructTag, name string, parse func(string) float64) (float64, bool) {
	text, ok := tag.Lookup(name)
	if !ok {
		return 0, false
	}
	return parse(text), true
}

func parseDurationBound(text string) float64 {
	d, err := time.ParseDuration(text)
	if err != nil {
		panic("operatorconfig: bound of a duration: " + err.Error())
	}
	return float64(d)
}

func parseSizeBound(text string) float64 {
	s, err := ParseSize(text)
	if err != nil {
		panic("operatorconfig: bound of a size: " + err.Error())
	}
	return float64(s)
}

func parseNumberBound(text string) float64 {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic("operatorconfig: bound of a number: " + err.Error())
	}
	return x
}

// isSecret reports whether a key's value must not be shown.
func isSecret(tag reflect.StructTag) bool { return tag.Get("secret") == "true" }

// describeUnlessSecret describes a value. A secret one is not shown whatever its type, as a password may have been written as
// a number or outside of its list.
func describeUnlessSecret(tag reflect.StructTag, value any) string {
	if isSecret(tag) {
		return "a value that is not shown"
	}
	return describe(value)
}

// describe describes a value of a file.
func describe(value any) string {
	switch x := value.(type) {
	case string:
		return "the text " + configerror.Quote(x)
	case bool:
		return strconv.FormatBool(x)
	case int64:
		return "the number " + strconv.FormatInt(x, 10)
	case float64:
		return "the number " + strconv.FormatFloat(x, 'g', -1, 64)
	case []any:
		return "a list"
	case map[string]any:
		return "a table"
	}
	return "a date or time"
}
