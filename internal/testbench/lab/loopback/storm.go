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

// storming is a storm that is under way.
type storming struct {
	*run
	storm   *Storm
	books   lab.StormAccounting
	bearing *lab.FleetCapacity
	held    map[*standin.Cache][]string // keys, as the caches went
}

// newStorm makes the clients.
func newStorm(r *run, fo standin.Options) *storming {
	s := &storming{run: r, storm: r.o.Storm, bearing: lab.NewFleetCapacity(r.fleet, fo), held: map[*standin.Cache][]string{}}
	s.books.For = s.storm.For
	rate := s.storm.Load * s.bearing.Now() / s.bearing.MeanWork / float64(s.storm.Clients)
	rng := part(r.o.Script.Seed, 2)
	r.fleet.Clients = nil
	for i := range s.storm.Clients {
		o := lab.StormClient(fo.Client, i, s.storm.Clients, s.storm.Ignore)
		o.Zone, o.Classes, o.Keys, o.Rate = fo.Zones[i%len(fo.Zones)], fo.Classes, r.fleet.Keys, rate
		o.Routers = func() []standin.Target { return r.front(o.Zone) }
		o.Began = func(class *standin.Class) { s.books.Began(r.m.Now(), class) }
		o.Ended = func(class *standin.Class, asked Time, inAim bool) { s.books.Ended(r.m.Now(), class, asked, inAim) }
		r.fleet.Clients = append(r.fleet.Clients, standin.NewClient(r.m, o, r.fleet.Workload, rng, r.seen))
	}
	s.books.From = 1 << 62 // until it is known
	return s
}

// operators is the routers' file.
func (s *storming) operators(dir, router string) (args []string, err error) {
	path := filepath.Join(dir, router+"-storm.toml")
	text := fmt.Sprintf("kind = \"storm\"\n\nenabled = %v\n", s.storm.Handled)
	return []string{"--operator", path}, os.WriteFile(path, []byte(text), 0o600)
}

// begin is called as the clients start.
func (s *storming) begin() {
	s.books.From = s.start + s.storm.Before + s.storm.Outage
	s.m.At(s.start+s.storm.Before, func() {
		for _, c := range s.fleet.Caches {
			s.held[c] = c.Memory()
			c.Stop()
		}
	})
	s.m.At(s.books.From, s.back)
}

// back has the caches come back, with what they held, and the clients reconnect within a moment.
func (s *storming) back() {
	for _, c := range s.fleet.Caches {
		if err := s.fleet.Restart(c); err != nil {
			s.fail("the storm: %v", err)
			return
		}
		c.Warm(s.held[c])
	}
	for i, c := range s.fleet.Clients {
		s.m.At(s.m.Now()+Time(i)*20*millisecond/Time(len(s.fleet.Clients)), c.Reconnect)
	}
	s.sample()
}

// sample books what caches can bear, ten times a second.
func (s *storming) sample() {
	now := s.m.Now()
	if now >= s.books.From+s.storm.For {
		return
	}
	s.books.AddCapacity(now, s.bearing.Now()/10)
	s.m.At(now+100*millisecond, s.sample)
}
