package machine

// Turn makes one turn of the loop in the calling goroutine, for tests that look at things between turns.
func (m *Real) Turn() bool {
	m.running = true
	defer func() { m.running = false }()
	return m.turn()
}

// FullAddress is where no connection comes up.
var FullAddress = fullAddress
