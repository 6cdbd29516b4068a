// Package node is the router itself as the lab runs it.
package node

import (
	"starlingwinch/internal/endpoints"
	"starlingwinch/internal/eureka"
	"starlingwinch/internal/hooks"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/operatorconfig"
	"starlingwinch/internal/router"
	"starlingwinch/internal/testbench/lab"
)

// Start starts a router on a machine. It is the lab.Start of all but tests of the lab.
func Start(m machine.Machine, c lab.NodeConfig) (lab.Node, error) {
	cfg, err := configOf(c.JSON, c.Hooks)
	if err != nil {
		return nil, err
	}
	var files []operatorconfig.File
	for _, f := range c.Operator {
		file, err := kinds.Parse(f.Kind, []byte(f.Text))
		if err != nil {
			return nil, err
		}
		files = append(files, file)
	}
	cfg.Endpoints = operatorconfig.Get[endpoints.Config](files, endpoints.Kind)
	cfg.Eureka = operatorconfig.Get[eureka.Config](files, eureka.Kind)
	cfg.WrapModule, cfg.GuardObserveOnly, cfg.SnapshotStore = c.Wrap, c.Unguarded, c.State
	if c.Storm != nil {
		cfg.RetryStorm = *c.Storm
	}
	r, err := router.Start(m, cfg)
	if err != nil {
		return nil, err
	}
	return node{r, cfg}, nil
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

// kinds are the operators' files that the lab sets.
var kinds = operatorconfig.Registry{endpoints.Kind, eureka.Kind}

// node is a router as the lab sees it.
type node struct {
	*router.Router
	cfg *router.Config
}

// HookCalls tells how many calls of each hook wait or run.
func (n node) HookCalls() map[string]int {
	calls := map[string]int{}
	for _, row := range n.Router.Hooks() {
		calls[row.Name] = row.PendingCalls
	}
	return calls
}

// Reload implements lab.Node.
func (n node) Reload(config []byte) error {
	cfg, err := configOf(config, n.cfg.Hooks)
	if err != nil {
		return err
	}
	cfg.Endpoints, cfg.Eureka, cfg.SnapshotStore = n.cfg.Endpoints, n.cfg.Eureka, n.cfg.SnapshotStore // these files stay as they are
	n.Router.Reload(cfg)
	return nil
}
