package loopback

import (
	"fmt"
	"os"
	"path/filepath"

	"starlingwinch/internal/testbench/lab"
	"starlingwinch/internal/testbench/standin"
)

// Storm has all caches go, come back cold, and all clients reconnect at that moment. Its clients take the place of the
// script's.
type Storm struct {
	Clients int
	Load    float64 // of what warm caches bear
	Before  Time    // of calm, from the clients' start on
	Outage  Time
	For     Time    // from the caches' return on
	Ignore  float64 // share of clients that take no advice and retry at once
	Handled bool    // routers notice storms
}

// stormRun is a storm that is under way.
type stormRun struct {
	*run
	storm      *Storm
	accounting lab.StormAccounting
	capacity   *lab.FleetCapacity
	keysBefore map[*standin.Cache][]string // keys, as the caches went
}

// newStorm makes the clients.
func newStorm(r *run, fo standin.Options) *stormRun {
	s := &stormRun{run: r, storm: r.o.Storm, capacity: lab.NewFleetCapacity(r.fleet, fo), keysBefore: map[*standin.Cache][]string{}}
	s.accounting.For = s.storm.For
	rate := s.storm.Load * s.capacity.Now() / s.capacity.MeanWork / float64(s.storm.Clients)
	rng := part(r.o.Script.Seed, 2)
	r.fleet.Clients = nil
	for i := range s.storm.Clients {
		o := lab.StormClient(fo.Client, i, s.storm.Clients, s.storm.Ignore)
		o.Zone, o.Classes, o.Keys, o.Rate = fo.Zones[i%len(fo.Zones)], fo.Classes, r.fleet.Keys, rate
		o.Routers = func() []standin.Target { return r.front(o.Zone) }
		o.Began = func(class *standin.Class) { s.accounting.Began(r.m.Now(), class) }
		o.Ended = func(class *standin.Class, asked Time, inAim bool) { s.accounting.Ended(r.m.Now(), class, asked, inAim) }
		r.fleet.Clients = append(r.fleet.Clients, standin.NewClient(r.m, o, r.fleet.Workload, rng, r.seen))
	}
	s.accounting.From = 1 << 62 // until it is known
	return s
}

// operators is the routers' file.
func (s *stormRun) operators(dir, router string) (args []string, err error) {
	path := filepath.Join(dir, router+"-storm.toml")
	text := fmt.Sprintf("kind = \"storm\"\n\nenabled = %v\n", s.storm.Handled)
	return []string{"--operator", path}, os.WriteFile(path, []byte(text), 0o600)
}

// begin is called as the clients start.
func (s *stormRun) begin() {
	s.accounting.From = s.start + s.storm.Before + s.storm.Outage
	s.m.At(s.start+s.storm.Before, func() {
		for _, c := range s.fleet.Caches {
			s.keysBefore[c] = c.Memory()
			c.Stop()
		}
	})
	s.m.At(s.accounting.From, s.restartCaches)
}

// restartCaches has the caches come back, with what they held, and the clients reconnect within a moment.
func (s *stormRun) restartCaches() {
	for _, c := range s.fleet.Caches {
		if err := s.fleet.Restart(c); err != nil {
			s.fail("the storm: %v", err)
			return
		}
		c.Warm(s.keysBefore[c])
	}
	for i, c := range s.fleet.Clients {
		s.m.At(s.m.Now()+Time(i)*20*millisecond/Time(len(s.fleet.Clients)), c.Reconnect)
	}
	s.sample()
}

// sample books what caches can bear, ten times a second.
func (s *stormRun) sample() {
	now := s.m.Now()
	if now >= s.accounting.From+s.storm.For {
		return
	}
	s.accounting.AddCapacity(now, s.capacity.Now()/10)
	s.m.At(now+100*millisecond, s.sample)
}
