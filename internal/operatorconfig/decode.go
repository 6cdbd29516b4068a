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
	maxTextBytes   = 4096 // maximum length of a text whose tag has no max
	maxListEntries = 4096 // maximum length of a list whose tag has no max
)

// decoder decodes a document into a struct. It collects errors and continues after each.
type decoder struct{ errors *configerror.List }

// report adds an error at a path.
func (d *decoder) report(path, format string, args ...any) {
	d.errors.Add(configerror.Error{Field: path, Text: fmt.Sprintf(format, args...)})
}

// wrongType reports a value of the wrong type.
func (d *decoder) wrongType(path string, value any, tag reflect.StructTag, wanted string) {
	d.report(path, "wrong type (%s, wanted %s)", describeUnlessSecret(tag, value), wanted)
}

// table decodes a table into a struct. Keys without a field are errors.
func (d *decoder) table(path string, doc map[string]any, v reflect.Value) {
	var known []string
	for i := range v.NumField() {
		f := v.Type().Field(i)
		name := keyName(f)
		known = append(known, name)
		if value, found := doc[name]; found {
			d.value(joinPath(path, name), value, v.Field(i), f.Tag)
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
		d.report(joinPath(path, configerror.QuoteIfNeeded(name)), "unknown key%s", configerror.DidYouMean(name, known))
	}
}

// value decodes a value into v by the type of v, and checks its range.
func (d *decoder) value(path string, value any, v reflect.Value, tag reflect.StructTag) {
	t := v.Type()
	switch {
	case t == durationType:
		d.duration(path, value, v, tag)
	case t == sizeType:
		d.size(path, value, v, tag)
	case isTextUnmarshaler(t):
		d.textUnmarshaler(path, value, v, tag)
	case t.Kind() == reflect.Struct:
		if doc, ok := value.(map[string]any); ok {
			d.table(path, doc, v)
		} else {
			d.wrongType(path, value, tag, "a table")
		}
	case t.Kind() == reflect.Slice:
		d.list(path, value, v, tag)
	default:
		d.scalar(path, value, v, tag)
	}
}

func (d *decoder) duration(path string, value any, v reflect.Value, tag reflect.StructTag) {
	text, isText := value.(string)
	if !isText {
		d.wrongType(path, value, tag, `a duration in quotes, as "250ms"`)
		return
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		d.report(path, `not a duration (%s, wanted digits and ms, s or m, as "250ms")`, configerror.Quote(text))
		return
	}
	v.SetInt(int64(duration))
	d.checkRange(path, float64(duration), configerror.Quote(text), tag, parseDurationBound)
}

func (d *decoder) size(path string, value any, v reflect.Value, tag reflect.StructTag) {
	text, isText := value.(string)
	if !isText {
		d.wrongType(path, value, tag, `a size in quotes, as "64KiB"`)
		return
	}
	size, err := ParseSize(text)
	if err != nil {
		d.report(path, `not a size (%s, wanted digits and B, KiB, MiB or GiB, as "64KiB")`, configerror.Quote(text))
		return
	}
	v.SetInt(int64(size))
	d.checkRange(path, float64(size), configerror.Quote(text), tag, parseSizeBound)
}

// textUnmarshaler decodes a text into a value that implements encoding.TextUnmarshaler.
func (d *decoder) textUnmarshaler(path string, value any, v reflect.Value, tag reflect.StructTag) {
	text, isText := value.(string)
	if !isText {
		d.wrongType(path, value, tag, "a text in quotes")
		return
	}
	if err := v.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(text)); err != nil {
		d.report(path, "%s: %s", configerror.Quote(text), configerror.QuoteIfNeeded(err.Error()))
	}
}

// scalar decodes a value of a basic Go type.
func (d *decoder) scalar(path string, value any, v reflect.Value, tag reflect.StructTag) {
	switch v.Kind() {
	case reflect.Bool:
		if b, ok := value.(bool); ok {
			v.SetBool(b)
		} else {
			d.wrongType(path, value, tag, "true or false")
		}
	case reflect.Int, reflect.Int64, reflect.Uint16:
		d.integer(path, value, v, tag)
	case reflect.Float64:
		d.float(path, value, v, tag)
	case reflect.String:
		if text, ok := value.(string); ok {
			d.text(path, text, v, tag)
		} else {
			d.wrongType(path, value, tag, "a text in quotes")
		}
	}
}

