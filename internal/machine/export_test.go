package machine

// FullAddress is where no connection comes up.
var FullAddress = fullAddress

// Step makes one turn of a loop that nobody runs, waiting a millisecond for it at most.
func (m *Real) Step() {
	t := m.At(m.Now()+1000, func() {})
	m.running = true
	m.turn()
	m.running = false
	t.Stop()
}
