package lab

import (
	"starlingwinch/internal/books"
	"starlingwinch/internal/hooks"
	"starlingwinch/internal/machine"
)

// Node is one router's process, as the lab sees it.
type Node interface {
	// Addr is the address that it serves clients at.
	Addr() string
	// Drain has it end as after SIGTERM; done is called in a turn of its machine.
	Drain(done func())
	// Reload has it read its configuration again, as after SIGHUP.
	Reload(config []byte) error
	// Left is what it holds, by name; all but "connections" is 0 once all is quiet.
	Left() map[string]int
}

// NodeConfig is what a router is started with.
type NodeConfig struct {
	JSON  []byte // the platform's configuration
	Hooks hooks.Config
	// Wrap, where it is not nil, stands between the router and its decision module: this is how a defect is planted.
	Wrap func(books.Module) books.Module
}

// Start starts a router on a machine.
type Start func(m machine.Machine, c NodeConfig) (Node, error)
