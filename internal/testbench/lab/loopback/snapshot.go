package loopback

import (
	"slices"
	"strings"

	"starlingwinch/internal/testbench/rules"
	"starlingwinch/internal/testbench/standin"
)

// Snapshot is the state of a run at a moment.
type Snapshot struct {
	At      Time // since the clients' start
	Caches  []CacheState
	Routers []RouterState
	Rules   rules.Counts
	Tallies []*standin.Tally // of the clients, by class
	Clients standin.Tally    // all classes together
	Last    ClientsSince     // since the snapshot before
	Lag     Lag
	Broken  []Finding
}

// CacheState is what is to be seen of a cache.
type CacheState struct {
	Name, Zone  string
	State       string // up, or what is wrong
	InFlight    int
	Connections int
	Reads       int     // carried out since the snapshot before
	Hits        float64 // share of those
	Median      Time    // from a command's last byte to its answer's, since the snapshot before; 0 for none
}

// RouterState is what is to be seen of a router.
type RouterState struct{ Name, State string }

// ClientsSince is how requests ended within a span of time.
type ClientsSince struct {
	Over, Served, InTime, Refused, Failed int
}

// shooter remembers the snapshot before.
type shooter struct {
	clients standin.Tally
	hits    map[*standin.Cache][2]int
}

func (r *run) snapshot() Snapshot {
	s := Snapshot{At: r.m.Now() - r.start, Rules: r.seen.w.Counts(), Lag: r.seen.clock.lag,
		Broken: slices.Clone(r.report.Broken)}
	s.Tallies = r.fleet.Tallies()
	for _, t := range s.Tallies {
		s.Clients.Add(t)
	}
	was, now := &r.shot.clients, &s.Clients
	s.Last = ClientsSince{
		Served: now.OnTime + now.Late - was.OnTime - was.Late, InTime: now.OnTime - was.OnTime,
		Refused: now.Rejected - was.Rejected, Failed: now.Failed + now.Lost - was.Failed - was.Lost,
	}
	s.Last.Over = s.Last.Served + s.Last.Refused + s.Last.Failed
	r.shot.clients = s.Clients
	if r.shot.hits == nil {
		r.shot.hits = map[*standin.Cache][2]int{}
	}
	for _, c := range r.fleet.Caches {
		hits, misses := c.Hits()
		before := r.shot.hits[c]
		r.shot.hits[c] = [2]int{hits, misses}
		hits, misses = hits-before[0], misses-before[1]
		line := CacheState{Name: c.Name(), Zone: c.Zone(), State: r.faults.state(c), InFlight: c.Holds(),
			Connections: c.Connections(), Reads: hits + misses, Median: r.seen.median(c.Name())}
		if line.Reads > 0 {
			line.Hits = float64(hits) / float64(line.Reads)
		}
		s.Caches = append(s.Caches, line)
	}
	for _, rt := range r.routers {
		s.Routers = append(s.Routers, RouterState{rt.name, stateNames[rt.state]})
	}
	return s
}

var stateNames = [...]string{down: "down", coming: "starting", serving: "serving", draining: "draining"}

// state words what a cache is like.
func (fs *faults) state(c *standin.Cache) string {
	var words []string
	if s := fs.states[c]; s != "" {
		words = append(words, s)
	} else if !c.Up() {
		words = append(words, "down")
	}
	if c.WarmingUp() {
		words = append(words, "cold")
	}
	var wrong []string
	for at, n := range fs.lasting {
		if at.cache == c && n > 0 {
			wrong = append(wrong, at.kind)
		}
	}
	slices.Sort(wrong)
	if words = append(words, wrong...); len(words) == 0 {
		return "up"
	}
	return strings.Join(words, ",")
}

// answering is what is known of the commands at a cache.
type answering struct {
	began map[string]Time // by id, of those that are out
	took  standin.Histogram
}

func (o *witness) cache(name string) *answering {
	a := o.caches[name]
	if a == nil {
		a = &answering{began: map[string]Time{}}
		o.caches[name] = a
	}
	return a
}

// median is the middle of the times that a cache took to serve, since the last call.
func (o *witness) median(cache string) Time {
	a := o.cache(cache)
	m := a.took.Quantile(0.5)
	a.took = standin.Histogram{}
	return m
}
