// Package endpointsource polls every source of the endpoint list (the platform's discovery, a Eureka registry, a fixed file),
// has package endpoints merge what they say, and publishes the merged list to its owner.
//
// It runs on a machine's loop and decides nothing: what the updates mean together is the merger's decision, and when the
// platform's discovery is called again after a failure is its owner's.
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

// Config says which sources there are and how they are polled.
type Config struct {
	Discovery        string            // address of the platform's discovery
	DiscoveryOptions discovery.Options // how it is called
	LastKnown        discovery.List    // the endpoint list as last known; may be old
	Endpoints        endpoints.Config  // the sources in use, their order, and how they are merged
	Eureka           eureka.Config     // the registry
	Logger           *slog.Logger      // nil discards
}

// Owner receives the merged list. Its methods are called on the machine's loop.
type Owner interface {
	// Publish brings the changes of the merged list, removals and drains first.
	Publish(endpoints.Publish)
	// DiscoveryAnswered is called after each call that the platform's discovery has answered, also where nothing has changed.
	DiscoveryAnswered()
	// DiscoveryFailed is called after a failed call where the owner decides when to Watch again. err is an ErrOverloaded of
	// package discovery where discovery answered that it is down or has too much to do.
	DiscoveryFailed(err error)
	// DiscoveryCallEnded reports the result of a call of the platform's discovery, for the event log: the version that holds
	// from then on, and how many endpoints the answer names.
	DiscoveryCallEnded(result string, version int64, caches int)
	// ProcessEvents follows the other methods, once a turn.
	ProcessEvents()
}

// Sources follows all sources of the endpoint list. Use New.
type Sources struct {
	m         machine.Machine
	cfg       Config
	owner     Owner
	logger    *slog.Logger
	merger    *endpoints.Merger
	wakeTimer machine.Timer // the Tick that the merger waits for; nil where it waits for none
	discovery discoverySource
	registry  *eureka.Client // nil until Start, and where the registry is not in use
	stopped   bool           // Stop was called
}

// New makes sources. No source is polled before Start.
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

// sourcesInUse returns the names of the sources that the operators' files switch on, in their order.
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

// Start polls all sources until Stop. Where the platform's discovery has to be polled, the owner makes the first call of
// Watch too, so that routers that start in step can spread their calls.
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

// confirm has a source's list fetched once more. Only the registry has several servers that may differ; the lists of discovery
// and of the file are never confirmed.
func (s *Sources) confirm(source string) {
	if source == endpoints.Eureka && s.registry != nil {
		s.registry.Confirm()
	}
}

// wake replaces the timer of the merger's next Tick.
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
