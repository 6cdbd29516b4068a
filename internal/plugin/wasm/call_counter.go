package wasm

import (
	"context"
	"fmt"

	"github.com/tetratelabs/wazero/api"
	"github.com/tetratelabs/wazero/experimental"

	"starlingwinch/internal/plugin"
)

// callCounter bounds the number and the depth of function calls inside a module. An interrupt takes effect only in loops, so
// without these bounds endless recursion would not stop, and its stack would grow to hundreds of megabytes.
type callCounter struct {
	maxDepth int   // 0 for no bound
	maxSteps int64 // function calls in one call of the hook; 0 for no bound

	depth     int   // the depth of the running function
	steps     int64 // function calls since reset
	stepLimit int64 // on steps since reset; 0 for no bound
}

// reset prepares the counter for a call of the hook with a limit on function calls; 0 is no bound.
func (c *callCounter) reset(stepLimit int64) { c.depth, c.steps, c.stepLimit = 0, 0, stepLimit }

// NewFunctionListener implements experimental.FunctionListenerFactory.
func (c *callCounter) NewFunctionListener(def api.FunctionDefinition) experimental.FunctionListener {
	if def.GoFunction() != nil { // a host function calls no function of the module
		return nil
	}
	return c
}

// Before implements experimental.FunctionListener.
func (c *callCounter) Before(context.Context, api.Module, api.FunctionDefinition, []uint64, experimental.StackIterator) {
	c.depth++
	c.steps++
	if c.maxDepth > 0 && c.depth > c.maxDepth {
		panic(&plugin.Failure{Kind: plugin.BudgetExceeded, Text: fmt.Sprintf("more than %d nested function calls", c.maxDepth)})
	}
	if c.stepLimit > 0 && c.steps > c.stepLimit {
		panic(&plugin.Failure{Kind: plugin.BudgetExceeded, Text: fmt.Sprintf("more than %d function calls", c.stepLimit)})
	}
}

// After implements experimental.FunctionListener.
func (c *callCounter) After(context.Context, api.Module, api.FunctionDefinition, []uint64) { c.depth-- }

// Abort implements experimental.FunctionListener.
func (c *callCounter) Abort(context.Context, api.Module, api.FunctionDefinition, error) { c.depth-- }
