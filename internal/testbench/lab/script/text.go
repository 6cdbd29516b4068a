package script

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"starlingwinch/internal/operatorconfig"
)

// Text writes a script as a file that reads back as the same script.
func Text(s Script) string {
	s = s.Clone()
	s.Sort()
	var b strings.Builder
	fmt.Fprintf(&b, "kind = %q\n", File.Name)
	writeTable(&b, reflect.ValueOf(s), false)
	for _, part := range []struct {
		name string
		v    any
	}{{"clients", s.Clients}, {"fleet", s.Fleet}, {"network", s.Network}} {
		fmt.Fprintf(&b, "\n[%s]\n", part.name)
		writeTable(&b, reflect.ValueOf(part.v), false)
	}
	if s.Registry != defaultRegistry() {
		b.WriteString("\n[registry]\n")
		writeTable(&b, reflect.ValueOf(s.Registry), false)
	}
	for _, f := range s.Faults {
		b.WriteString("\n[[fault]]\n")
		writeTable(&b, reflect.ValueOf(f), true)
	}
	for _, h := range s.Hooks {
		b.WriteString("\n[[hook]]\n")
		writeTable(&b, reflect.ValueOf(h), true)
	}
	return b.String()
}

// writeTable writes the single values of a struct; those of a fault or a hook that are zero say nothing.
func writeTable(b *strings.Builder, v reflect.Value, leaveZero bool) {
	for i := range v.NumField() {
		f, name := v.Field(i), v.Type().Field(i).Tag.Get("toml")
		if leaveZero && f.IsZero() && name != "at" {
			continue
		}
		switch x := f.Interface().(type) {
		case time.Duration:
			fmt.Fprintf(b, "%s = %q\n", name, operatorconfig.FormatDuration(x))
		case string:
			fmt.Fprintf(b, "%s = %q\n", name, x)
		case float64:
			fmt.Fprintf(b, "%s = %s\n", name, strconv.FormatFloat(x, 'f', -1, 64))
		case int, int64, bool:
			fmt.Fprintf(b, "%s = %v\n", name, x)
		}
	}
}

// ParseFault reads a fault of a command line: KIND:TARGET@AT+FOR, as hang:c2@3s+2s, with further figures
// behind commas, as slow:all@1s+2s,factor=4. Where a kind has one target only, that may be left out.
func ParseFault(text string) (Fault, error) {
	wrong := func(what string) (Fault, error) {
		return Fault{}, fmt.Errorf("fault %q: %s (wanted KIND:TARGET@AT+FOR, as hang:c2@3s+2s)", text, what)
	}
	var f Fault
	parts := strings.Split(text, ",")
	head, times, ok := strings.Cut(parts[0], "@")
	if !ok {
		return wrong("no @")
	}
	f.Kind, f.Target, _ = strings.Cut(head, ":")
	if byName[f.Kind] == nil {
		return wrong("unknown kind " + strconv.Quote(f.Kind))
	}
	at, span, ok := strings.Cut(times, "+")
	var err error
	if f.At, err = time.ParseDuration(at); err != nil || f.At < 0 {
		return wrong("the time is no duration")
	}
	if ok {
		if f.For, err = time.ParseDuration(span); err != nil || f.For < 0 {
			return wrong("the span is no duration")
		}
	}
	for _, figure := range parts[1:] {
		name, value, _ := strings.Cut(figure, "=")
		if !f.set(name, value) {
			return wrong("figure " + strconv.Quote(figure))
		}
	}
	return f, nil
}

// set sets a figure and reports whether that could be.
func (f *Fault) set(name, value string) bool {
	var err error
	switch name {
	case "factor":
		f.Factor, err = strconv.ParseFloat(value, 64)
	case "chance":
		f.Chance, err = strconv.ParseFloat(value, 64)
	case "keys":
		f.Keys, err = strconv.Atoi(value)
	case "delay":
		f.Delay, err = time.ParseDuration(value)
	case "how":
		f.How = value
	default:
		return false
	}
	return err == nil
}

// String is the form of a command line.
func (f Fault) String() string {
	var b strings.Builder
	b.WriteString(f.Kind)
	if f.Target != "" {
		b.WriteString(":" + f.Target)
	}
	b.WriteString("@" + operatorconfig.FormatDuration(f.At))
	if f.For != 0 {
		b.WriteString("+" + operatorconfig.FormatDuration(f.For))
	}
	if f.Factor != 0 {
		b.WriteString(",factor=" + strconv.FormatFloat(f.Factor, 'g', -1, 64))
	}
	if f.Chance != 0 {
		b.WriteString(",chance=" + strconv.FormatFloat(f.Chance, 'g', -1, 64))
	}
	if f.Keys != 0 {
		b.WriteString(",keys=" + strconv.Itoa(f.Keys))
	}
	if f.Delay != 0 {
		b.WriteString(",delay=" + operatorconfig.FormatDuration(f.Delay))
	}
	if f.How != "" {
		b.WriteString(",how=" + f.How)
	}
	return b.String()
}
