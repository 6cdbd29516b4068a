package endpointsource

import (
	"errors"

	"starlingwinch/internal/discovery"
	"starlingwinch/internal/endpoints"
	"starlingwinch/internal/machine"
)

// Results of a discovery call, as Owner.DiscoveryCallEnded reports them. They stand in the event log.
const (
	resultFull      = "full"
	resultDelta     = "delta"
	resultFailed    = "failed"
	resultLastKnown = "last-known"
)

// discoverySource follows the platform's discovery by at most two watches: the current one, and the one before it while
// neither has answered.
//
// The list as last known is published only where discovery is unavailable, or does not answer in time: it may name caches
// that have left since, and what discovery sent to the previous process counts as known to this one. Its version is not used:
// whoever stored it may have joined a newer version to an older list, and a watch from that version on would never send what
// the list lacks. So the first call fetches the full list.
type discoverySource struct {
	sources *Sources

	version   int64            // of the latest list; discovery.NoIndex has the next call fetch the full list
	awaitList bool             // no list was received yet, and the one as last known is not in use
	watch     *discovery.Watch // nil between a failure and the next call
	previous  *discovery.Watch // timed out, but not replaced by an answer yet; nil where there is none
	catchUp   *discovery.Watch // the watch that CatchUp began, until its first call has ended

	firstAnswerTimer machine.Timer // the list as last known is used when it fires
	retryTimer       machine.Timer // the next call of an agent; nil where none is due
}

// init prepares the source and starts the wait for the first answer.
func (d *discoverySource) init(s *Sources) {
	d.sources = s
	d.version = discovery.NoIndex
	d.awaitList = d.inUse()
	d.firstAnswerTimer = s.m.At(s.m.Now()+s.cfg.DiscoveryOptions.AnswerTime.Microseconds(), func() {
		d.useLastKnown()
		s.owner.ProcessEvents()
	})
}

func (d *discoverySource) inUse() bool { return isInUse(&d.sources.cfg, endpoints.Discovery) }

// useLastKnown publishes the list as last known, unless discovery has sent one.
func (d *discoverySource) useLastKnown() {
	s := d.sources
	if !d.awaitList || s.stopped {
		return
	}
	d.awaitList = false
	lastKnown := &s.cfg.LastKnown
	s.owner.DiscoveryCallEnded(resultLastKnown, lastKnown.Index, len(lastKnown.Endpoints))
	update := listUpdate(endpoints.Discovery, lastKnown)
	update.Full, update.Stale = true, true
	s.handle(update)
}

// Watch follows the platform's discovery. A call that is out and has not timed out is left alone: discovery may reject the
// new call and end the older one, and a watch that works would be lost for one that does not.
func (s *Sources) Watch() { s.discovery.start() }

func (d *discoverySource) start() {
	s := d.sources
	if s.stopped || !d.inUse() {
		return
	}
	d.cancelRetry()
	if d.watch != nil {
		return
	}
	var w *discovery.Watch
	onList := func(list discovery.List) {
		d.onAnswer(w)
		s.ApplyDiscovery(list)
	}
	onFailure := func(err error) { d.onFailure(w, err) }
	w = discovery.Follow(s.m, s.cfg.Discovery, s.cfg.DiscoveryOptions, d.version, onList, onFailure)
	d.watch = w
}

// onAnswer keeps the watch that was answered and stops the other one.
func (d *discoverySource) onAnswer(w *discovery.Watch) {
	d.cancelRetry()
	other := d.previous
	if w == d.previous {
		other = d.watch
	}
	d.watch, d.previous = w, nil
	if other != nil {
		other.Stop()
	}
}

// onFailure handles a watch that has failed, or whose call has timed out.
func (d *discoverySource) onFailure(w *discovery.Watch, err error) {
	switch {
	case w == d.previous: // its successor is polled already, or will be
		if !w.TimedOut() {
			d.previous = nil
		}
	case w.TimedOut():
		d.retainTimedOut(w)
		d.unavailable(err, w.RetryDelay())
	default:
		d.watch = nil
		d.useLastKnown()
		d.unavailable(err, w.RetryDelay())
	}
}

