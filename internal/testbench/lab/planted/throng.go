package planted

import (
	"encoding/json"

	"starlingwinch/decide"
	"starlingwinch/internal/guard"
	"starlingwinch/internal/httpclient"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/lab"
)

// InThrong are the defects of how many routers share a discovery that takes few calls.
func InThrong() []Defect {
	return []Defect{
		{Name: "a watch given up for a doubt", Rule: "late drain", Throng: true, Apply: doubtful},
		paced("calls made again without jitter", 1_500_000),
		paced("calls made again too soon", 40_000),
	}
}

// paced has failed calls for the list made again after the same pause each time.
func paced(name string, pause decide.Time) Defect {
	d := wrap(name, "late drain", func() filter {
		last := int64(-1) // its own timers have tokens below 0
		return filter{handle: func(m guard.Module, now decide.Time, ev decide.Event) []decide.Action {
			if l, ok := ev.(*decide.EndpointList); ok && l.Kind == decide.FailedUpdate {
				last--
				return []decide.Action{decide.SetTimer{Token: last, At: now + pause}}
			}
			if t, ok := ev.(*decide.Timer); ok && t.Token < 0 {
				return []decide.Action{decide.Watch{}}
			}
			return m.Handle(now, ev)
		}}
	})
	d.Throng = true
	return d
}

// Figures of a doubt: so many attempts in a row that find no connection have the list asked for once more, and not again for
// a while.
const (
	doubtAfter = 3
	doubtPause = 2_000_000
	doubtTime  = 5_000_000
)

// doubtful has each router call discovery for the list beside its watch where caches can't be met. Discovery ends the watch where it
// turns that call away.
func doubtful(o *lab.Options) {
	start := o.Node
	o.Node = func(m machine.Machine, c lab.NodeConfig) (lab.Node, error) {
		var told struct{ Discovery string }
		if err := json.Unmarshal(c.JSON, &told); err != nil {
			return nil, err
		}
		unmet, doubted := 0, machine.Time(0)
		c.Wrap = func(module guard.Module) guard.Module {
			return &filtered{filter{event: func(ev decide.Event) decide.Event {
				o, ok := ev.(*decide.AttemptResult)
				if !ok {
					return ev
				}
				if unmet++; o.Result != decide.ConnectFailed {
					unmet = 0
				}
				if now := m.Now(); unmet >= doubtAfter && now >= doubted+doubtPause {
					unmet, doubted = 0, now
					client := httpclient.New(m, told.Discovery, httpclient.Options{DialTimeout: doubtTime, MaxBodyBytes: 1 << 20})
					m.Post(func() {
						client.Do(httpclient.Request{Method: "GET", Path: "/discovery/hosts"}, doubtTime, func(*httpclient.Response, error) { client.Close() })
					})
				}
				return ev
			}}, module}
		}
		return start(m, c)
	}
}
