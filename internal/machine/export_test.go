package machine

// Turn runs one turn of the event loop in the calling goroutine, for tests that inspect state between turns.
func (m *Real) Turn() bool {
	m.running = true
	defer func() { m.running = false }()
	return m.turn()
}

// FullBacklogAddress returns the address of a listener whose backlog is full, so that a dial to it never completes.
var FullBacklogAddress = fullBacklogAddress

// RunNamedWorker runs the worker that the command line names and reports whether it names one.
var RunNamedWorker func(args []string) bool

// CountedDescriptors returns the number of descriptors that count toward the machine's limit.
func (m *Real) CountedDescriptors() int { return m.conns }
