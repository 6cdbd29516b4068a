// Package operatorconfig reads the configuration files that operators write: deploy/NAME.toml, one for each subsystem. A subsystem
// defines its kind of file once, as a struct with defaults and a check. The decoder, `starlingwinch check` and the tests of the
// documentation take the unit, default, range and description of each key from that struct.
//
// The key `kind` of a file names its kind; the file's name has no meaning. Decoding is strict: an unknown key, a wrong type and a
// number out of range are errors, and one call reports all errors with line and column. Decoding starts nothing.
//
// The names of keys in files stand only in the struct tags of each kind. The struct's fields have the names that the code uses.
//
// The format is TOML 1.0, parsed by github.com/pelletier/go-toml/v2.
package operatorconfig

import (
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"starlingwinch/internal/configerror"
)

// MaxFileBytes is the maximum size of a file.
const MaxFileBytes = 1 << 20

// kindKey is the top-level key that names the kind of a file.
const kindKey = "kind"

// Kind is a kind of configuration file. Use Define to create a Kind.
type Kind struct {
	Name     string // value of the key `kind` in files
	Doc      string // purpose of the file, in one line
	defaults any
	check    func(v any, report ReportFunc)
}

// ReportFunc reports an error that the range of a key does not cover. The key is a path such as clients.idle_time.
type ReportFunc func(key, format string, args ...any)

// Define returns a kind of file that is decoded into the struct T. The fields of T have these tags:
//
//	toml:"idle_time"          name of the key
//	min:"100ms" max:"1m"      range of the value, as written in the file; for a text or a list, range of its length
//	words:"first,last"        allowed values of a text
//	doc:"..."                 description of the key
//	secret:"true"             keeps the value out of error messages; for texts and lists of texts
//
// A key may be a bool, an integer, a float, a time.Duration, a Size, a string, an encoding.TextUnmarshaler, a list of these,
// a struct (a table), or a list of structs. The check function may be nil; it runs only if decoding found no error, such as an
// unknown key, a wrong type or a value out of range. Define panics if a key has no name, no doc or an unsupported type.
func Define[T any](name, doc string, defaults T, check func(v T, report ReportFunc)) Kind {
	k := Kind{Name: name, Doc: doc, defaults: defaults}
	if check != nil {
		k.check = func(v any, report ReportFunc) { check(v.(T), report) }
	}
	for _, key := range k.Keys() {
		if key.Doc == "" {
			panic("operatorconfig: " + name + ": " + key.Path + " has no doc")
		}
	}
	return k
}

// File is a decoded file without errors.
type File struct {
	Path  string
	Kind  string
	Value any // of the kind's struct type
}

// Registry lists the kinds of files that a program accepts.
type Registry []Kind

func (r Registry) names() []string {
	var names []string
	for _, k := range r {
		names = append(names, k.Name)
	}
	return names
}

// Load reads and parses a file.
func (r Registry) Load(path string) (File, error) {
	raw, err := Read(path, MaxFileBytes)
	if err != nil {
		return File{}, err
	}
	return r.Parse(path, raw)
}

// Parse decodes the content of a file. The error is a *configerror.List with all errors of the file.
func (r Registry) Parse(path string, raw []byte) (File, error) {
	var found configerror.List
	file, ok := r.parse(raw, &found)
	if ok {
		file.Path = path
		return file, nil
	}
	found.SetFile(path)
	return File{}, &found
}

// parse decodes the content of a file, adds the errors to found, and reports whether there are none.
func (r Registry) parse(raw []byte, found *configerror.List) (File, bool) {
	if len(raw) > MaxFileBytes {
		found.Add(configerror.Error{Text: fmt.Sprintf("too large (%d bytes, wanted at most %d)", len(raw), MaxFileBytes)})
		return File{}, false
	}
	var doc map[string]any
	if err := toml.Unmarshal(raw, &doc); err != nil {
		found.Add(syntaxError(err))
		return File{}, false
	}
	kind, err := r.kind(doc)
	if err != nil {
		found.Add(*err)
		locate(raw, found.All())
		return File{}, false
	}
	delete(doc, kindKey)
	value := kind.decode(doc, found)
	if found.Empty() {
		return File{Kind: kind.Name, Value: value}, true
	}
	locate(raw, found.All())
	found.Sort()
	return File{}, false
}

// syntaxError converts a decoding error of the TOML library.
func syntaxError(err error) configerror.Error {
	described := configerror.Error{Text: "not TOML: " + configerror.QuoteIfNeeded(strings.TrimPrefix(err.Error(), "toml: "))}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		described.Line, described.Column = decodeErr.Position()
	}
	return described
}

// decode returns the kind's defaults overridden by the values of a document, and adds the errors of the document to found.
func (k Kind) decode(doc map[string]any, found *configerror.List) any {
	value := reflect.New(reflect.TypeOf(k.defaults)).Elem()
	value.Set(clone(reflect.ValueOf(k.defaults)))
	d := decoder{errors: found}
	d.table("", doc, value)
	if found.Empty() && k.check != nil {
		k.check(value.Interface(), d.report)
	}
	return value.Interface()
}

// kind returns the kind that a document names.
func (r Registry) kind(doc map[string]any) (Kind, *configerror.Error) {
	names := r.names()
	known := configerror.OneOf(names)
	value, isSet := doc[kindKey]
	name, isText := value.(string)
	switch {
	case !isSet:
		return Kind{}, &configerror.Error{Field: kindKey, Text: "missing (wanted " + known + ")"}
	case !isText:
		return Kind{}, &configerror.Error{Field: kindKey, Text: "wrong type (" + describe(value) + ", wanted " + known + ")"}
	}
	for _, k := range r {
		if k.Name == name {
			return k, nil
		}
	}
	return Kind{}, &configerror.Error{Field: kindKey, Text: fmt.Sprintf("unknown kind of file (%s, wanted %s)%s",
		configerror.Quote(name), known, configerror.DidYouMean(name, names))}
}

// Get returns the value of the first file of a kind, or the defaults of the kind if there is no such file.
func Get[T any](files []File, k Kind) T {
	for _, f := range files {
		if v, ok := f.Value.(T); ok && f.Kind == k.Name {
			return v
		}
	}
	return clone(reflect.ValueOf(k.defaults)).Interface().(T)
}

// Read reads a regular file of at most maxBytes. It rejects devices and pipes: reading a device might never end, and reading a
// pipe without a writer would block.
func Read(path string, maxBytes int64) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() {
		return nil, fmt.Errorf("%s: not a regular file", configerror.QuoteIfNeeded(path))
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, maxBytes+1))
	if err != nil {
		return nil, err
	}
	if int64(len(raw)) > maxBytes {
		return nil, fmt.Errorf("%s: too large (wanted at most %d bytes)", configerror.QuoteIfNeeded(path), maxBytes)
	}
	return raw, nil
}
