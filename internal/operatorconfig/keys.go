package operatorconfig

import (
	"encoding"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// Key describes one key of a kind of file, for documents and messages.
type Key struct {
	Path    string   // clients.idle_time; entries of lists of tables as members[].name
	Unit    string   // what its values are
	Default string   // in the form of the file
	Min     string   // in the form of the file; empty where there is no bound
	Max     string   // as Min
	Words   []string // the only values of a text; nil for any
	Doc     string
}

// Range describes the values that a key may have; empty for any.
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

// Keys returns the keys of a kind, in the order of its struct.
func (k Kind) Keys() []Key { return keys("", reflect.ValueOf(k.defaults)) }

// keys returns the keys of a table at a path.
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

// keyName returns the name of a field in the file. Every field of a kind's struct is a key.
func keyName(f reflect.StructField) string {
	name := f.Tag.Get("toml")
	if name == "" || !f.IsExported() {
		panic(fmt.Sprintf("operatorconfig: field %s is no key: it has no name in its tag, or is not exported", f.Name))
	}
	return name
}

// joined returns the path of a key in a table.
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

// isTextual reports whether values of a type are read from text by their own method.
func isTextual(t reflect.Type) bool { return reflect.PointerTo(t).Implements(textual) }

// isTable reports whether values of a type are tables of the file.
func isTable(t reflect.Type) bool { return t.Kind() == reflect.Struct && !isTextual(t) }

// unit describes the values of a type.
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
	panic("operatorconfig: no key can be a " + t.String())
}

// show returns a value in the form of the file.
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

// clone returns a deep copy, so that what one file sets does not change the defaults.
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
