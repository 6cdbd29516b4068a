package operatorconfig

import (
	"encoding"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// Key describes one key of a kind of file, for documentation and error messages.
type Key struct {
	Path    string   // such as clients.idle_time, or members[].name in a list of tables
	Unit    string   // kind of the values, such as duration or count
	Default string   // as written in the file
	Min     string   // as written in the file; empty if there is no lower bound
	Max     string   // as written in the file; empty if there is no upper bound
	Choices []string // allowed values of a text; nil if any text is allowed
	Doc     string
}

// Range describes the allowed values of a key. It is empty if all values are allowed.
func (k Key) Range() string {
	switch {
	case len(k.Choices) > 0:
		return strings.Join(k.Choices, ", ")
	case k.Min == "" && k.Max == "":
		return ""
	case k.Min == "":
		return "at most " + k.Max
	case k.Max == "":
		return "at least " + k.Min
	}
	return k.Min + " to " + k.Max
}

// Keys returns the keys of a kind, in the order of the struct's fields.
func (k Kind) Keys() []Key { return keys("", reflect.ValueOf(k.defaults)) }

// keys returns the keys of the table at a path.
func keys(path string, v reflect.Value) []Key {
	var all []Key
	for i := range v.NumField() {
		f := v.Type().Field(i)
		name := keyName(f)
		keyPath, value := joinPath(path, name), v.Field(i)
		switch {
		case isTable(f.Type):
			all = append(all, keys(keyPath, value)...)
			continue
		case f.Type.Kind() == reflect.Slice && isTable(f.Type.Elem()):
			all = append(all, keys(keyPath+"[]", reflect.New(f.Type.Elem()).Elem())...)
			continue
		}
		key := Key{Path: keyPath, Unit: unit(f.Type), Default: formatValue(value), Min: f.Tag.Get("min"),
			Max: f.Tag.Get("max"), Doc: f.Tag.Get("doc")}
		if words := f.Tag.Get("words"); words != "" {
			key.Choices = strings.Split(words, ",")
		}
		all = append(all, key)
	}
	return all
}

// keyName returns the name of a field's key in the file. Every field of a kind's struct must be a key.
func keyName(f reflect.StructField) string {
	name := f.Tag.Get("toml")
	if name == "" || !f.IsExported() {
		panic(fmt.Sprintf("operatorconfig: field %s is not a key: it has no toml tag or is not exported", f.Name))
	}
	return name
}

// joinPath returns the path of a key in the table at path.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

var (
	durationType        = reflect.TypeFor[time.Duration]()
	sizeType            = reflect.TypeFor[Size]()
	textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// isTextUnmarshaler reports whether pointers to a type implement encoding.TextUnmarshaler.
func isTextUnmarshaler(t reflect.Type) bool {
	return reflect.PointerTo(t).Implements(textUnmarshalerType)
}

// isTable reports whether values of a type are tables in the file.
func isTable(t reflect.Type) bool { return t.Kind() == reflect.Struct && !isTextUnmarshaler(t) }

// unit returns the Unit of keys of a type.
func unit(t reflect.Type) string {
	switch {
	case t == durationType:
		return "duration"
	case t == sizeType:
		return "size"
	case isTextUnmarshaler(t):
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
	panic("operatorconfig: unsupported type of a key: " + t.String())
}

// formatValue formats a value as written in the file.
func formatValue(v reflect.Value) string {
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
			items = append(items, formatValue(v.Index(i)))
		}
		return "[" + strings.Join(items, ", ") + "]"
	}
	return fmt.Sprint(v.Interface())
}

// clone returns a deep copy, so that decoding a file into it does not change the defaults.
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
