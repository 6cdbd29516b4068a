// Package script runs hooks that are Starlark scripts (github.com/bazelbuild/starlark, spec.md). A script is a text file that
// needs no tool chain. values.go documents the interface of a script.
//
// The language has no files, clock, randomness or threads, and recursion and while loops are disabled. The interpreter does not
// bound memory, and some of its built-in functions can't be interrupted, so a script must run in a process that can be killed.
package script

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"sync/atomic"
	"time"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"

	"starlingwinch/internal/plugin"
)

const (
	maxSource      = 256 << 10 // bytes of a script; the parser recurses for each nested bracket
	loadStepFactor = 100       // the step limit of loading, as a multiple of the limit of a call
	maxErrorText   = 200       // bytes of an interpreter's error in a failure
	maxValueText   = 40        // bytes of a script's value or type in a failure
)

// Engine implements plugin.Engine.
type Engine struct{}

// Name implements plugin.Engine.
func (Engine) Name() string { return "script" }

// FileExtension implements plugin.Engine.
func (Engine) FileExtension() string { return ".star" }

// Load implements plugin.Engine.
func (Engine) Load(name string, code []byte, b plugin.Budget) (plugin.Hook, error) {
	if len(code) > maxSource {
		return nil, notLoadable("a file of %d bytes (wanted at most %d)", len(code), maxSource)
	}
	h := &hook{name: name, budget: b}
	h.draft.Budget = b
	h.builtins = h.predeclared()
	var err error
	options := &syntax.FileOptions{Set: true, TopLevelControl: true}
	if _, h.program, err = starlark.SourceProgramOptions(options, name, code, h.builtins.Has); err != nil {
		return nil, notLoadable("%s", errorText(err))
	}
	var v plugin.Verdict
	h.draft.Begin(plugin.Load, &v)
	if err := h.newInstance(); err != nil {
		return nil, err
	}
	return h, nil
}

// hook implements plugin.Hook.
type hook struct {
	name     string
	budget   plugin.Budget
	points   plugin.Points
	draft    plugin.Draft        // the verdict of the current call
	builtins starlark.StringDict // the functions that the contract provides
	program  *starlark.Program
	instance *instance // nil after a failed call
	guard    plugin.InterruptGuard
}

// instance is a script whose top level has run, with the script's state since then.
type instance struct {
	thread *starlark.Thread
	calls  [len(functions)]*starlark.Function // by point; nil where the script defines no function
	stop   func()                             // interrupts the running call
}

// functions are the names of a script's functions by point.
var functions = [...]string{
	plugin.Load:        "on_load",
	plugin.OnRequest:   "on_request",
	plugin.Answered:    "on_answered",
	plugin.ListChanged: "on_list",
	plugin.Unload:      "on_unload",
}

// newInstance runs the top level of the script and calls the script at the point Load. Both are interrupted after LoadTime.
func (h *hook) newInstance() error {
	in := &instance{thread: &starlark.Thread{Name: h.name, Print: func(_ *starlark.Thread, s string) { h.draft.Log(s) }}}
	var late atomic.Bool
	in.stop = func() { in.thread.Cancel("interrupted") }
	timer := time.AfterFunc(time.Duration(h.budget.LoadTime)*time.Microsecond, func() {
		late.Store(true)
		in.stop()
	})
	defer timer.Stop()
	in.setStepLimit(loadStepFactor * h.budget.Steps)
	globals, err := h.program.Init(in.thread, h.builtins)
	if err != nil {
		return h.classify(err, in, late.Load(), loadStepFactor*h.budget.Steps)
	}
	if err := h.bindFunctions(in, globals); err != nil {
		return err
	}
	if f := in.calls[plugin.Load]; f != nil {
		got, err := starlark.Call(in.thread, f, nil, nil)
		if err != nil {
			return h.classify(err, in, late.Load(), loadStepFactor*h.budget.Steps)
		}
		if err := h.acceptResult(got); err != nil {
			return err
		}
	}
	h.instance = in
	return nil
}

// setStepLimit bounds the interpreter steps of the next call; 0 is no bound.
func (in *instance) setStepLimit(steps int64) {
	in.thread.Steps = 0
	if steps == 0 {
		steps = math.MaxInt64
	}
	in.thread.SetMaxExecutionSteps(uint64(steps))
}

