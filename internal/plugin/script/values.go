package script

import (
	"fmt"

	"go.starlark.net/starlark"

	"starlingwinch/internal/plugin"
)

// The interface of Starlark scripts, version 1 of the contract. A script sets `version = 1` and defines at least one of
// on_request, on_answered and on_list. These functions have one parameter, a record; on_load and on_unload have none:
//
//	def on_request(r)    returns None (pass), refuse(wait_ms) or fail(text)
//	def on_answered(r)   returns None, like the functions below
//	def on_list(r)
//	def on_load()
//	def on_unload()
//
// A record has only the attributes of its point. The record of on_request has verb, request_class, tenant, key, size,
// time_left and value (None unless the operator set wants_value). The record of on_answered has the first five of these,
// outcome ("served", "refused" or "failed") and took. The record of on_list has caches and take_work. All records have now.
// Times are in microseconds, except for wait_ms, which is in milliseconds.
//
// Built-in functions:
//
//	tag(name), tenant(name)  only in on_request
//	log(text), print(...)    in all functions
//
// The state in a script's lists and dicts persists between calls until a call fails.

// verdict is the value that refuse and fail return to a script.
type verdict struct {
	decision   plugin.Decision // Reject or Fail
	retryAfter plugin.Time     // Reject
	text       string          // Fail
}

// String implements starlark.Value.
func (v verdict) String() string { return v.decision.String() }

// Type implements starlark.Value.
func (v verdict) Type() string { return "verdict" }

// Freeze implements starlark.Value.
func (v verdict) Freeze() {}

// Truth implements starlark.Value.
func (v verdict) Truth() starlark.Bool { return true }

// Hash implements starlark.Value.
func (v verdict) Hash() (uint32, error) { return uint32(v.decision), nil }

// predeclared returns the built-in functions that the contract provides to a script.
func (h *hook) predeclared() starlark.StringDict {
	text := func(name string, take func(string) error) *starlark.Builtin {
		return starlark.NewBuiltin(name, func(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple,
			named []starlark.Tuple) (starlark.Value, error) {
			var s string
			if err := starlark.UnpackPositionalArgs(b.Name(), args, named, 1, &s); err != nil {
				return nil, err
			}
			return starlark.None, take(s)
		})
	}
	return starlark.StringDict{
		"log":    text("log", func(s string) error { h.draft.Log(s); return nil }),
		"tag":    text("tag", h.draft.AddTag),
		"tenant": text("tenant", h.draft.SetTenant),
		"refuse": starlark.NewBuiltin("refuse", reject),
		"fail":   starlark.NewBuiltin("fail", fail),
	}
}

// reject implements the built-in function refuse.
func reject(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, named []starlark.Tuple) (starlark.Value, error) {
	ms := 0
	if err := starlark.UnpackArgs(b.Name(), args, named, "wait_ms?", &ms); err != nil {
		return nil, err
	}
	if ms < 0 || plugin.Time(ms) > plugin.MaxRetryAfter/1000 {
		return nil, &plugin.Failure{Kind: plugin.InvalidVerdict, Text: fmt.Sprintf("a wait of %d ms (wanted 0 to %d)", ms,
			plugin.MaxRetryAfter/1000)}
	}
	return verdict{decision: plugin.Reject, retryAfter: plugin.Time(ms) * 1000}, nil
}

// fail implements the built-in function fail.
func fail(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, named []starlark.Tuple) (starlark.Value, error) {
	var text string
	if err := starlark.UnpackArgs(b.Name(), args, named, "text", &text); err != nil {
		return nil, err
	}
	return verdict{decision: plugin.Fail, text: text}, nil
}

// record is the argument of a script's function. Each call has a separate record, because a script may retain the record.
type record struct{ c plugin.Call }

// newRecord returns a record of a call.
func newRecord(c *plugin.Call) *record { return &record{*c} }

// String implements starlark.Value.
func (r *record) String() string { return r.c.Point.String() }

// Type implements starlark.Value.
func (r *record) Type() string { return "record" }

// Freeze implements starlark.Value.
func (r *record) Freeze() {}

// Truth implements starlark.Value.
func (r *record) Truth() starlark.Bool { return true }

// Hash implements starlark.Value.
func (r *record) Hash() (uint32, error) { return 0, fmt.Errorf("a record is not hashable") }

// attributes are the names of a record's attributes, by point.
var attributes = [...][]string{
	plugin.OnRequest:   {"key", "now", "request_class", "size", "tenant", "time_left", "value", "verb"},
	plugin.Answered:    {"key", "now", "outcome", "request_class", "size", "took", "tenant", "verb"},
	plugin.ListChanged: {"caches", "now", "take_work"},
	plugin.Unload:      nil,
}

// AttrNames implements starlark.HasAttrs.
func (r *record) AttrNames() []string { return attributes[r.c.Point] }

// Attr implements starlark.HasAttrs. It returns nil for an unknown name; the interpreter reports that as an error.
func (r *record) Attr(name string) (starlark.Value, error) {
	c := &r.c
	known := false
	for _, field := range attributes[c.Point] {
		known = known || field == name
	}
	if !known {
		return nil, nil
	}
	switch name {
	case "verb":
		return starlark.String(c.Verb), nil
	case "request_class":
		return starlark.String(c.Class), nil
	case "tenant":
		return starlark.String(c.Tenant), nil
	case "key":
		return starlark.String(c.Key), nil
	case "size":
		return starlark.MakeInt(c.Size), nil
	case "time_left":
		return starlark.MakeInt64(c.TimeLeft), nil
	case "value":
		if c.Value == nil {
			return starlark.None, nil
		}
		return starlark.Bytes(c.Value), nil
	case "outcome":
		return starlark.String(c.Outcome.String()), nil
	case "took":
		return starlark.MakeInt64(c.Took), nil
	case "caches":
		return starlark.MakeInt(c.Caches), nil
	case "take_work":
		return starlark.MakeInt(c.ServingCaches), nil
	}
	return starlark.MakeInt64(c.Now), nil
}
