// Package endpointsource asks all that knows of caches (the platform's discovery, a Eureka registry, a fixed file), has
// package membership merge what they say, and hands on the one list.
//
// It runs on a machine's loop and decides nothing: what the words mean together is membership's to say,
// and when the platform is asked again after a failed call is its owner's.
package endpointsource

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"

	"starlingwinch/decide"
	"starlingwinch/internal/discovery"
	"starlingwinch/internal/endpoints"
	"starlingwinch/internal/eureka"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/structuredlog"
)

const (
	mostFaults = 20      // bad entries of one list that are named in the log
	mostFile   = 8 << 20 // bytes of a file with caches
)

// Config says whom to ask.
type Config struct {
	Discovery        string // address of the platform's discovery
	DiscoveryOptions discovery.Options
	LastKnown        discovery.List // the caches as last known; may be old
	Endpoints        endpoints.Config
	Eureka           eureka.Config
	Logger           *slog.Logger // nil discards
}

// Owner takes the merged list. Its methods are called in the machine's loop.
type Owner interface {
	// Publish brings what has changed in the merged list, bad news first.
	Publish(endpoints.Publish)
	// DiscoveryAnswered says that the platform's discovery has answered a call, and Failed that a call has failed where discovery
	// has to be asked: the owner says when to Watch again.
	DiscoveryAnswered()
	DiscoveryFailed()
	// DiscoveryCallEnded says what became of a call of the platform's discovery, for the log: the version that holds from then on, and
	// how many caches were named.
	DiscoveryCallEnded(what string, version int64, caches int)
	// ProcessEvents follows in the same turn.
	ProcessEvents()
}

// Sources follows them. Use New.
type Sources struct {
	m           machine.Machine
	cfg         Config
	owner       Owner
	logger      *slog.Logger
	members     *endpoints.Merger
	waking      machine.Timer // for members
	waiting     machine.Timer // for the platform's first answer
	again       machine.Timer // for the next call of an agent that has lists pushed to it
	index       int64         // version of the platform's list; NoIndex has the whole one asked for
	listUnknown bool          // neither has the platform answered, nor was the list as last known taken over
	watching    *discovery.Watch
	previous    *discovery.Watch // the one before, where it has not answered: it is heard until the other one is
	catchingUp  *discovery.Watch // the one that CatchUp has begun
	registry    *eureka.Client
	over        bool
}

// New makes sources. Nobody is asked before Start.
//
// The list as last known is published only where discovery can't be had, or does not answer for as long as it may take. It may
// name caches that have left since, and what discovery has told the process before counts. Its version is not used either:
// whoever wrote it may have joined a newer version to an older list, and a watch from that version on would never tell what
// the list lacks. So the first call asks for the whole list.
func New(m machine.Machine, cfg Config, owner Owner) (*Sources, error) {
	if cfg.Logger == nil {
		cfg.Logger = structuredlog.Discard()
	}
	s := &Sources{m: m, cfg: cfg, owner: owner, logger: cfg.Logger, index: discovery.NoIndex}
	var err error
	if s.members, err = endpoints.New(cfg.Endpoints.Options(s.inUse())); err != nil {
		return nil, err
	}
	s.listUnknown = s.asks(endpoints.Discovery)
	s.waiting = m.At(m.Now()+cfg.DiscoveryOptions.AnswerTime.Microseconds(), func() {
		s.useLastKnown()
		s.owner.ProcessEvents()
	})
	return s, nil
}

// useLastKnown takes the list as last known over, where nobody has told a newer one.
func (s *Sources) useLastKnown() {
	if !s.listUnknown || s.over {
		return
	}
	s.listUnknown = false
	s.owner.DiscoveryCallEnded("last-known", s.cfg.LastKnown.Index, len(s.cfg.LastKnown.Endpoints))
	s.hear(&endpoints.SourceUpdate{Source: endpoints.Discovery, Full: true, Stale: true, Claims: claims(&s.cfg.LastKnown),
		Unreadable: s.cfg.LastKnown.Unreadable})
}

// inUse names the sources that the files switch on.
func (s *Sources) inUse() (names []string) {
	for _, name := range s.cfg.Endpoints.Order {
		if name == endpoints.Discovery || name == endpoints.Eureka && s.cfg.Eureka.Enabled ||
			name == endpoints.File && s.cfg.Endpoints.File != "" {
			names = append(names, name)
		}
	}
	return names
}

func (s *Sources) asks(name string) bool { return slices.Contains(s.inUse(), name) }

