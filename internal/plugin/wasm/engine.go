// Package wasm runs hooks that are WebAssembly modules (Core Specification 2.0) with wazero's compiler. abi.go documents the
// interface of a module.
//
// A module has no access to files, sockets, clocks or randomness. An instance is discarded after a call that failed.
package wasm

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/tetratelabs/wazero"
	"github.com/tetratelabs/wazero/api"
	"github.com/tetratelabs/wazero/experimental"
	"github.com/tetratelabs/wazero/imports/wasi_snapshot_preview1"
	"github.com/tetratelabs/wazero/sys"

	"starlingwinch/internal/plugin"
)

const (
	minBuffer    = 512 // minimum bytes that a module is asked to allocate for calls
	maxErrorText = 200 // bytes of an error of wazero in a failure
	maxNameText  = 40  // bytes of a name from the module in a failure
)

// Engine implements plugin.Engine.
type Engine struct{}

// Name implements plugin.Engine.
func (Engine) Name() string { return "wasm" }

// FileExtension implements plugin.Engine.
func (Engine) FileExtension() string { return ".wasm" }

// Load implements plugin.Engine. Each hook has a separate runtime, so hooks are isolated from each other.
func (Engine) Load(name string, code []byte, b plugin.Budget) (plugin.Hook, error) {
	if err := checkModule(code, b); err != nil {
		return nil, err
	}
	h := &hook{name: name, budget: b}
	h.draft.Budget = b
	if err := h.load(code); err != nil {
		h.Close()
		return nil, err
	}
	return h, nil
}

// hook implements plugin.Hook.
type hook struct {
	name   string
	budget plugin.Budget
	points plugin.Points
	draft  plugin.Draft // the verdict of the current call

	runtime  wazero.Runtime
	module   wazero.CompiledModule
	instance *instance // nil after a failed call
	guard    plugin.InterruptGuard
	counter  callCounter
}

// instance is an instantiated module with its memory. It is discarded after a failed call.
type instance struct {
	module        api.Module
	memory        api.Memory
	allocate      api.Function               // hook_room
	calls         [len(exports)]api.Function // by point; nil where the module has none
	bufferAddress uint32                     // address of the buffer that the module allocated
	bufferSize    int                        // size of that buffer in bytes; 0 before the first allocation
	stack         [1]uint64                  // the parameter and the result of a call
	stop          func()                     // interrupts the running call
}

// load compiles and checks the module and creates the first instance.
func (h *hook) load(code []byte) error {
	ctx := context.Background()
	if h.countsCalls() {
		ctx = experimental.WithFunctionListenerFactory(ctx, &h.counter)
	}
	h.counter.maxDepth, h.counter.maxSteps = h.budget.Depth, h.budget.Steps
	h.runtime = wazero.NewRuntimeWithConfig(ctx, wazero.NewRuntimeConfigCompiler().
		WithCloseOnContextDone(true). // makes loops check for an interrupt
		WithMemoryLimitPages(uint32(max(1, h.budget.Memory/pageSize))).
		WithDebugInfoEnabled(false))
	var err error
	if h.module, err = h.runtime.CompileModule(ctx, code); err != nil {
		return notLoadable("%s", errorText(err))
	}
	if err := h.checkSignatures(); err != nil {
		return err
	}
	if err := h.exportHostFunctions(ctx, h.runtime); err != nil {
		return notLoadable("%s", errorText(err))
	}
	if h.imports(wasiModule) {
		if _, err := wasi_snapshot_preview1.Instantiate(ctx, h.runtime); err != nil {
			return notLoadable("%s", errorText(err))
		}
	}
	var v plugin.Verdict
	h.draft.Begin(plugin.Load, &v)
	return h.newInstance()
}

// countsCalls reports whether function calls are counted, which adds 0.2 µs to each function call.
func (h *hook) countsCalls() bool { return h.budget.Depth > 0 || h.budget.Steps > 0 }

// imports reports whether the hook's module imports functions of the named module.
func (h *hook) imports(module string) bool {
	for _, f := range h.module.ImportedFunctions() {
		if from, _, _ := f.Import(); from == module {
			return true
		}
	}
	return false
}

