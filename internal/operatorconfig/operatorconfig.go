// Package operatorconfig reads the files that operators write: deploy/NAME.toml, one for each subsystem. A subsystem defines its
// kind of file once, as a struct with defaults and a check. The unit, default, range and meaning of each key come from that
// struct, for reading, for `starlingwinch check` and for the tests of the documents.
//
// A file names its kind with its key `kind`, whatever the file's name. Reading is strict: an unknown key, a wrong type and a
// figure out of range are errors, and all of them are reported at once with line and column. Nothing is started.
//
// It is an edge: the words of the files stand in the struct tags of each kind, and the fields bear the terms of the code.
//
// The language is TOML 1.0, read with github.com/pelletier/go-toml/v2.
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

// MaxFileBytes is the size limit of a file.
const MaxFileBytes = 1 << 20

// kindKey is the top-level key that names the kind of a file.
const kindKey = "kind"

// Kind is a kind of file. Define makes one.
type Kind struct {
	Name     string // the value of the file's key `kind`
	Doc      string // what it is for, in one line
	defaults any
	check    func(v any, bad ReportFunc)
}

// ReportFunc reports an error that a key's range does not cover, at the key's path (clients.idle_time).
type ReportFunc func(key, format string, args ...any)

// Define makes a kind of the struct T. Each field that is a key has the tags
//
//	toml:"idle_time"          its name
//	min:"100ms" max:"1m"      its range, in the form of the file; for a text its length, for a list its entries
//	words:"first,last"        the only values of a text
//	doc:"..."                 what it is for
//	secret:"true"             no error shows its value; for texts and lists of texts
//
// A key may be a bool, an integer, a float, a time.Duration, a Size, a string, what unmarshals itself from text, a
// list of these, a struct (a table), or a list of structs. check may be nil; it is called with values inside their ranges.
// Define panics where a tag is wrong.
func Define[T any](name, doc string, defaults T, check func(v T, bad ReportFunc)) Kind {
	k := Kind{Name: name, Doc: doc, defaults: defaults}
	if check != nil {
		k.check = func(v any, bad ReportFunc) { check(v.(T), bad) }
	}
	for _, key := range k.Keys() {
		if key.Doc == "" {
			panic("operatorconfig: " + name + ": " + key.Path + " has no doc")
		}
	}
	return k
}

// File is a file that was read without errors.
type File struct {
	Path  string
	Kind  string
	Value any // of the kind's struct
}

// Registry holds the kinds of files that a program knows.
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

// Parse reads the text of a file. The error is a *configerror.List with everything that is wrong.
func (r Registry) Parse(path string, raw []byte) (File, error) {
	var found configerror.List
	file, ok := r.parse(raw, &found)
	if ok {
		file.Path = path
		return file, nil
	}
	found.In(path)
	return File{}, &found
}

// parse reads the text of a file, and reports whether it has no errors.
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

// syntaxError describes what the TOML library says of a text that it can't read.
func syntaxError(err error) configerror.Error {
	described := configerror.Error{Text: "not TOML: " + configerror.Plain(strings.TrimPrefix(err.Error(), "toml: "))}
	var at *toml.DecodeError
	if errors.As(err, &at) {
		described.Line, described.Column = at.Position()
	}
	return described
}

// decode returns the kind's struct with what a document sets, and adds the errors of the document.
func (k Kind) decode(doc map[string]any, found *configerror.List) any {
	value := reflect.New(reflect.TypeOf(k.defaults)).Elem()
	value.Set(clone(reflect.ValueOf(k.defaults)))
	d := decoder{errors: found}
	d.table("", doc, value)
	if found.Empty() && k.check != nil {
		k.check(value.Interface(), d.bad)
	}
	return value.Interface()
}

// kind finds the kind that a document names.
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

// Get returns the value of a kind from the files of a start, or else the defaults of the kind.
func Get[T any](files []File, k Kind) T {
	for _, f := range files {
		if v, ok := f.Value.(T); ok && f.Kind == k.Name {
			return v
		}
	}
	return clone(reflect.ValueOf(k.defaults)).Interface().(T)
}

// Read reads a regular file of a bounded size. Reading a device might never end, and a pipe that nobody writes to would block.
func Read(path string, maxBytes int64) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() {
		return nil, fmt.Errorf("%s: not a regular file", configerror.Plain(path))
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
		return nil, fmt.Errorf("%s: too large (wanted at most %d bytes)", configerror.Plain(path), maxBytes)
	}
	return raw, nil
}
