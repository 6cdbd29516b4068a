package endpointsource

import (
	"errors"

	"starlingwinch/internal/discovery"
	"starlingwinch/internal/endpoints"
	"starlingwinch/internal/machine"
)

// Results of a discovery call, as Owner.DiscoveryCallEnded reports them for the event log.
const (
	resultFull      = "full"
	resultDelta     = "delta"
	resultFailed    = "failed"
	resultLastKnown = "last-known"
)

// discoverySource follows the platform's discovery with at most two watches: the current watch, and the previous watch as long
// as neither has answered.
//
// The last known list is published only if discovery is unavailable or does not answer in time: the list may name caches that
// have since been removed, and changes that discovery sent to the previous process count as known to this process. The version
// of the last known list is not used: it may have been stored with an older list, and a watch from that version would never
// send the changes that the list lacks. Therefore the first call fetches the full list.
type discoverySource struct {
	sources *Sources

	version   int64            // of the latest list; with discovery.NoIndex the next call fetches the full list
	awaitList bool             // no list was received yet, and the last known list was not published
	watch     *discovery.Watch // nil between a failure and the next call
	previous  *discovery.Watch // a watch that has timed out, until it or the current watch answers; nil if there is none
	catchUp   *discovery.Watch // the watch that CatchUp began, until its first call has ended

	firstAnswerTimer machine.Timer // publishes the last known list when it fires
	retryTimer       machine.Timer // starts the next call of an agent; nil if no call is scheduled
}

// init initializes the source and starts the timer for the first answer.
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

// useLastKnown publishes the last known list, unless discovery has sent a list.
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

// Watch follows the platform's discovery. It does nothing while a call is in flight that has not timed out: discovery may
// reject the new call and also end the older one, so that a working watch would be lost.
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

// onAnswer makes the watch that was answered the current one and stops the other watch.
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

// onFailure handles a watch that has failed or whose call has timed out.
func (d *discoverySource) onFailure(w *discovery.Watch, err error) {
	switch {
	case w == d.previous: // the next watch has started, or is scheduled
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

// retainTimedOut keeps a watch that has timed out open beside the next watch, as its answer may still arrive. It stops and
// replaces an earlier watch that has timed out.
func (d *discoverySource) retainTimedOut(w *discovery.Watch) {
	if d.previous != nil {
		d.previous.Stop()
	}
	d.previous, d.watch = w, nil
}

// unavailable reports the loss of the watch. It schedules the next call if the watch has a retry delay; otherwise the owner
// decides when to call again.
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

// canResumeVersion reports whether the call after a failure may fetch only the changes since the latest version.
//
// A discovery service that has restarted numbers its versions from the beginning, and would not answer a call with an old
// version for a long time. If discovery only rejected the call or the watch fell silent, the next call fetches the changes,
// which takes one short call instead of two; if that call gets no answer either, the full list is fetched. Calls to an agent
// cost nothing, so the full list is always fetched from an agent.
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

// CatchUp fetches the full list of an agent at once, after the process was paused. It does nothing unless lists are pushed to an
// agent. The agent's list counts as known to the router whether or not a call is in flight, and a call that was in flight may
// have been answered before the latest change, so waiting for a call is not enough.
func (s *Sources) CatchUp() {
	if !s.cfg.DiscoveryOptions.Pushed || s.stopped {
		return
	}
	d := &s.discovery
	d.stopWatches()
	d.version = discovery.NoIndex // the agent sends a full list at once, even if nothing has changed
	d.start()
	d.catchUp = d.watch
}

// IsBehind reports whether the platform's discovery has written data that was not published yet, or the call of CatchUp has
// not been answered.
func (s *Sources) IsBehind() bool {
	d := &s.discovery
	if d.catchUp != nil && d.catchUp.IsFirstCallInFlight() {
		return true
	}
	d.catchUp = nil
	for _, w := range []*discovery.Watch{d.watch, d.previous} {
		if w != nil && w.HasUndelivered() {
			return true
		}
	}
	return false
}

// Version returns the version of the latest list of the platform's discovery; below 0 if there is none.
func (s *Sources) Version() int64 { return s.discovery.version }

// ApplyDiscovery publishes a list of the platform's discovery, independent of the way in which it was received.
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

// SetDiscovery follows the platform's discovery at another address. It fetches the full list first, as the versions at the new
// address need not continue the old ones. It stops the watches of the old address, as a late answer from there must not
// overwrite an answer from the new address.
func (s *Sources) SetDiscovery(addr string) {
	s.cfg.Discovery = addr
	s.discovery.stopWatches()
	s.discovery.version = discovery.NoIndex
	s.Watch()
}