// checkSignatures checks the signatures of the module's imports and exports and sets the hook's points.
func (h *hook) checkSignatures() error {
	hostFunctions := map[string]string{"log": "ii:", "tag": "ii:", "tenant": "ii:", "text": "ii:", "wait": "i:"}
	for _, f := range h.module.ImportedFunctions() {
		from, name, _ := f.Import()
		switch want, known := hostFunctions[name]; {
		case from == wasiModule:
		case from != hostModule || !known:
			return notLoadable("it imports %q of %q, which the router does not provide", plugin.SanitizeText(name, maxNameText), plugin.SanitizeText(from, maxNameText))
		case signature(f) != want:
			return notLoadable("it imports %s with a wrong signature (%s, wanted %s)", name, signature(f), want)
		}
	}
	functions := h.module.ExportedFunctions()
	has := func(name, want string) (bool, error) {
		f := functions[name]
		if f != nil && signature(f) != want {
			return true, notLoadable("its function %s has a wrong signature (%s, wanted %s)", name, signature(f), want)
		}
		return f != nil, nil
	}
	if found, err := has(exportVersion, ":i"); !found || err != nil {
		return firstOf(err, notLoadable("it does not export %s: it is not a hook of this contract", exportVersion))
	}
	if found, err := has(exportAllocate, "i:i"); !found || err != nil {
		return firstOf(err, notLoadable("it does not export %s", exportAllocate))
	}
	if h.module.ExportedMemories()[exportMemory] == nil {
		return notLoadable("it does not export its memory")
	}
	for p, name := range exports {
		want := "i:i"
		if p := plugin.Point(p); p == plugin.Load || p == plugin.Unload {
			want = ":i"
		}
		found, err := has(name, want)
		if err != nil {
			return err
		}
		if found {
			h.points = h.points.With(plugin.Point(p))
		}
	}
	if !h.points.Has(plugin.OnRequest) && !h.points.Has(plugin.Answered) && !h.points.Has(plugin.ListChanged) {
		return notLoadable("it exports none of on_request, on_answered and on_list")
	}
	return nil
}

// signature returns a function's parameters and results as letters: i for an i32, ? for any other type.
func signature(f api.FunctionDefinition) string {
	var b strings.Builder
	kinds := func(types []api.ValueType) {
		for _, t := range types {
			if t == api.ValueTypeI32 {
				b.WriteByte('i')
			} else {
				b.WriteByte('?')
			}
		}
	}
	kinds(f.ParamTypes())
	b.WriteByte(':')
	kinds(f.ResultTypes())
	return b.String()
}

// firstOf returns the first error that is not nil.
func firstOf(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// newInstance instantiates the module and calls it at the point Load. Both are interrupted after LoadTime.
func (h *hook) newInstance() error {
	span := time.Duration(h.budget.LoadTime) * time.Microsecond
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	h.counter.reset(0)
	m, err := h.runtime.InstantiateModule(ctx, h.module, wazero.NewModuleConfig().WithName("").
		WithStartFunctions("_initialize"))
	if err != nil {
		return h.classify(err, ctx)
	}
	in := &instance{module: m, memory: m.ExportedMemory(exportMemory), allocate: m.ExportedFunction(exportAllocate)}
	in.stop = func() { m.CloseWithExitCode(context.Background(), interruptedExitCode) }
	for p, name := range exports {
		in.calls[p] = m.ExportedFunction(name)
	}
	if err := h.initialize(ctx, in); err != nil {
		m.Close(ctx)
		return err
	}
	h.instance = in
	return nil
}

// initialize checks the contract version of a new instance and calls the instance at the point Load.
func (h *hook) initialize(ctx context.Context, in *instance) error {
	h.counter.reset(0)
	if err := in.module.ExportedFunction(exportVersion).CallWithStack(ctx, in.stack[:]); err != nil {
		return h.classify(err, ctx)
	}
	if v := int32(in.stack[0]); v != plugin.Version {
		return &plugin.Failure{Kind: plugin.VersionMismatch, Text: fmt.Sprintf(
			"it was built for version %d of the contract, and this router has version %d", v, plugin.Version)}
	}
	if h.points.Has(plugin.Load) {
		h.counter.reset(0)
		if err := in.calls[plugin.Load].CallWithStack(ctx, in.stack[:]); err != nil {
			return h.classify(err, ctx)
		}
		if n := int32(in.stack[0]); n != 0 {
			return &plugin.Failure{Kind: plugin.Crashed, Text: fmt.Sprintf("on_load returned %d", n)}
		}
	}
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
		h.closeInstance()
	}
	return err
}

