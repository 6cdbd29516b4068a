package load

import (
	"io"

	"starlingwinch/internal/machine"
)

// Class is how the requests of one class did that came in a span.
type Class struct {
	Name                                  string
	Asked, Done, InTime, Overdue, Surplus int64
	Refused, Failed                       int64 // among those that are done
	Latency                               Histogram
}

// Lost counts the requests that did not get exactly one answer in time.
func (c *Class) Lost() int64 { return c.Asked - c.Done + c.Overdue + c.Surplus }

// Beside puts targets under the same load at the same time, by clients of their own for each class, so that what the
// machine does besides touches all of them alike. It gives for each target how its classes did.
//
// The danger: classes that share connections wait for each other's answers, which come in order.
func Beside(addrs []string, classes []Options, warm, span Time) ([][]Class, error) {
	m, err := machine.New(machine.Options{Log: io.Discard})
	if err != nil {
		return nil, err
	}
	all := make([][]*Clients, len(addrs))
	longest := Time(0)
	for _, o := range classes {
		longest = max(longest, o.Wait+overdueSlack)
		for i, addr := range addrs {
			all[i] = append(all[i], NewClients(m, addr, o))
		}
	}
	ended := 0
	var drain func(until Time)
	drain = func(until Time) {
		for _, clients := range all {
			for _, c := range clients {
				if c.Done < c.Asked && m.Now() < until {
					m.At(m.Now()+5_000, func() { drain(until) })
					return
				}
			}
		}
		for _, clients := range all {
			for _, c := range clients {
				c.Close()
			}
		}
		m.Stop()
	}
	m.At(m.Now()+connectTime, func() {
		for _, clients := range all {
			for _, c := range clients {
				c.Run(warm, span, func() {
					if ended++; ended == len(addrs)*len(classes) {
						drain(m.Now() + longest)
					}
				})
			}
		}
	})
	m.Run()
	results := make([][]Class, len(addrs))
	for i, clients := range all {
		for _, c := range clients {
			results[i] = append(results[i], Class{Name: c.options.Class, Asked: c.Asked, Done: c.Done, InTime: c.InTime,
				Overdue: c.Overdue, Surplus: c.Surplus, Refused: c.Refused, Failed: c.Failed, Latency: c.Latency})
		}
	}
	return results, nil
}

// connectTime is how long clients take to connect, at most.
const connectTime Time = 200_000