func (d *decoder) integer(path string, value any, v reflect.Value, tag reflect.StructTag) {
	n, ok := value.(int64)
	if !ok {
		d.wrongType(path, value, tag, "a whole number")
		return
	}
	if !d.checkRange(path, float64(n), strconv.FormatInt(n, 10), tag, parseNumberBound) {
		return
	}
	if v.CanInt() {
		v.SetInt(n)
	} else {
		v.SetUint(uint64(n))
	}
}

// float decodes a number, which the file may write as an integer.
func (d *decoder) float(path string, value any, v reflect.Value, tag reflect.StructTag) {
	x, ok := value.(float64)
	if n, isWhole := value.(int64); isWhole {
		x, ok = float64(n), true
	}
	if !ok {
		d.wrongType(path, value, tag, "a number")
		return
	}
	if d.checkRange(path, x, strconv.FormatFloat(x, 'g', -1, 64), tag, parseNumberBound) {
		v.SetFloat(x)
	}
}

func (d *decoder) text(path, text string, v reflect.Value, tag reflect.StructTag) {
	words := tag.Get("words")
	if words == "" {
		if d.checkLength(path, len(text), "bytes", maxTextBytes, tag) {
			v.SetString(text)
		}
		return
	}
	known := strings.Split(words, ",")
	if !slices.Contains(known, text) {
		d.report(path, "unknown word (%s, wanted %s)%s",
			configerror.Quote(text), configerror.OneOf(known), configerror.DidYouMean(text, known))
		return
	}
	v.SetString(text)
}

// list decodes a list. The tag's range limits the length of the list, not its items; the items of a secret list are secret too.
func (d *decoder) list(path string, value any, v reflect.Value, tag reflect.StructTag) {
	items, ok := value.([]any)
	if !ok {
		d.wrongType(path, value, tag, "a list")
		return
	}
	if !d.checkLength(path, len(items), "entries", maxListEntries, tag) {
		return
	}
	list := reflect.MakeSlice(v.Type(), len(items), len(items))
	var itemTag reflect.StructTag
	if isSecret(tag) {
		itemTag = `secret:"true"`
	}
	for i, item := range items {
		d.value(fmt.Sprintf("%s[%d]", path, i), item, list.Index(i), itemTag)
	}
	v.Set(list)
}

// checkLength reports whether the length of a text or a list is in the tag's range, and adds an error if not. The unit names what
// n counts; defaultMax applies if the tag has no max.
func (d *decoder) checkLength(path string, n int, unit string, defaultMax float64, tag reflect.StructTag) bool {
	low, hasMin := bound(tag, "min", parseNumberBound)
	high, hasMax := bound(tag, "max", parseNumberBound)
	if !hasMax {
		high = defaultMax
	}
	if float64(n) > high || hasMin && float64(n) < low {
		d.report(path, "out of range (%d %s, wanted %v to %v)", n, unit, low, high)
		return false
	}
	return true
}

// checkRange reports whether a number is in the tag's range, and adds an error if not. NaN is in no range.
func (d *decoder) checkRange(path string, x float64, formatted string, tag reflect.StructTag, parse func(string) float64) bool {
	low, hasMin := bound(tag, "min", parse)
	high, hasMax := bound(tag, "max", parse)
	if math.IsNaN(x) || hasMin && x < low || hasMax && x > high {
		key := Key{Min: tag.Get("min"), Max: tag.Get("max")}
		d.report(path, "out of range (%s, wanted %s)", formatted, key.Range())
		return false
	}
	return true
}

// bound returns a bound of a tag, and whether the tag has it. The parse function panics on a malformed bound, because tags are
// part of the program.
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
		panic("operatorconfig: malformed bound of a duration: " + err.Error())
	}
	return float64(d)
}

func parseSizeBound(text string) float64 {
	s, err := ParseSize(text)
	if err != nil {
		panic("operatorconfig: malformed bound of a size: " + err.Error())
	}
	return float64(s)
}

func parseNumberBound(text string) float64 {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic("operatorconfig: malformed bound of a number: " + err.Error())
	}
	return x
}

// isSecret reports whether error messages must not show a key's value.
func isSecret(tag reflect.StructTag) bool { return tag.Get("secret") == "true" }

// describeUnlessSecret describes a value for an error message. It shows no secret value, even one of the wrong type: a password
// may have been written as a number, or without the list around it.
func describeUnlessSecret(tag reflect.StructTag, value any) string {
	if isSecret(tag) {
		return "a value that is not shown"
	}
	return describe(value)
}

// describe describes a value of a file for an error message.
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