// call calls an instance and lets Interrupt stop the call.
func (h *hook) call(in *instance, c *plugin.Call) error {
	ctx := context.Background()
	h.guard.Begin(in.stop)
	err := h.invoke(ctx, in, c)
	if h.guard.End() {
		return &plugin.Failure{Kind: plugin.BudgetExceeded, Text: "it was interrupted"}
	}
	return err
}

// invoke passes a call to an instance and completes the verdict with the instance's result.
func (h *hook) invoke(ctx context.Context, in *instance, c *plugin.Call) error {
	h.counter.reset(h.budget.Steps)
	in.stack[0] = 0
	if c.Point != plugin.Load && c.Point != plugin.Unload {
		if err := h.passCall(ctx, in, c); err != nil {
			return err
		}
	}
	if err := in.calls[c.Point].CallWithStack(ctx, in.stack[:]); err != nil {
		return h.classify(err, ctx)
	}
	return h.draft.Finish(int64(int32(in.stack[0])))
}

// passCall writes a call into the instance's memory and the address of the call onto the stack. If the call does not fit into
// the buffer, passCall first asks the module to allocate a larger one.
func (h *hook) passCall(ctx context.Context, in *instance, c *plugin.Call) error {
	if n := callBytes(c); n > in.bufferSize {
		n = max(n, minBuffer)
		in.stack[0] = uint64(n)
		if err := in.allocate.CallWithStack(ctx, in.stack[:]); err != nil {
			return h.classify(err, ctx)
		}
		in.bufferAddress, in.bufferSize = uint32(in.stack[0]), n
	}
	b, ok := in.memory.Read(in.bufferAddress, uint32(in.bufferSize))
	if !ok || in.bufferAddress == 0 {
		return &plugin.Failure{Kind: plugin.Crashed, Text: "hook_room returned a buffer outside of its memory"}
	}
	writeCall(b, in.bufferAddress, c)
	in.stack[0] = uint64(in.bufferAddress)
	return nil
}

// closeInstance discards the instance, whose memory may be inconsistent after a trap.
func (h *hook) closeInstance() {
	if h.instance != nil {
		h.instance.module.Close(context.Background())
		h.instance = nil
	}
}

// Close implements plugin.Hook.
func (h *hook) Close() {
	h.closeInstance()
	if h.runtime != nil {
		h.runtime.Close(context.Background())
	}
}

// interruptedExitCode is the exit code of an interrupted instance.
const interruptedExitCode = 0xffff0001

// classify converts an error of wazero to a failure.
func (h *hook) classify(err error, ctx context.Context) error {
	var own *plugin.Failure
	if errors.As(err, &own) {
		return own
	}
	var exit *sys.ExitError
	if errors.As(err, &exit) {
		if ctx.Err() != nil || exit.ExitCode() == interruptedExitCode {
			return &plugin.Failure{Kind: plugin.BudgetExceeded, Text: "it was interrupted"}
		}
		return &plugin.Failure{Kind: plugin.Crashed, Text: fmt.Sprintf("it exited with code %d", exit.ExitCode())}
	}
	return &plugin.Failure{Kind: plugin.Crashed, Text: errorText(err)}
}

// errorText returns the first line of an error as a text for a failure.
func errorText(err error) string {
	text, _, _ := strings.Cut(err.Error(), "\n")
	return plugin.SanitizeText(text, maxErrorText)
}
