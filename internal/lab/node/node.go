// Package node is the router itself as the lab runs it.
package node

import (
	"starlingwinch/internal/lab"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/router"
)

// Start starts a router on a machine. It is the lab.Start of all but tests of the lab.
func Start(m machine.Machine, c lab.NodeConfig) (lab.Node, error) {
	cfg, err := router.ParseConfig(c.JSON)
	if err != nil {
		return nil, err
	}
	cfg.Wrap = c.Wrap
	if c.Storm != nil {
		cfg.Storm = *c.Storm
	}
	r, err := router.Start(m, cfg)
	if err != nil {
		return nil, err
	}
	return node{r}, nil
}

// node is a router as the lab sees it.
type node struct{ *router.Router }

// Reload implements lab.Node.
func (n node) Reload(config []byte) error {
	cfg, err := router.ParseConfig(config)
	if err != nil {
		return err
	}
	n.Router.Reload(cfg)
	return nil
}