// Start asks all sources, and goes on following them until Stop. Where the platform's discovery has to be asked, its owner
// calls Watch for the first time too: routers that start in step share it.
func (s *Sources) Start() {
	if s.cfg.DiscoveryOptions.Pushed {
		s.Watch()
	}
	if s.asks(endpoints.Eureka) {
		s.registry = eureka.Follow(s.m, s.cfg.Eureka.Options(endpoints.Eureka), func(ev endpoints.Event) {
			s.hear(ev)
			s.owner.ProcessEvents()
		})
	}
	s.ReloadFile()
}

// Stop ends all calls.
func (s *Sources) Stop() {
	s.over = true
	s.unwatch()
	if s.registry != nil {
		s.registry.Stop()
	}
	if s.waking != nil {
		s.waking.Stop()
	}
	s.waiting.Stop()
}

// Table is every cache that is known, and Rows how things stand with each source.
func (s *Sources) Table() ([]endpoints.Row, []endpoints.SourceRow) {
	return s.members.Table(s.m.Now()), s.members.Sources(s.m.Now())
}

// hear gives a source's word to the module that merges them, and does what it says.
func (s *Sources) hear(ev endpoints.Event) {
	if s.over {
		return
	}
	for _, a := range s.members.Handle(s.m.Now(), ev) {
		switch a := a.(type) {
		case endpoints.Publish:
			s.owner.Publish(a)
		case endpoints.Confirm:
			// The platform and the file have one server, and their word is not checked.
			if a.Source == endpoints.Eureka && s.registry != nil {
				s.registry.Confirm()
			}
		case endpoints.Wake:
			if s.waking != nil {
				s.waking.Stop()
			}
			s.waking = s.m.At(a.At, func() {
				s.waking = nil
				s.hear(&endpoints.Tick{})
				s.owner.ProcessEvents()
			})
		case endpoints.Log:
			s.logger.LogAttrs(context.Background(), a.Level, "list of caches: "+a.Message, a.Attrs...)
		}
	}
}

// claims are what a list in the platform's form says.
func claims(list *discovery.List) []endpoints.Claim {
	c := make([]endpoints.Claim, len(list.Endpoints))
	for i, e := range list.Endpoints {
		c[i] = endpoints.Claim{Endpoint: e, Address: list.Addresses[i], Reason: conditionWords[e.Status]}
	}
	return c
}

var conditionWords = map[decide.Status]string{decide.Serving: "in_service", decide.Draining: "terminating",
	decide.Removed: "terminated"}

// sayFaults logs what could not be read of a list.
func (s *Sources) sayFaults(list *discovery.List) {
	for i, fault := range list.Faults {
		if i == mostFaults {
			s.logger.Warn("list of caches: more faults", "faults", len(list.Faults)-i)
			return
		}
		s.logger.Warn("list of caches: " + fault)
	}
}

// Watch follows the platform's discovery. Where a call is out that has not timed out, it is left alone: discovery ends a router's
// older call where it turns a newer one away, and a watch that works would be lost for one that does not.
func (s *Sources) Watch() {
	if s.over || !s.asks(endpoints.Discovery) {
		return
	}
	s.noCall()
	if s.watching != nil {
		return
	}
	var w *discovery.Watch
	w = discovery.Follow(s.m, s.cfg.Discovery, s.cfg.DiscoveryOptions, s.index, func(list discovery.List) {
		s.onAnswer(w)
		s.ApplyDiscovery(list)
	}, func(err error) { s.failed(w, err) })
	s.watching = w
}

// keepPrevious keeps a watch that has not answered, beside the next one. There is one of them at most.
func (s *Sources) keepPrevious(w *discovery.Watch) {
	if s.previous != nil {
		s.previous.Stop()
	}
	s.previous, s.watching = w, nil
}

// onAnswer ends the other watch: the one that has answered goes on, and asks for all that came after that.
func (s *Sources) onAnswer(w *discovery.Watch) {
	s.noCall()
	other := s.previous
	if w == s.previous {
		other = s.watching
	}
	if s.watching, s.previous = w, nil; other != nil {
		other.Stop()
	}
}

// unwatch ends both.
func (s *Sources) unwatch() {
	for _, w := range []*discovery.Watch{s.watching, s.previous} {
		if w != nil {
			w.Stop()
		}
	}
	s.watching, s.previous = nil, nil
	s.noCall()
}

// noCall takes back the next call of an agent.
func (s *Sources) noCall() {
	if s.again != nil {
		s.again.Stop()
		s.again = nil
	}
}

