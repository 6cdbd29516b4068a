package lab

import (
	"starlingwinch/internal/guard"
	"starlingwinch/internal/hooks"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/retrystorm"
	"starlingwinch/internal/snapshotstore"
)

// Node is the lab's interface to the process of one router.
type Node interface {
	// Addr returns the address at which the router serves clients.
	Addr() string
	// Drain shuts the router down as SIGTERM does, and calls done in a turn of the router's machine.
	Drain(done func())
	// Reload applies a new configuration, as SIGHUP does.
	Reload(config []byte) error
	// RecordCounts returns the number of resources that the router holds, by name. Once no work is in progress, all but
	// "connections" are 0.
	RecordCounts() map[string]int
}

// NodeConfig is the configuration with which a router starts.
type NodeConfig struct {
	JSON []byte // the platform's configuration
	// Operator lists the operators' files, each with its kind.
	Operator []OperatorFile
	Hooks    hooks.Config
	// Wrap, if not nil, wraps the router's decision module. Tests plant defects with it.
	Wrap func(guard.Module) guard.Module
	// Unguarded disables the router's guard, so that a planted defect that the guard would prevent takes effect.
	Unguarded bool
	// State configures where the router stores its snapshot; with the zero value, the router stores none.
	State snapshotstore.Config
	// Storm, if not nil, is the operators' retry-storm configuration.
	Storm *retrystorm.Config
}

// OperatorFile is an operators' file, as `run --operator` accepts it.
type OperatorFile struct{ Kind, Text string }

// Start starts a router on a machine.
type Start func(m machine.Machine, c NodeConfig) (Node, error)
