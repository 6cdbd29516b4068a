package load

import (
	"io"
	"slices"

	"starlingwinch/internal/machine"
)

const (
	// connectTime is the time that clients are given to connect before the load starts.
	connectTime Time = 200_000 // µs
	// drainCheckInterval is the time between checks whether all requests are answered.
	drainCheckInterval Time = 5_000 // µs
)

// Class is the result of one class of requests over a span.
type Class struct {
	Name                                  string
	Asked, Done, InTime, Overdue, Surplus int64 // as in Clients
	Refused, Failed                       int64 // among the requests counted in Done
	Latency                               Histogram
}

// Lost returns the number of requests that did not get exactly one answer in time.
func (c *Class) Lost() int64 { return c.Asked - c.Done + c.Overdue + c.Surplus }

// besideRun is the state of one call of Beside.
type besideRun struct {
	machine   *machine.Real
	clients   [][]*Clients // by target, and by class
	running   int          // clients that are still sending
	drainTime Time         // the longest wait for the last answers
}

// Beside puts targets under the same load at the same time, so that other work of the machine affects all targets
// alike. It returns the results of the classes for each target. Each class has separate clients, because answers on a shared
// connection come in order and classes would wait for each other.
func Beside(addrs []string, classes []Options, warm, span Time) ([][]Class, error) {
	m, err := machine.New(machine.Options{Log: io.Discard})
	if err != nil {
		return nil, err
	}
	run := &besideRun{machine: m, clients: make([][]*Clients, len(addrs)), running: len(addrs) * len(classes)}
	for _, options := range classes {
		run.drainTime = max(run.drainTime, options.Wait+overdueSlack)
		for i, addr := range addrs {
			run.clients[i] = append(run.clients[i], NewClients(m, addr, options))
		}
	}
	m.At(m.Now()+connectTime, func() { run.start(warm, span) })
	m.Run()
	return run.results(), nil
}

// start starts the load of all clients.
func (r *besideRun) start(warm, span Time) {
	for _, c := range r.all() {
		c.Run(warm, span, func() {
			r.running--
			if r.running == 0 {
				r.drain(r.machine.Now() + r.drainTime)
			}
		})
	}
}

// drain waits for the last answers, at most until the given instant, and ends the run.
func (r *besideRun) drain(until Time) {
	for _, c := range r.all() {
		if c.Done < c.Asked && r.machine.Now() < until {
			r.machine.At(r.machine.Now()+drainCheckInterval, func() { r.drain(until) })
			return
		}
	}
	for _, c := range r.all() {
		c.Close()
	}
	r.machine.Stop()
}

// all returns the clients of all targets.
func (r *besideRun) all() []*Clients { return slices.Concat(r.clients...) }

// results returns the results by target, and by class.
func (r *besideRun) results() [][]Class {
	results := make([][]Class, len(r.clients))
	for i, clients := range r.clients {
		for _, c := range clients {
			results[i] = append(results[i], Class{Name: c.options.Class, Asked: c.Asked, Done: c.Done, InTime: c.InTime,
				Overdue: c.Overdue, Surplus: c.Surplus, Refused: c.Refused, Failed: c.Failed, Latency: c.Latency})
		}
	}
	return results
}
