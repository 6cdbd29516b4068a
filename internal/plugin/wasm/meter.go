package wasm

import (
	"context"
	"fmt"

	"github.com/tetratelabs/wazero/api"
	"github.com/tetratelabs/wazero/experimental"

	"starlingwinch/internal/plugin"
)

// callCounter counts the calls of functions inside a module, and how deep they are.
//
// The danger: an interrupt is seen in loops and not in calls. Recursion without end would run on, and its stack grow to
// hundreds of megabytes, before anything else ends it.
type callCounter struct {
	maxDepth int
	maxSteps int64

	depth     int
	steps     int64
	stepLimit int64 // of steps in this call; 0 for no bound
}

func (m *callCounter) reset(steps int64) { m.depth, m.steps, m.stepLimit = 0, 0, steps }

// NewFunctionListener implements experimental.FunctionListenerFactory.
func (m *callCounter) NewFunctionListener(def api.FunctionDefinition) experimental.FunctionListener {
	if def.GoFunction() != nil { // a host function calls nothing
		return nil
	}
	return m
}

// Before implements experimental.FunctionListener.
func (m *callCounter) Before(context.Context, api.Module, api.FunctionDefinition, []uint64, experimental.StackIterator) {
	m.depth++
	m.steps++
	if m.maxDepth > 0 && m.depth > m.maxDepth {
		panic(&plugin.Failure{Kind: plugin.BudgetExceeded, Text: fmt.Sprintf("more than %d calls within calls", m.maxDepth)})
	}
	if m.stepLimit > 0 && m.steps > m.stepLimit {
		panic(&plugin.Failure{Kind: plugin.BudgetExceeded, Text: fmt.Sprintf("more than %d calls of functions", m.stepLimit)})
	}
}

// After implements experimental.FunctionListener.
func (m *callCounter) After(context.Context, api.Module, api.FunctionDefinition, []uint64) { m.depth-- }

// Abort implements experimental.FunctionListener.
func (m *callCounter) Abort(context.Context, api.Module, api.FunctionDefinition, error) { m.depth-- }
