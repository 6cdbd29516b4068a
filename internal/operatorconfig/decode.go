package operatorconfig

import (
	"encoding"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"starlingwinch/internal/configerror"
)

const (
	longestText = 4096 // bytes of a text that has no range of its own
	longestList = 4096 // entries of a list that has none
)

// decoder carries a document over into a struct, and goes on after a fault.
type decoder struct{ faults *configerror.List }

func (d *decoder) bad(at, format string, args ...any) {
	d.faults.Add(configerror.Error{Field: at, Text: fmt.Sprintf(format, args...)})
}

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
	for name := range doc {
		if !slices.Contains(known, name) {
			unknown = append(unknown, name)
		}
	}
	slices.Sort(unknown)
	for _, name := range unknown {
		d.bad(joined(at, configerror.Plain(name)), "unknown key%s", configerror.DidYouMean(name, known))
	}
}

// value carries one value over, and looks at its range.
func (d *decoder) value(at string, value any, v reflect.Value, tag reflect.StructTag) {
	t := v.Type()
	wrong := func(wanted string) { d.bad(at, "wrong type (%s, wanted %s)", gotOf(tag, value), wanted) }
	text, isText := value.(string)
	switch {
	case t == durationType:
		span, err := time.ParseDuration(text)
		switch {
		case !isText:
			wrong(`a duration in quotes, as "250ms"`)
		case err != nil:
			d.bad(at, `not a duration (%s, wanted digits and ms, s or m, as "250ms")`, configerror.Quote(text))
		default:
			v.SetInt(int64(span))
			d.within(at, float64(span), configerror.Quote(text), tag, durationBound)
		}
	case t == sizeType:
		size, err := ParseSize(text)
		switch {
		case !isText:
			wrong(`a size in quotes, as "64KiB"`)
		case err != nil:
			d.bad(at, "not a size (%s, wanted digits and B, KiB, MiB or GiB, as \"64KiB\")", configerror.Quote(text))
		default:
			v.SetInt(int64(size))
			d.within(at, float64(size), configerror.Quote(text), tag, sizeBound)
		}
	case isTextual(t):
		if !isText {
			wrong("a text in quotes")
		} else if err := v.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(text)); err != nil {
			d.bad(at, "%s: %s", configerror.Quote(text), configerror.Plain(err.Error()))
		}
	case t.Kind() == reflect.Struct:
		if doc, ok := value.(map[string]any); ok {
			d.table(at, doc, v)
		} else {
			wrong("a table")
		}
	case t.Kind() == reflect.Slice:
		d.list(at, value, v, tag)
	default:
		d.scalar(at, value, v, tag)
	}
}

func (d *decoder) scalar(at string, value any, v reflect.Value, tag reflect.StructTag) {
	wrong := func(wanted string) { d.bad(at, "wrong type (%s, wanted %s)", gotOf(tag, value), wanted) }
	switch v.Kind() {
	case reflect.Bool:
		if b, ok := value.(bool); ok {
			v.SetBool(b)
		} else {
			wrong("true or false")
		}
	case reflect.Int, reflect.Int64, reflect.Uint16:
		n, ok := value.(int64)
		if !ok {
			wrong("a whole number")
			return
		}
		if !d.within(at, float64(n), strconv.FormatInt(n, 10), tag, numberBound) {
			return
		}
		if v.CanInt() {
			v.SetInt(n)
		} else {
			v.SetUint(uint64(n))
		}
	case reflect.Float64:
		x, ok := value.(float64)
		if n, whole := value.(int64); whole {
			x, ok = float64(n), true
		}
		if !ok {
			wrong("a number")
			return
		}
		if d.within(at, x, strconv.FormatFloat(x, 'g', -1, 64), tag, numberBound) {
			v.SetFloat(x)
		}
	case reflect.String:
		if text, ok := value.(string); ok {
			d.text(at, text, v, tag)
		} else {
			wrong("a text in quotes")
		}
	}
}

func (d *decoder) text(at, text string, v reflect.Value, tag reflect.StructTag) {
	if words := tag.Get("words"); words != "" {
		known := strings.Split(words, ",")
		if !slices.Contains(known, text) {
			d.bad(at, "unknown word (%s, wanted %s)%s", configerror.Quote(text), configerror.OneOf(known),
				configerror.DidYouMean(text, known))
			return
		}
	} else if !d.length(at, len(text), "bytes", longestText, tag) {
		return
	}
	v.SetString(text)
}

func (d *decoder) list(at string, value any, v reflect.Value, tag reflect.StructTag) {
	items, ok := value.([]any)
	if !ok {
		d.bad(at, "wrong type (%s, wanted a list)", gotOf(tag, value))
		return
	}
	if !d.length(at, len(items), "entries", longestList, tag) {
		return
	}
	out := reflect.MakeSlice(v.Type(), len(items), len(items))
	var itemTag reflect.StructTag
	if secret(tag) {
		itemTag = `secret:"true"`
	}
	for i, item := range items {
		d.value(fmt.Sprintf("%s[%d]", at, i), item, out.Index(i), itemTag)
	}
	v.Set(out)
}

// length looks at the length of a text or a list.
func (d *decoder) length(at string, n int, what string, most float64, tag reflect.StructTag) bool {
	least, hasLeast := bound(tag, "min", numberBound)
	if m, ok := bound(tag, "max", numberBound); ok {
		most = m
	}
	if float64(n) > most || hasLeast && float64(n) < least {
		d.bad(at, "out of range (%d %s, wanted %v to %v)", n, what, least, most)
		return false
	}
	return true
}

// within looks at the range of a figure. What is not a number is in no range.
func (d *decoder) within(at string, x float64, shown string, tag reflect.StructTag, parse func(string) float64) bool {
	least, hasLeast := bound(tag, "min", parse)
	most, hasMost := bound(tag, "max", parse)
	if x != x || hasLeast && x < least || hasMost && x > most {
		key := Key{Min: tag.Get("min"), Max: tag.Get("max")}
		d.bad(at, "out of range (%s, wanted %s)", shown, key.Range())
		return false
	}
	return true
}

// bound reads a bound of a tag. The tags are the program's own: a bad one is found by its first test.
func bound(tag reflect.StructTag, name string, parse func(string) float64) (float64, bool) {
	text, ok := tag.Lookup(name)
	if !ok {
		return 0, false
	}
	return parse(text), true
}

func durationBound(text string) float64 {
	d, err := time.ParseDuration(text)
	if err != nil {
		panic("opfile: bound of a duration: " + err.Error())
	}
	return float64(d)
}

func sizeBound(text string) float64 {
	s, err := ParseSize(text)
	if err != nil {
		panic("opfile: bound of a size: " + err.Error())
	}
	return float64(s)
}

func numberBound(text string) float64 {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic("opfile: bound of a number: " + err.Error())
	}
	return x
}

// secret reports whether a key's value must not be shown.
func secret(tag reflect.StructTag) bool { return tag.Get("secret") == "true" }

// gotOf words the value of a key. The danger: a password that stands there as a number, or not in a list, is shown.
func gotOf(tag reflect.StructTag, value any) string {
	if !secret(tag) {
		return got(value)
	}
	return "a value that is not shown"
}

// got words a value of the file.
func got(value any) string {
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
