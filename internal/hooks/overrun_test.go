package hooks

import (
	"slices"
	"testing"

	"starlingwinch/internal/hooks/policy"
	"starlingwinch/internal/plugin"
	"starlingwinch/internal/plugin/wasmfile"
)

// BenchmarkOverrun measures, for a call that does not return, the delay between the end of its time budget and the verdict of its
// request, and the wait of the next request for the same hook.
func BenchmarkOverrun(b *testing.B) {
	loop := &wasmfile.Module{Pages: 1}
	loop.Func("hook_version", 0, 1, 0, wasmfile.I32Const(1))
	loop.Func("hook_room", 1, 1, 0, wasmfile.I32Const(1024))
	loop.Func("on_request", 1, 1, 0, wasmfile.LocalGet(0), wasmfile.I32Load(28), // length of the key
		wasmfile.If(wasmfile.Loop(wasmfile.Br(0))), wasmfile.I32Const(0))
	manySteps := plugin.DefaultBudget
	manySteps.Steps = 1 << 40
	unlimited := manySteps
	unlimited.Depth, unlimited.Steps = 0, 0
	for _, c := range []struct {
		name, key string
		hook      Hook
	}{
		{"ScriptLoop", "loop", scriptHook("x", faultyScript)},
		{"ScriptBuiltIn", "sort", scriptHook("x", faultyScript)},
		{"ScriptMemory", "grow", scriptHook("x", faultyScript)},
		{"ModuleLoop", "loop", Hook{Engine: "wasm", Code: loop.Bytes()}},
		{"ModuleLoopInside", "loop", Hook{Engine: "wasm", Code: loop.Bytes(), Inside: true}},
		{"ModuleRecursion", "x", Hook{Engine: "wasm", Code: endlessRecursion()}},
		{"ModuleRecursionUncounted", "x", Hook{Engine: "wasm", Code: endlessRecursion()}},
		{"ModuleRecursionInside", "x", Hook{Engine: "wasm", Code: endlessRecursion(), Inside: true}},
	} {
		b.Run(c.name, func(b *testing.B) {
			h := c.hook
			h.Hook = hookNamed("x").Hook
			h.OnFailure = policy.RejectOnFailure
			h.Budget = manySteps
			if c.name == "ModuleRecursionUncounted" {
				h.Budget = unlimited
			}
			if c.key == "sort" {
				h.Budget.Memory = 1 << 30
			}
			cfg := config(h)
			cfg.MaxWaitFraction, cfg.MaxWait = 0.9, 9_000_000
			var over, after []Time
			for range b.N {
				r := newRealHarness(b, cfg)
				r.run(func(done func()) {
					r.whenReady(func() {
						r.evaluate("a", c.key, func(_ Verdict, took Time) {
							over = append(over, took-h.Time)
							r.evaluate("a", "", func(_ Verdict, took Time) {
								after = append(after, took)
								done()
							})
						})
					})
				})
			}
			slices.Sort(over)
			slices.Sort(after)
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(over[len(over)/2])/1000, "over-p50-ms")
			b.ReportMetric(float64(over[len(over)*9/10])/1000, "over-p90-ms")
			b.ReportMetric(float64(after[len(after)/2])/1000, "next-p50-ms")
		})
	}
}
