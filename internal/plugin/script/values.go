package script

import (
	"fmt"

	"go.starlark.net/starlark"

	"starlingwinch/internal/plugin"
)

// The contract in Starlark, version 1. A script sets `version = 1` and defines at least one function for a point. Each gets
// one record, except for on_load and on_unload, which get nothing:
//
//	def on_request(r)    returns None (pass), refuse(wait_ms) or fail(text)
//	def on_answered(r)   returns None, as the others do
//	def on_list(r)
//	def on_load()
//	def on_unload()
//
// A record has the attributes of its point alone: verb, request_class, tenant, key, size, time_left and value (None where the
// operator has not set wants_value) of a request; the first five, outcome ("served", "refused" or "failed") and took
// of an answer; caches and take_work of a list. now is in all of them. Times are in microseconds, but for wait_ms.
//
// Built-in functions:
//
//	tag(name), tenant(name)  in on_request alone
//	log(text), print(...)    everywhere
//
// The state that a script holds in its own lists and dicts lasts from call to call, until one fails.

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

// predeclared returns the names that the contract provides to a script.
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

// record is the value that a point is handed. Each call has its own, as a script may retain it.
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
func (r *record) Hash() (uint32, error) { return 0, fmt.Errorf("a record has no hash") }

// attributes are the names of a record's attributes, by point.
var attributes = [...][]string{
	plugin.OnRequest:   {"key", "now", "request_class", "size", "tenant", "time_left", "value", "verb"},
	plugin.Answered:    {"key", "now", "outcome", "request_class", "size", "took", "tenant", "verb"},
	plugin.ListChanged: {"caches", "now", "take_work"},
	plugin.Unload:      nil,
}

// AttrNames implements starlark.HasAttrs.
func (r *record) AttrNames() []string { return attributes[r.c.Point] }

// Attr implements starlark.HasAttrs. It returns nil for an unknown name, which the interpreter reports as an error.
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
