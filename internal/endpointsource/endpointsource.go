// Package endpointsource polls all sources of the endpoint list (the platform's discovery, a Eureka registry, a fixed file),
// merges their lists with package endpoints, and publishes the merged list to its owner.
//
// It runs on a machine's event loop and makes no decisions: the merger decides how the updates are combined, and the owner
// decides when the platform's discovery is called again after a failure.
package endpointsource

import (
	"log/slog"
	"slices"

	"starlingwinch/internal/discovery"
	"starlingwinch/internal/endpoints"
	"starlingwinch/internal/eureka"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/structuredlog"
)

// Config sets the sources of the endpoint list and how they are polled.
type Config struct {
	Discovery        string            // address of the platform's discovery
	DiscoveryOptions discovery.Options // parameters of the calls of discovery
	LastKnown        discovery.List    // the last known endpoint list; may be outdated
	Endpoints        endpoints.Config  // the sources in use, their order, and the parameters of the merge
	Eureka           eureka.Config     // the registry
	Logger           *slog.Logger      // nil discards all log lines
}

// Owner receives the merged list. Its methods are called on the machine's event loop.
type Owner interface {
	// Publish passes the changes of the merged list, removals and drains first.
	Publish(endpoints.Publish)
	// DiscoveryAnswered is called after each answer of the platform's discovery, even if nothing has changed.
	DiscoveryAnswered()
	// DiscoveryFailed is called after a failed call if the owner decides when to call Watch again. err is discovery.ErrOverloaded
	// if discovery rejected the call because it is down or overloaded.
	DiscoveryFailed(err error)
	// DiscoveryCallEnded reports the result of a call of the platform's discovery for the event log: the version that applies
	// after the call, and the number of endpoints in the answer.
	DiscoveryCallEnded(result string, version int64, endpointCount int)
	// ProcessEvents is called once a turn, after the other methods.
	ProcessEvents()
}

// Sources follows all sources of the endpoint list. Use New.
type Sources struct {
	m         machine.Machine
	cfg       Config
	owner     Owner
	logger    *slog.Logger
	merger    *endpoints.Merger
	wakeTimer machine.Timer // fires the Tick that the merger has requested; nil if no Tick is scheduled
	discovery discoverySource
	registry  *eureka.Client // nil until Start, and if the registry is not in use
	stopped   bool           // Stop was called
}

// New returns a Sources. No source is polled before Start.
func New(m machine.Machine, cfg Config, owner Owner) (*Sources, error) {
	if cfg.Logger == nil {
		cfg.Logger = structuredlog.Discard()
	}
	merger, err := endpoints.New(cfg.Endpoints.Options(sourcesInUse(&cfg)))
	if err != nil {
		return nil, err
	}
	s := &Sources{m: m, cfg: cfg, owner: owner, logger: cfg.Logger, merger: merger}
	s.discovery.init(s)
	return s, nil
}

// sourcesInUse returns the names of the sources that the operators' files enable, in the operators' order.
func sourcesInUse(cfg *Config) []string {
	var names []string
	for _, name := range cfg.Endpoints.Order {
		if isInUse(cfg, name) {
			names = append(names, name)
		}
	}
	return names
}

func isInUse(cfg *Config, name string) bool {
	if !slices.Contains(cfg.Endpoints.Order, name) {
		return false
	}
	switch name {
	case endpoints.Discovery:
		return true
	case endpoints.Eureka:
		return cfg.Eureka.Enabled
	case endpoints.File:
		return cfg.Endpoints.File != ""
	}
	return false
}

// Start follows all sources until Stop. If the platform's discovery does not push its lists to an agent, the owner must make
// the first call of Watch, so that routers that start at the same time can spread their calls.
func (s *Sources) Start() {
	if s.cfg.DiscoveryOptions.Pushed {
		s.Watch()
	}
	if isInUse(&s.cfg, endpoints.Eureka) {
		s.registry = eureka.Follow(s.m, s.cfg.Eureka.Options(endpoints.Eureka), func(ev endpoints.Event) {
			s.handle(ev)
			s.owner.ProcessEvents()
		})
	}
	s.ReloadFile()
}

// Stop ends all calls and timers. Nothing is published afterwards.
func (s *Sources) Stop() {
	s.stopped = true
	s.discovery.stopWatches()
	if s.registry != nil {
		s.registry.Stop()
	}
	if s.wakeTimer != nil {
		s.wakeTimer.Stop()
	}
	s.discovery.firstAnswerTimer.Stop()
}

// Table returns every known endpoint and the state of each source.
func (s *Sources) Table() ([]endpoints.Row, []endpoints.SourceRow) {
	return s.merger.Table(s.m.Now()), s.merger.Sources(s.m.Now())
}

// handle passes an event to the merger and carries out the actions that it returns.
func (s *Sources) handle(event endpoints.Event) {
	if s.stopped {
		return
	}
	for _, action := range s.merger.Handle(s.m.Now(), event) {
		s.perform(action)
	}
}

func (s *Sources) perform(action endpoints.Action) {
	switch action := action.(type) {
	case endpoints.Publish:
		s.owner.Publish(action)
	case endpoints.Confirm:
		s.confirm(action.Source)
	case endpoints.Wake:
		s.wake(action.At)
	case endpoints.Log:
		s.logMerger(action)
	}
}

// confirm fetches a source's list a second time. Only the registry has several servers whose lists may differ; the lists of
// discovery and of the file are never confirmed.
func (s *Sources) confirm(source string) {
	if source == endpoints.Eureka && s.registry != nil {
		s.registry.Confirm()
	}
}

// wake sets the timer of the merger's next Tick, in place of an earlier timer.
func (s *Sources) wake(at machine.Time) {
	if s.wakeTimer != nil {
		s.wakeTimer.Stop()
	}
	s.wakeTimer = s.m.At(at, func() {
		s.wakeTimer = nil
		s.handle(&endpoints.Tick{})
		s.owner.ProcessEvents()
	})
}
