// Package node is the router itself as the lab runs it.
package node

import (
	"starlingwinch/internal/lab"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/router"
	"starlingwinch/internal/store"
)

// Start starts a router on a machine. It is the lab.Start of all but tests of the lab.
func Start(m machine.Machine, c lab.NodeConfig) (lab.Node, error) {
	cfg, err := router.ParseConfig(c.JSON)
	if err != nil {
		return nil, err
	}
	cfg.Wrap, cfg.State = c.Wrap, c.State
	r, err := router.Start(m, cfg)
	if err != nil {
		return nil, err
	}
	return node{r, c.State}, nil
}

// node is a router as the lab sees it.
type node struct {
	*router.Router
	state store.Config
}

// Reload implements lab.Node.
func (n node) Reload(config []byte) error {
	cfg, err := router.ParseConfig(config)
	if err != nil {
		return err
	}
	cfg.State = n.state
	n.Router.Reload(cfg)
	return nil
}
