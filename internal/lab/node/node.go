// Package node is the router itself as the lab runs it.
package node

import (
	"starlingwinch/internal/hooks"
	"starlingwinch/internal/lab"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/router"
)

// Start starts a router on a machine. It is the lab.Start of all but tests of the lab.
func Start(m machine.Machine, c lab.NodeConfig) (lab.Node, error) {
	cfg, err := configOf(c.JSON, c.Hooks)
	if err != nil {
		return nil, err
	}
	cfg.Wrap = c.Wrap
	r, err := router.Start(m, cfg)
	if err != nil {
		return nil, err
	}
	return node{r, c.Hooks}, nil
}

// configOf is the platform's configuration, with the operators' hooks.
func configOf(raw []byte, h hooks.Config) (*router.Config, error) {
	cfg, err := router.ParseConfig(raw)
	if err != nil {
		return nil, err
	}
	cfg.Hooks = h
	cfg.Limits, err = cfg.Limits.Without(h)
	return cfg, err
}

// node is a router as the lab sees it.
type node struct {
	*router.Router
	hooks hooks.Config
}

// HookCalls tells how many calls of each hook wait or run.
func (n node) HookCalls() map[string]int {
	calls := map[string]int{}
	for _, row := range n.Router.Hooks() {
		calls[row.Name] = row.Calls
	}
	return calls
}

// Reload implements lab.Node.
func (n node) Reload(config []byte) error {
	cfg, err := configOf(config, n.hooks)
	if err != nil {
		return err
	}
	n.Router.Reload(cfg)
	return nil
}
