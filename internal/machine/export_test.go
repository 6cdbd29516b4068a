package machine

// Turn makes one turn of the loop in the calling goroutine, for tests that look at things between turns.
func (m *Real) Turn() bool {
	m.running = true
	defer func() { m.running = false }()
	return m.turn()
}

// FullAddress is where no connection comes up.
var FullAddress = fullAddress

// PlayWorker plays the worker that a command line names, if it names one.
var PlayWorker func(args []string) bool

// Held is how many descriptors are counted.
func (m *Real) Held() int { return m.conns }
