package lab

import (
	"starlingwinch/internal/guard"
	"starlingwinch/internal/hooks"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/retrystorm"
	"starlingwinch/internal/snapshotstore"
)

// Node is one router's process, as the lab sees it.
type Node interface {
	// Addr is the address that it serves clients at.
	Addr() string
	// Drain has it end as after SIGTERM; done is called in a turn of its machine.
	Drain(done func())
	// Reload has it read its configuration again, as after SIGHUP.
	Reload(config []byte) error
	// Holdings is what it holds, by name; all but "connections" is 0 once all is quiet.
	Holdings() map[string]int
}

// NodeConfig is what a router is started with.
type NodeConfig struct {
	JSON []byte // the platform's configuration
	// Operator are operators' files, by the names of their kinds.
	Operator []OperatorFile
	Hooks    hooks.Config
	// Wrap, where it is not nil, stands between the router and its decision module: this is how a defect is planted.
	Wrap func(guard.Module) guard.Module
	// Unguarded has the router's guard prevent nothing, for defects that it would.
	Unguarded bool
	// State says where the router keeps what it has learned; the zero value is nowhere.
	State snapshotstore.Config
	// Storm, where it is not nil, is what operators say of storms.
	Storm *retrystorm.Config
}

// OperatorFile is a file of the operators, as `run --operator` takes it.
type OperatorFile struct{ Kind, Text string }

// Start starts a router on a machine.
type Start func(m machine.Machine, c NodeConfig) (Node, error)
