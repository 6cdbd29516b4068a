// Package stubrouter runs many hollow routers in one process on loopback sockets, and measures what their control costs: a hollow
// router is the whole router, on a real machine of its own, that no client asks. Its sources, watches of discovery, membership,
// probes and configuration are at work as in service. Caches and discovery are the project's stand-ins.
package stubrouter

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"starlingwinch/decide"
	"starlingwinch/internal/guard"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/lab"
	"starlingwinch/internal/testbench/lab/node"
	"starlingwinch/internal/testbench/standin"
)

// Options describe a run.
type Options struct {
	Routers, Caches int
	Settle          time.Duration // until what is measured begins
	Steady          time.Duration // without any change
	Changes         int           // of the list, one after another
	ChangeEvery     time.Duration
}

// Result is what a run has measured. Rates are those of all routers together, over the steady time.
type Result struct {
	Routers       int
	Heard         Spread  // from the start until a router has the list
	InForce       Spread  // from a change until a router has taken it over, over all routers and changes
	Missed        int     // changes that some router had not taken over in the end
	ListMessages  float64 // a second, to discovery
	ListBytes     float64 // a second, to discovery and back
	ProbeMessages float64 // a second, to caches
	ProbeBytes    float64
	Connections   int64   // open at the end of the steady time
	Processor     float64 // cores, of routers and stand-ins together
	Heap          float64 // bytes in use, of both
}

// Spread is a distribution of times.
type Spread struct{ Median, P99, Last time.Duration }

func spreadOf(all []time.Duration) Spread {
	if len(all) == 0 {
		return Spread{}
	}
	slices.Sort(all)
	return Spread{all[len(all)/2], all[len(all)*99/100], all[len(all)-1]}
}

// router is one hollow router.
type router struct {
	loop *machine.Real
	node lab.Node
}

// fleet is all routers of a run with what surrounds them.
type fleet struct {
	o           Options
	around      *machine.Real
	standins    *standin.Fleet
	routers     []*router
	lists       Traffic
	caches      Traffic
	connections atomic.Int64
	loops       sync.WaitGroup
	begun       time.Time

	mu      sync.Mutex
	heard   []time.Duration
	pending map[string]change // by cache, that is being changed
	inForce []time.Duration
}

// change is a change of the list that routers are to take over.
type change struct {
	at   time.Time
	want decide.Status
}

// Play starts the routers, measures, and ends them all.
func Play(ctx context.Context, o Options) (Result, error) {
	f := &fleet{o: o, pending: map[string]change{}}
	defer f.stop()
	if err := f.start(); err != nil {
		return Result{}, err
	}
	r := Result{Routers: o.Routers}
	if err := wait(ctx, o.Settle); err != nil {
		return r, err
	}
	if err := f.steady(ctx, &r); err != nil {
		return r, err
	}
	if err := f.change(ctx); err != nil {
		return r, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	r.Heard, r.InForce = spreadOf(f.heard), spreadOf(f.inForce)
	r.Missed = o.Changes*o.Routers - len(f.inForce)
	return r, nil
}

func wait(ctx context.Context, span time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(span):
		return nil
	}
}

// start starts the stand-ins and then the routers.
func (f *fleet) start() error {
	if err := f.surround(); err != nil {
		return err
	}
	f.begun = time.Now()
	for i := range f.o.Routers {
		if err := f.startRouter(nameOf(i)); err != nil {
			return fmt.Errorf("router %d: %w", i, err)
		}
	}
	return nil
}

func nameOf(i int) string { return fmt.Sprintf("r-%d", i+1) }

func (f *fleet) surround() error {
	var err error
	if f.around, err = f.newLoop(); err != nil {
		return err
	}
	o := standin.DefaultOptions()
	o.Caches, o.Clients, o.Routers = f.o.Caches, 0, nil
	for i := range f.o.Routers {
		o.Routers = append(o.Routers, nameOf(i))
	}
	o.Discovery.Delay = 0
	o.Cache.Connections = 4 * f.o.Routers
	here := func() machine.Machine { return f.around }
	places := standin.Places{Store: here, Discovery: here,
		Cache:  func(string, string) machine.Machine { return f.around },
		Client: func(string, string) machine.Machine { return f.around },
	}
	f.do(f.around, func() { f.standins, err = standin.NewFleet(o, places, rand.New(rand.NewPCG(1, 1)), nil) })
	return err
}