// bindFunctions checks the script's contract version and looks up its functions for the points.
func (h *hook) bindFunctions(in *instance, globals starlark.StringDict) error {
	version, found := globals["version"]
	if !found {
		return notLoadable("it does not set version: it is not a hook of this contract")
	}
	n, err := starlark.AsInt32(version)
	if err != nil {
		return notLoadable("its version is not a number (%s)", plugin.SanitizeText(version.String(), maxValueText))
	}
	if n != plugin.Version {
		return &plugin.Failure{Kind: plugin.VersionMismatch, Text: fmt.Sprintf(
			"it was built for version %d of the contract, and this router has version %d", n, plugin.Version)}
	}
	points := plugin.Points(0)
	for p, name := range functions {
		value, found := globals[name]
		if !found {
			continue
		}
		f, ok := value.(*starlark.Function)
		want := 1
		if p := plugin.Point(p); p == plugin.Load || p == plugin.Unload {
			want = 0
		}
		if !ok || f.NumParams() != want || f.HasVarargs() || f.HasKwargs() {
			return notLoadable("its %s is not a function with %d parameters", name, want)
		}
		in.calls[p] = f
		points = points.With(plugin.Point(p))
	}
	if !points.Has(plugin.OnRequest) && !points.Has(plugin.Answered) && !points.Has(plugin.ListChanged) {
		return notLoadable("it has none of on_request, on_answered and on_list")
	}
	h.points = points
	return nil
}

// Points implements plugin.Hook.
func (h *hook) Points() plugin.Points { return h.points }

// Interrupt implements plugin.Hook.
func (h *hook) Interrupt() { h.guard.Interrupt() }

// Call implements plugin.Hook.
func (h *hook) Call(c *plugin.Call, v *plugin.Verdict) error {
	h.draft.Begin(c.Point, v)
	if !h.points.Has(c.Point) {
		return nil
	}
	if h.instance == nil {
		if err := h.newInstance(); err != nil {
			h.draft.Discard()
			return err
		}
	}
	err := h.call(h.instance, c)
	if err != nil {
		h.draft.Discard()
		h.instance = nil // a failed call may leave the script's state inconsistent
	}
	return err
}

// call calls the instance's function for the point of c.
func (h *hook) call(in *instance, c *plugin.Call) error {
	var args starlark.Tuple
	if c.Point != plugin.Load && c.Point != plugin.Unload {
		args = starlark.Tuple{newRecord(c)}
	}
	in.setStepLimit(h.budget.Steps)
	h.guard.Begin(in.stop)
	got, err := starlark.Call(in.thread, in.calls[c.Point], args, nil)
	interrupted := h.guard.End()
	if err != nil || interrupted {
		return h.classify(err, in, interrupted, h.budget.Steps)
	}
	return h.acceptResult(got)
}

// acceptResult sets the verdict from the value that a function returned.
func (h *hook) acceptResult(got starlark.Value) error {
	switch got := got.(type) {
	case starlark.NoneType:
		return h.draft.Finish(int64(plugin.Pass))
	case verdict:
		if got.decision == plugin.Reject {
			if err := h.draft.SetRetryAfter(got.retryAfter); err != nil {
				return err
			}
		}
		if got.decision == plugin.Fail {
			if err := h.draft.SetText(got.text); err != nil {
				return err
			}
		}
		return h.draft.Finish(int64(got.decision))
	}
	return &plugin.Failure{Kind: plugin.InvalidVerdict, Text: fmt.Sprintf("a value of the type %s (wanted None, refuse() or fail())",
		plugin.SanitizeText(got.Type(), maxValueText))}
}

// Close implements plugin.Hook.
func (h *hook) Close() { h.instance = nil }

// classify converts an error of the interpreter to a failure.
func (h *hook) classify(err error, in *instance, interrupted bool, steps int64) error {
	if interrupted {
		return &plugin.Failure{Kind: plugin.BudgetExceeded, Text: "it was interrupted"}
	}
	if steps > 0 && in.thread.Steps >= uint64(steps) {
		return &plugin.Failure{Kind: plugin.BudgetExceeded, Text: fmt.Sprintf("more than %d steps", steps)}
	}
	var own *plugin.Failure
	if errors.As(err, &own) {
		return own
	}
	return &plugin.Failure{Kind: plugin.Crashed, Text: errorText(err)}
}

// notLoadable returns the failure of a file that is not a valid hook.
func notLoadable(format string, args ...any) error {
	return &plugin.Failure{Kind: plugin.NotLoadable, Text: fmt.Sprintf(format, args...)}
}

// errorText returns an error in one line, with its position in the script if the position is known.
func errorText(err error) string {
	var eval *starlark.EvalError
	if errors.As(err, &eval) {
		for i := len(eval.CallStack) - 1; i >= 0; i-- {
			if pos := eval.CallStack[i].Pos; pos.Filename() != "<builtin>" {
				return plugin.SanitizeText(fmt.Sprintf("%s: %s", pos, eval.Msg), maxErrorText)
			}
		}
	}
	text, _, _ := strings.Cut(err.Error(), "\n")
	return plugin.SanitizeText(text, maxErrorText)
}