// failed takes the news that a watch has failed, or its call has timed out.
func (s *Sources) failed(w *discovery.Watch, err error) {
	switch {
	case w == s.previous: // the next one is asked, or soon will be
		if !w.TimedOut() {
			s.previous = nil
		}
	case w.TimedOut():
		s.keepPrevious(w)
		s.lost(err, w.RetryDelay())
	default:
		s.watching = nil
		s.useLastKnown()
		s.lost(err, w.RetryDelay())
	}
}

// CatchUp has what an agent has been sent asked for at once. It counts as told, whether or not a call is out, and one that was
// out while the process stood still may have been answered before the news came.
func (s *Sources) CatchUp() {
	if !s.cfg.DiscoveryOptions.Pushed || s.over {
		return
	}
	s.unwatch()
	s.index = discovery.NoIndex // which is answered at once, also where nothing has changed
	s.Watch()
	s.catchingUp = s.watching
}

// IsBehind reports whether the platform's discovery has written something that was not published yet, or CatchUp has not
// been answered.
func (s *Sources) IsBehind() bool {
	if s.catchingUp != nil && s.catchingUp.IsFirstOut() {
		return true
	}
	s.catchingUp = nil
	for _, w := range []*discovery.Watch{s.watching, s.previous} {
		if w != nil && w.IsBehind() {
			return true
		}
	}
	return false
}

// Version is that of the last list of the platform's discovery; below 0 where there is none.
func (s *Sources) Version() int64 { return s.index }

// ApplyDiscovery takes an answer of the platform's discovery, however it came.
func (s *Sources) ApplyDiscovery(list discovery.List) {
	s.index, s.listUnknown = list.Index, false
	s.owner.DiscoveryCallEnded(toldWhat(&list), list.Index, len(list.Endpoints))
	s.sayFaults(&list)
	s.hear(&endpoints.SourceUpdate{Source: endpoints.Discovery, Full: list.Full, Claims: claims(&list), Unreadable: list.Unreadable})
	s.owner.DiscoveryAnswered() // also where nothing has changed
	s.owner.ProcessEvents()
}

// toldWhat words an answer for the log.
func toldWhat(list *discovery.List) string {
	if list.Full {
		return "whole"
	}
	return "changes"
}

// lost takes the news that there is no watch any more. Where it has its own pause, the next call follows that.
func (s *Sources) lost(err error, pause machine.Time) {
	if pause > 0 || !errors.Is(err, discovery.ErrOverloaded) && !errors.Is(err, discovery.ErrWatchSilent) {
		// A discovery that has started anew counts its versions anew, and has nothing to say for long of what comes after the
		// old ones. One that was only silent is asked for what it has missed to tell, which is one call
		// instead of two, and a short one; where it is silent to that too, it is asked for all. An agent's calls cost nothing.
		s.index = discovery.NoIndex
	}
	s.owner.DiscoveryCallEnded("failed", s.index, 0)
	s.hear(&endpoints.SourceUnavailable{Source: endpoints.Discovery, Reason: err.Error()})
	if pause > 0 {
		s.again = s.m.At(s.m.Now()+pause, s.Watch)
	} else {
		s.owner.DiscoveryFailed()
	}
	s.owner.ProcessEvents()
}

// SetDiscovery has the platform's discovery followed at another address. It is asked for its whole list at once, as its
// versions need not go on from those of the old one.
func (s *Sources) SetDiscovery(addr string) {
	s.cfg.Discovery = addr
	s.unwatch() // what the old one has yet to say is not heard: it must not overwrite what the new one has told
	s.index = discovery.NoIndex
	s.Watch()
}

// ReloadFile takes the file with the fixed list over, beside the loop. One that can't be used changes nothing.
func (s *Sources) ReloadFile() {
	if !s.asks(endpoints.File) {
		return
	}
	name := s.cfg.Endpoints.File
	raw, err := s.m.ReadFile(name, mostFile)
	var list discovery.List
	s.m.Work(func() {
		if err != nil {
			return
		}
		if list, err = discovery.Parse(raw); err != nil {
			err = fmt.Errorf("%s: %w", name, err)
		}
	}, func() {
		if s.over {
			return
		}
		if err != nil {
			s.hear(&endpoints.SourceUnavailable{Source: endpoints.File, Reason: err.Error()})
		} else {
			s.sayFaults(&list)
			s.hear(&endpoints.SourceUpdate{Source: endpoints.File, Full: true, Claims: claims(&list), Unreadable: list.Unreadable})
		}
		s.owner.ProcessEvents()
	})
}
