package plugintest

import (
	"testing"

	"starlingwinch/internal/plugin"
)

// Bench benchmarks an engine with the suite's hooks: a call that passes the request, a call that adds a tag, loading a hook,
// and a crash followed by the creation of a new instance.
func Bench(b *testing.B, e plugin.Engine, hooks map[string][]byte) {
	load := func(b *testing.B, name string, budget plugin.Budget) plugin.Hook {
		h, err := e.Load(name, hooks[name], budget)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(h.Close)
		return h
	}
	calls := func(key string, budget plugin.Budget) func(b *testing.B) {
		return func(b *testing.B) {
			h := load(b, "verdicts", budget)
			c, v := request(key), plugin.Verdict{}
			b.ReportAllocs()
			for b.Loop() {
				if err := h.Call(&c, &v); err != nil {
					b.Fatal(err)
				}
			}
		}
	}
	withoutLimits := plugin.DefaultBudget
	withoutLimits.Depth, withoutLimits.Steps = 0, 0
	b.Run("Pass", calls("P1", plugin.DefaultBudget))
	b.Run("PassWithoutCounting", calls("P1", withoutLimits))
	b.Run("Tag", calls("T1", plugin.DefaultBudget))
	b.Run("Load", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			h, err := e.Load("verdicts", hooks["verdicts"], plugin.DefaultBudget)
			if err != nil {
				b.Fatal(err)
			}
			h.Close()
		}
	})
	b.Run("CrashAndNewInstance", func(b *testing.B) {
		h := load(b, "count", plugin.DefaultBudget)
		c, v := request("C"), plugin.Verdict{}
		b.ReportAllocs()
		for b.Loop() {
			if err := h.Call(&c, &v); err == nil {
				b.Fatal("got no error, want a crash")
			}
		}
	})
}