// retainTimedOut leaves a watch that has timed out open beside the next one, as its answer may still come. It replaces the
// one before.
func (d *discoverySource) retainTimedOut(w *discovery.Watch) {
	if d.previous != nil {
		d.previous.Stop()
	}
	d.previous, d.watch = w, nil
}

// unavailable reports the loss of the watch, and schedules the next call where the source has its own retry delay.
func (d *discoverySource) unavailable(err error, retryDelay machine.Time) {
	s := d.sources
	if !canResumeVersion(err, retryDelay) {
		d.version = discovery.NoIndex
	}
	s.owner.DiscoveryCallEnded(resultFailed, d.version, 0)
	s.handle(&endpoints.SourceUnavailable{Source: endpoints.Discovery, Reason: err.Error()})
	if retryDelay > 0 {
		d.retryTimer = s.m.At(s.m.Now()+retryDelay, s.Watch)
	} else {
		s.owner.DiscoveryFailed(err)
	}
	s.owner.ProcessEvents()
}

// canResumeVersion reports whether the call after a failure may fetch the changes since the latest version only.
//
// A discovery that has restarted numbers its versions anew, and would not answer for long to a version of the old ones. One
// that only rejected the call or fell silent is polled for the changes, which is one short call in place of two; where it is
// silent to that too, its full list is fetched. An agent's calls cost nothing, so that the full list is always fetched.
func canResumeVersion(err error, retryDelay machine.Time) bool {
	if retryDelay > 0 {
		return false
	}
	return errors.Is(err, discovery.ErrOverloaded) || errors.Is(err, discovery.ErrWatchSilent)
}

// stopWatches stops both watches and the retry timer.
func (d *discoverySource) stopWatches() {
	for _, w := range []*discovery.Watch{d.watch, d.previous} {
		if w != nil {
			w.Stop()
		}
	}
	d.watch, d.previous = nil, nil
	d.cancelRetry()
}

func (d *discoverySource) cancelRetry() {
	if d.retryTimer != nil {
		d.retryTimer.Stop()
		d.retryTimer = nil
	}
}

// CatchUp has the full list of an agent fetched at once, after the process stood still. What the agent has counts as known to
// the router, whether or not a call is out, and a call that was out may have been answered before the latest change.
func (s *Sources) CatchUp() {
	if !s.cfg.DiscoveryOptions.Pushed || s.stopped {
		return
	}
	d := &s.discovery
	d.stopWatches()
	d.version = discovery.NoIndex // a full list is sent at once, also where nothing has changed
	d.start()
	d.catchUp = d.watch
}

// IsBehind reports whether the platform's discovery has written something that was not published yet, or CatchUp has not
// been answered.
func (s *Sources) IsBehind() bool {
	d := &s.discovery
	if d.catchUp != nil && d.catchUp.IsFirstOut() {
		return true
	}
	d.catchUp = nil
	for _, w := range []*discovery.Watch{d.watch, d.previous} {
		if w != nil && w.IsBehind() {
			return true
		}
	}
	return false
}

// Version is that of the latest list of the platform's discovery; below 0 where there is none.
func (s *Sources) Version() int64 { return s.discovery.version }

// ApplyDiscovery publishes a list of the platform's discovery, however it was received.
func (s *Sources) ApplyDiscovery(list discovery.List) {
	s.discovery.version = list.Index
	s.discovery.awaitList = false
	result := resultDelta
	if list.Full {
		result = resultFull
	}
	s.owner.DiscoveryCallEnded(result, list.Index, len(list.Endpoints))
	s.logFaults(&list)
	s.handle(listUpdate(endpoints.Discovery, &list))
	s.owner.DiscoveryAnswered()
	s.owner.ProcessEvents()
}

// SetDiscovery has the platform's discovery followed at another address, beginning with its full list, as its versions need
// not continue those of the old one. Answers of the old one are dropped: they must not overwrite the new one's.
func (s *Sources) SetDiscovery(addr string) {
	s.cfg.Discovery = addr
	s.discovery.stopWatches()
	s.discovery.version = discovery.NoIndex
	s.Watch()
}