// newLoop starts a machine's loop.
func (f *fleet) newLoop() (*machine.Real, error) {
	m, err := machine.New(machine.Options{Log: io.Discard})
	if err != nil {
		return nil, err
	}
	f.loops.Go(m.Run)
	return m, nil
}

// do runs something in a loop and waits for its end.
func (f *fleet) do(m *machine.Real, what func()) {
	done := make(chan struct{})
	m.Post(func() {
		defer close(done)
		what()
	})
	<-done
}

func (f *fleet) startRouter(name string) error {
	loop, err := f.newLoop()
	if err != nil {
		return err
	}
	r := &router{loop: loop}
	f.routers = append(f.routers, r)
	s := standin.DefaultRouterSettings()
	s.Name, s.Listen, s.Discovery, s.Routers = name, "127.0.0.1:0", f.standins.Lists[name], f.o.Routers
	m := &counting{Machine: loop, discovery: s.Discovery, lists: &f.lists, caches: &f.caches, connectionsOpen: &f.connections}
	observer := &observer{fleet: f}
	f.do(loop, func() {
		r.node, err = node.Start(m, lab.NodeConfig{JSON: s.JSON(), Wrap: observer.wrap})
	})
	return err
}

// steady measures what is spent while nothing changes.
func (f *fleet) steady(ctx context.Context, r *Result) error {
	lists, caches, processor, begun := f.lists.Sample(), f.caches.Sample(), processorTime(), time.Now()
	if err := wait(ctx, f.o.Steady); err != nil {
		return err
	}
	seconds := time.Since(begun).Seconds()
	l, c := f.lists.Sample().Since(lists), f.caches.Sample().Since(caches)
	r.ListMessages, r.ListBytes = float64(l.Messages)/seconds, float64(l.In+l.Out)/seconds
	r.ProbeMessages, r.ProbeBytes = float64(c.Messages)/seconds, float64(c.In+c.Out)/seconds
	r.Processor = (processorTime() - processor).Seconds() / seconds
	r.Connections = f.connections.Load()
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	r.Heap = float64(memory.HeapInuse + memory.StackInuse)
	return nil
}

// processorTime is what this process has used.
func processorTime() time.Duration {
	var use syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &use); err != nil {
		return 0
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}

// change changes the list, each time another cache.
func (f *fleet) change(ctx context.Context) error {
	for i := range f.o.Changes {
		cache := f.standins.Caches[i%len(f.standins.Caches)].Name()
		f.mu.Lock()
		f.pending[cache] = change{time.Now(), decide.Draining}
		f.mu.Unlock()
		f.do(f.around, func() { f.standins.Discovery.SetStatus(cache, standin.Terminating) })
		if err := wait(ctx, f.o.ChangeEvery); err != nil {
			return err
		}
	}
	return wait(ctx, f.o.Settle)
}

func (f *fleet) stop() {
	for _, r := range f.routers {
		if closer, ok := r.node.(interface{ Close() }); ok {
			f.do(r.loop, closer.Close)
		}
		r.loop.Stop()
	}
	if f.standins != nil {
		f.do(f.around, f.standins.Close)
	}
	if f.around != nil {
		f.around.Stop()
	}
	f.loops.Wait()
}

// observer notes when a router's module is told of the list.
type observer struct {
	guard.Module
	fleet *fleet
	heard bool
}

func (o *observer) wrap(m guard.Module) guard.Module {
	o.Module = m
	return o
}

// Handle implements guard.Module.
func (o *observer) Handle(now decide.Time, ev decide.Event) []decide.Action {
	if l, ok := ev.(*decide.EndpointList); ok {
		o.list(l)
	}
	return o.Module.Handle(now, ev)
}

func (o *observer) list(l *decide.EndpointList) {
	f := o.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if !o.heard && (l.Kind == decide.FullUpdate || l.Kind == decide.DeltaUpdate) && len(l.Endpoints) > 0 {
		o.heard = true
		f.heard = append(f.heard, time.Since(f.begun))
	}
	for _, e := range l.Endpoints {
		if c, changed := f.pending[e.ID]; changed && e.Status == c.want {
			f.inForce = append(f.inForce, time.Since(c.at))
		}
	}
}
