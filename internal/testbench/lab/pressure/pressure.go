// Package pressure plays hostile clients against one router process with little memory and a part of a core, beside usual clients.
// It checks that the process stays within its memory, that usual clients get their answers in time, and that caches receive nothing
// for clients that have gone or whose time is over. Clients and caches are goroutines of the calling process, on loopback sockets.
package pressure

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// Bounds of a play, from the rules on sockets.
const (
	// answerSlack is the time after a request's own time at which it counts as lost.
	answerSlack = 550 * time.Millisecond
	// lateSlack is the time after a request's own time, or after its client's close, at which an attempt counts as late.
	lateSlack = 150 * time.Millisecond
	// starvedAfter is the time for which no usual read may be served.
	starvedAfter = 2 * time.Second
)

// Options describe a play.
type Options struct {
	Program  string        // the router's program
	Shape    string        // name of the hostile clients' shape, one of Shapes
	Seed     uint64        // draws the number of hostile clients and their sizes
	MemoryMB int           // limit of the router's memory
	Sockets  int           // limit of the router's descriptors
	Beside   int           // busy processes on the router's core
	Length   time.Duration // of the play
}

// Result is what a play has shown.
type Result struct {
	Broken       []string // descriptions of what went wrong, in the order seen
	PeakKB       int      // peak of the router's resident memory
	Hostile      int      // number of hostile clients
	Sent         int      // requests of usual clients
	Served       int      // of these
	Refused      int      // of these
	Slowest      time.Duration
	LongestNone  time.Duration // longest time for which no usual read was served
	AtCaches     int           // requests that caches received
	HostileBytes int64         // bytes that hostile clients sent
}

// String returns the result on one line.
func (r *Result) String() string {
	return fmt.Sprintf("%d hostile clients, %d MB sent; peak %d KB; usual: %d sent, %d served, %d refused, slowest %d ms, none served for %d ms; %d at caches",
		r.Hostile, r.HostileBytes>>20, r.PeakKB, r.Sent, r.Served, r.Refused, r.Slowest.Milliseconds(), r.LongestNone.Milliseconds(), r.AtCaches)
}

// play is a running play.
type play struct {
	options Options
	random  *rand.Rand
	addr    string // of the router
	stop    time.Time
	result  Result
	wait    sync.WaitGroup

	mu       sync.Mutex
	requests map[string]*sentRequest // by id
	runs     map[string]int          // times that caches began a request of a class that must not run twice, by id
	none     time.Time               // when a usual read was last served
}

// sentRequest is a request whose attempts are watched.
type sentRequest struct {
	deadline time.Time // the client's time is over; zero if not watched
	gone     time.Time // the client has closed its connection; zero if not
}

// Run plays once.
func Run(o Options) (*Result, error) {
	shape := Shapes[o.Shape]
	if shape == nil {
		return nil, fmt.Errorf("unknown shape %q", o.Shape)
	}
	p := &play{options: o, random: rand.New(rand.NewPCG(o.Seed, 1)), requests: map[string]*sentRequest{}, runs: map[string]int{}}
	caches, err := p.startCaches()
	if err != nil {
		return nil, err
	}
	defer caches.close()
	router, err := startRouter(o, caches)
	if err != nil {
		return nil, err
	}
	defer router.kill()
	p.addr = router.addr
	p.stop = time.Now().Add(o.Length)
	p.none = time.Now()
	p.startUsualClients()
	time.Sleep(time.Second) // the router has caches' connections before the hostile clients come
	shape(p)
	p.wait.Wait()
	p.noteServed(time.Now())
	p.result.PeakKB = router.peakKB()
	if router.hasEnded() {
		p.breakf("the router has ended")
	}
	if limit := o.MemoryMB << 10; p.result.PeakKB > limit {
		p.breakf("the router held %d KB, over its limit of %d KB", p.result.PeakKB, limit)
	}
	if p.result.LongestNone > starvedAfter {
		p.breakf("no usual read was served for %d ms", p.result.LongestNone.Milliseconds())
	}
	for _, line := range router.violations() {
		p.breakf("the router reports: %s", line)
	}
	return &p.result, nil
}

// breakf records a breach.
func (p *play) breakf(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.result.Broken = append(p.result.Broken, fmt.Sprintf(format, args...))
}

// noteServed records that a usual read was served.
func (p *play) noteServed(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.result.LongestNone = max(p.result.LongestNone, at.Sub(p.none))
	p.none = at
}

// watch has the caches check the attempts of a request.
func (p *play) watch(id string, deadline time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests[id] = &sentRequest{deadline: deadline}
}

// clientGone records that the clients of requests have closed their connections.
func (p *play) clientGone(ids []string, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range ids {
		if request := p.requests[id]; request != nil {
			request.gone = at
		}
	}
}

// clientCame records that a request whose client had gone was sent again.
func (p *play) clientCame(ids []string, deadline time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range ids {
		p.requests[id] = &sentRequest{deadline: deadline}
	}
}

// attemptArrived checks an attempt that a cache has received at a time.
func (p *play) attemptArrived(args []string, at time.Time) {
	id, metadata := args[2], args[3]
	p.mu.Lock()
	p.result.AtCaches++
	request := p.requests[id]
	runs := 0
	if strings.Contains(metadata, "c=once") {
		p.runs[id]++
		runs = p.runs[id]
	}
	p.mu.Unlock()
	switch {
	case runs > 1:
		p.breakf("request %s, which must not run twice, began %d times", id, runs)
	case request == nil:
	case !request.gone.IsZero() && at.After(request.gone.Add(lateSlack)):
		p.breakf("request %s began %d ms after its client had closed its connection", id, at.Sub(request.gone).Milliseconds())
	case !request.deadline.IsZero() && at.After(request.deadline.Add(lateSlack)):
		p.breakf("request %s began %d ms after its time was over", id, at.Sub(request.deadline).Milliseconds())
	}
}
