package wasm

import (
	"context"
	"fmt"

	"github.com/tetratelabs/wazero/api"
	"github.com/tetratelabs/wazero/experimental"

	"starlingwinch/internal/plugin"
)

// meter counts the calls of functions inside a module, and how deep they are.
//
// The danger: an interrupt is seen in loops and not in calls. Recursion without end would run on, and its stack grow to
// hundreds of megabytes, before anything else ends it.
type meter struct {
	depthMost int
	stepsMost int64

	depth int
	steps int64
	most  int64 // of steps in this call; 0 for no bound
}

func (m *meter) begin(steps int64) { m.depth, m.steps, m.most = 0, 0, steps }

// NewFunctionListener implements experimental.FunctionListenerFactory.
func (m *meter) NewFunctionListener(def api.FunctionDefinition) experimental.FunctionListener {
	if def.GoFunction() != nil { // a host function calls nothing
		return nil
	}
	return m
}

// Before implements experimental.FunctionListener.
func (m *meter) Before(context.Context, api.Module, api.FunctionDefinition, []uint64, experimental.StackIterator) {
	m.depth++
	m.steps++
	if m.depthMost > 0 && m.depth > m.depthMost {
		panic(&plugin.Failure{Kind: plugin.Overran, Text: fmt.Sprintf("more than %d calls within calls", m.depthMost)})
	}
	if m.most > 0 && m.steps > m.most {
		panic(&plugin.Failure{Kind: plugin.Overran, Text: fmt.Sprintf("more than %d calls of functions", m.most)})
	}
}

// After implements experimental.FunctionListener.
func (m *meter) After(context.Context, api.Module, api.FunctionDefinition, []uint64) { m.depth-- }

// Abort implements experimental.FunctionListener.
func (m *meter) Abort(context.Context, api.Module, api.FunctionDefinition, error) { m.depth-- }
