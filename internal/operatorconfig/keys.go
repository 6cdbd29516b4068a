package operatorconfig

import (
	"encoding"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// Key is one key of a kind of file.
type Key struct {
	Path    string // clients.idle_time; entries of lists of tables as members[].name
	Unit    string // what its values are
	Default string // in the form of the file
	Min     string // "" where there is no bound
	Max     string
	Words   []string
	Doc     string
}

// Range words the bounds of a key.
func (k Key) Range() string {
	switch {
	case len(k.Words) > 0:
		return strings.Join(k.Words, ", ")
	case k.Min == "" && k.Max == "":
		return ""
	case k.Min == "":
		return "at most " + k.Max
	case k.Max == "":
		return "at least " + k.Min
	}
	return k.Min + " to " + k.Max
}

// Keys lists the keys of a kind, in the order of its struct.
func (k Kind) Keys() []Key { return keys("", reflect.ValueOf(k.defaults)) }

func keys(at string, v reflect.Value) []Key {
	var all []Key
	for i := range v.NumField() {
		f := v.Type().Field(i)
		name := keyName(f)
		path, value := joined(at, name), v.Field(i)
		switch {
		case isTable(f.Type):
			all = append(all, keys(path, value)...)
			continue
		case f.Type.Kind() == reflect.Slice && isTable(f.Type.Elem()):
			all = append(all, keys(path+"[]", reflect.New(f.Type.Elem()).Elem())...)
			continue
		}
		key := Key{Path: path, Unit: unit(f.Type), Default: show(value), Min: f.Tag.Get("min"),
			Max: f.Tag.Get("max"), Doc: f.Tag.Get("doc")}
		if words := f.Tag.Get("words"); words != "" {
			key.Words = strings.Split(words, ",")
		}
		all = append(all, key)
	}
	return all
}

// keyName is the name of a field in the file. Every field is a key.
func keyName(f reflect.StructField) string {
	name := f.Tag.Get("toml")
	if name == "" || !f.IsExported() {
		panic(fmt.Sprintf("opfile: field %s is no key: it has no name in its tag, or is not exported", f.Name))
	}
	return name
}

func joined(at, name string) string {
	if at == "" {
		return name
	}
	return at + "." + name
}

var (
	durationType = reflect.TypeFor[time.Duration]()
	sizeType     = reflect.TypeFor[Size]()
	textual      = reflect.TypeFor[encoding.TextUnmarshaler]()
)

func isTextual(t reflect.Type) bool { return reflect.PointerTo(t).Implements(textual) }
func isTable(t reflect.Type) bool   { return t.Kind() == reflect.Struct && !isTextual(t) }

// unit names what the values of a type are.
func unit(t reflect.Type) string {
	switch {
	case t == durationType:
		return "duration"
	case t == sizeType:
		return "size"
	case isTextual(t):
		return "text"
	}
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64, reflect.Uint16:
		return "count"
	case reflect.Float64:
		return "number"
	case reflect.String:
		return "text"
	case reflect.Slice:
		return "list of " + unit(t.Elem())
	}
	panic("opfile: no key can be a " + t.String())
}

// show words a value in the form of the file.
func show(v reflect.Value) string {
	switch x := v.Interface().(type) {
	case time.Duration:
		return strconv.Quote(FormatDuration(x))
	case Size:
		return strconv.Quote(x.String())
	case string:
		return strconv.Quote(x)
	case encoding.TextMarshaler:
		text, _ := x.MarshalText()
		return strconv.Quote(string(text))
	}
	if v.Kind() == reflect.Slice {
		var items []string
		for i := range v.Len() {
			items = append(items, show(v.Index(i)))
		}
		return "[" + strings.Join(items, ", ") + "]"
	}
	return fmt.Sprint(v.Interface())
}

// clone copies a value whole: what one file sets must not change the defaults.
func clone(v reflect.Value) reflect.Value {
	out := reflect.New(v.Type()).Elem()
	out.Set(v)
	switch {
	case isTable(v.Type()):
		for i := range v.NumField() {
			out.Field(i).Set(clone(v.Field(i)))
		}
	case v.Kind() == reflect.Slice && !v.IsNil():
		out.Set(reflect.MakeSlice(v.Type(), v.Len(), v.Len()))
		for i := range v.Len() {
			out.Index(i).Set(clone(v.Index(i)))
		}
	}
	return out
}
