// Package wasm runs hooks that are WebAssembly modules (Core Specification 2.0), with wazero's compiler. abi.go is
// the contract in terms of a module.
//
// It never hands a module a file, a socket, a clock or chance, and never uses an instance again in which a call did
// not end well.
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

// Engine implements plugin.Engine.
type Engine struct{}

// Name implements plugin.Engine.
func (Engine) Name() string { return "wasm" }

// Ending implements plugin.Engine.
func (Engine) Ending() string { return ".wasm" }

// Load implements plugin.Engine. Each hook has a runtime of its own: nothing of one reaches another.
func (Engine) Load(name string, code []byte, b plugin.Budget) (plugin.Hook, error) {
	if err := check(code, b); err != nil {
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
	draft  plugin.Draft

	rt     wazero.Runtime
	module wazero.CompiledModule
	now    *instance // nil where the last one was thrown away
	watch  plugin.Watch
	meter  meter
}

// instance is a module with a memory of its own.
type instance struct {
	m      api.Module
	memory api.Memory
	room   api.Function
	calls  [len(exports)]api.Function
	at     uint32 // the room that the module has given
	size   int
	stack  [1]uint64
	stop   func() // has the call that runs end
}

func (h *hook) load(code []byte) error {
	ctx := context.Background()
	if h.metered() {
		ctx = experimental.WithFunctionListenerFactory(ctx, &h.meter)
	}
	h.meter.depthMost, h.meter.stepsMost = h.budget.Depth, h.budget.Steps
	h.rt = wazero.NewRuntimeWithConfig(ctx, wazero.NewRuntimeConfigCompiler().
		WithCloseOnContextDone(true). // what makes loops look whether they were interrupted
		WithMemoryLimitPages(uint32(max(1, h.budget.Memory/pageSize))).
		WithDebugInfoEnabled(false))
	var err error
	if h.module, err = h.rt.CompileModule(ctx, code); err != nil {
		return bad("%s", plain(err))
	}
	if err := h.checkNames(); err != nil {
		return err
	}
	if err := h.hostWords(ctx, h.rt); err != nil {
		return bad("%s", plain(err))
	}
	if h.needs(wasiModule) {
		if _, err := wasi_snapshot_preview1.Instantiate(ctx, h.rt); err != nil {
			return bad("%s", plain(err))
		}
	}
	var v plugin.Verdict
	h.draft.Begin(plugin.Load, &v)
	return h.renew()
}

// metered reports whether calls of functions are counted. It costs each of them a fifth of a microsecond.
func (h *hook) metered() bool { return h.budget.Depth > 0 || h.budget.Steps > 0 }

func (h *hook) needs(module string) bool {
	for _, f := range h.module.ImportedFunctions() {
		if from, _, _ := f.Import(); from == module {
			return true
		}
	}
	return false
}

// checkNames looks at what the module imports and exports.
func (h *hook) checkNames() error {
	words := map[string]string{"log": "ii:", "tag": "ii:", "tenant": "ii:", "text": "ii:", "wait": "i:"}
	for _, f := range h.module.ImportedFunctions() {
		from, name, _ := f.Import()
		switch want, known := words[name]; {
		case from == wasiModule:
		case from != hostModule || !known:
			return bad("it imports %q of %q, which no router has", plugin.Plain(name, 40), plugin.Plain(from, 40))
		case shape(f) != want:
			return bad("it imports %s with a wrong shape (%s, wanted %s)", name, shape(f), want)
		}
	}
	functions := h.module.ExportedFunctions()
	has := func(name, want string) (bool, error) {
		f := functions[name]
		if f != nil && shape(f) != want {
			return true, bad("its function %s has a wrong shape (%s, wanted %s)", name, shape(f), want)
		}
		return f != nil, nil
	}
	if found, err := has(exportVersion, ":i"); !found || err != nil {
		return firstOf(err, bad("it does not export %s: it is no hook of this contract", exportVersion))
	}
	if found, err := has(exportRoom, "i:i"); !found || err != nil {
		return firstOf(err, bad("it does not export %s", exportRoom))
	}
	if h.module.ExportedMemories()[exportMemory] == nil {
		return bad("it does not export its memory")
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
		return bad("it exports none of on_request, on_answered and on_list")
	}
	return nil
}

// shape words a function's parameters and results, by the first letters of their kinds.
func shape(f api.FunctionDefinition) string {
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

func firstOf(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// renew makes an instance and asks it at the point Load. It has LoadTime for that.
func (h *hook) renew() error {
	span := time.Duration(h.budget.LoadTime) * time.Microsecond
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	h.meter.begin(0)
	m, err := h.rt.InstantiateModule(ctx, h.module, wazero.NewModuleConfig().WithName("").
		WithStartFunctions("_initialize"))
	if err != nil {
		return h.failure(err, ctx)
	}
	in := &instance{m: m, memory: m.ExportedMemory(exportMemory), room: m.ExportedFunction(exportRoom)}
	in.stop = func() { m.CloseWithExitCode(context.Background(), interrupted) }
	for p, name := range exports {
		in.calls[p] = m.ExportedFunction(name)
	}
	if err := h.greet(ctx, in); err != nil {
		m.Close(ctx)
		return err
	}
	h.now = in
	return nil
}

// greet asks a new instance for its version, and at the point Load.
func (h *hook) greet(ctx context.Context, in *instance) error {
	h.meter.begin(0)
	if err := in.m.ExportedFunction(exportVersion).CallWithStack(ctx, in.stack[:]); err != nil {
		return h.failure(err, ctx)
	}
	if v := int32(in.stack[0]); v != plugin.Version {
		return &plugin.Failure{Kind: plugin.Alien, Text: fmt.Sprintf(
			"it was built for version %d of the contract, and this router has version %d", v, plugin.Version)}
	}
	if h.points.Has(plugin.Load) {
		h.meter.begin(0)
		if err := in.calls[plugin.Load].CallWithStack(ctx, in.stack[:]); err != nil {
			return h.failure(err, ctx)
		}
		if n := int32(in.stack[0]); n != 0 {
			return &plugin.Failure{Kind: plugin.Crashed, Text: fmt.Sprintf("on_load gave %d", n)}
		}
	}
	return nil
}

// Points implements plugin.Hook.
func (h *hook) Points() plugin.Points { return h.points }

// Interrupt implements plugin.Hook.
func (h *hook) Interrupt() { h.watch.Interrupt() }

// Call implements plugin.Hook.
func (h *hook) Call(c *plugin.Call, v *plugin.Verdict) error {
	h.draft.Begin(c.Point, v)
	if !h.points.Has(c.Point) {
		return nil
	}
	if h.now == nil {
		if err := h.renew(); err != nil {
			h.draft.Broken()
			return err
		}
	}
	err := h.call(h.now, c)
	if err != nil {
		h.draft.Broken()
		h.drop()
	}
	return err
}

func (h *hook) call(in *instance, c *plugin.Call) error {
	ctx := context.Background()
	h.watch.Begin(in.stop)
	err := h.ask(ctx, in, c)
	if h.watch.End() {
		return &plugin.Failure{Kind: plugin.Overran, Text: "it was interrupted"}
	}
	return err
}

func (h *hook) ask(ctx context.Context, in *instance, c *plugin.Call) error {
	h.meter.begin(h.budget.Steps)
	in.stack[0] = 0
	if c.Point != plugin.Load && c.Point != plugin.Unload {
		if err := h.hand(ctx, in, c); err != nil {
			return err
		}
	}
	if err := in.calls[c.Point].CallWithStack(ctx, in.stack[:]); err != nil {
		return h.failure(err, ctx)
	}
	return h.draft.End(int64(int32(in.stack[0])))
}

// hand writes a call into the instance's memory, and its address onto the stack.
func (h *hook) hand(ctx context.Context, in *instance, c *plugin.Call) error {
	if n := size(c); n > in.size {
		n = max(n, 512)
		in.stack[0] = uint64(n)
		if err := in.room.CallWithStack(ctx, in.stack[:]); err != nil {
			return h.failure(err, ctx)
		}
		in.at, in.size = uint32(in.stack[0]), n
	}
	b, ok := in.memory.Read(in.at, uint32(in.size))
	if !ok || in.at == 0 {
		return &plugin.Failure{Kind: plugin.Crashed, Text: "hook_room gave a room that lies outside of its memory"}
	}
	write(b, in.at, c)
	in.stack[0] = uint64(in.at)
	return nil
}

// drop throws the instance away.
//
// The danger: after a trap its memory is halfway through something, and a verdict from it may be anything.
func (h *hook) drop() {
	if h.now != nil {
		h.now.m.Close(context.Background())
		h.now = nil
	}
}

// Close implements plugin.Hook.
func (h *hook) Close() {
	h.drop()
	if h.rt != nil {
		h.rt.Close(context.Background())
	}
}

// interrupted is the exit code of an instance that was interrupted.
const interrupted = 0xffff0001

// failure words what an instance came to.
func (h *hook) failure(err error, ctx context.Context) error {
	var own *plugin.Failure
	if errors.As(err, &own) {
		return own
	}
	var exit *sys.ExitError
	if errors.As(err, &exit) {
		if ctx.Err() != nil || exit.ExitCode() == interrupted {
			return &plugin.Failure{Kind: plugin.Overran, Text: "it was interrupted"}
		}
		return &plugin.Failure{Kind: plugin.Crashed, Text: fmt.Sprintf("it ended itself with exit code %d", exit.ExitCode())}
	}
	return &plugin.Failure{Kind: plugin.Crashed, Text: plain(err)}
}

// plain is the first line of an engine's error.
func plain(err error) string {
	text, _, _ := strings.Cut(err.Error(), "\n")
	return plugin.Plain(text, 200)
}
