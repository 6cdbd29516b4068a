package router

import (
	"context"

	"starlingwinch/decide"
	"starlingwinch/internal/frontend"
	"starlingwinch/internal/retrystorm"
)

// retryAfterSteps is how many different times jitteredRetryAfter gives.
const retryAfterSteps = 1024

// retryStormMonitor feeds the retry storm detector with what happens, and holds the bounds that follow.
type retryStormMonitor struct {
	detector        *retrystorm.Detector
	classes         map[string]stormClass // by name; set at the start
	bounds          retrystorm.Bounds     // those that the module has; changes with the detector's state
	seenConnections int                   // clients' connections accepted up to the last check
}

// stormClass is what the monitor needs to know of a class.
type stormClass struct {
	nameHash      uint64
	clientTimeout Time
}

// newRetryStormMonitor returns the monitor; nil where operators have switched it off.
func newRetryStormMonitor(cfg *Config) *retryStormMonitor {
	if !cfg.RetryStorm.Enabled {
		return nil
	}
	monitor := &retryStormMonitor{
		detector: retrystorm.New(cfg.RetryStorm),
		classes:  map[string]stormClass{},
		bounds:   retrystorm.Bounds{RetryBudgetFraction: 1},
	}
	for _, class := range cfg.Settings.Classes {
		monitor.classes[class.Name] = stormClass{frontend.KeyHash([]byte(class.Name)), class.ClientTimeout}
	}
	return monitor
}

// describe returns a command as the detector sees it.
func (w *retryStormMonitor) describe(slot *frontend.ReplySlot) retrystorm.Request {
	command := &slot.Command
	class := w.classes[command.Class]
	return retrystorm.Request{
		Client:            slot.ClientAddressHash(),
		Key:               command.KeyHash ^ class.nameHash,
		ClientTimeout:     class.clientTimeout,
		MarkedRetry:       command.Retry,
		FirstOnConnection: slot.FirstOnConnection,
	}
}

// recordRequest records a request that has arrived, and returns what the detector says of it. A request over its client's
// fair share is recorded as unserved, as its caller rejects it.
func (r *Router) recordRequest(slot *frontend.ReplySlot, readAt Time) (retrystorm.Request, retrystorm.Verdict) {
	if r.retryStorm == nil {
		return retrystorm.Request{}, retrystorm.Verdict{}
	}
	request := r.retryStorm.describe(slot)
	verdict := r.retryStorm.detector.Requested(readAt, request)
	if verdict.OverFairShare {
		r.retryStorm.detector.Unserved(readAt, request, verdict, readAt)
	}
	return request, verdict
}

// recordUnserved records a request that ends without a value. finishRequest calls it.
func (r *Router) recordUnserved(q *request) {
	if r.retryStorm == nil {
		return
	}
	if q.connectionLost || q.slot.ConnectionBroken() {
		r.retryStorm.detector.ConnectionLost(r.m.Now(), q.stormRequest, q.readAt)
		return
	}
	r.retryStorm.detector.Unserved(r.m.Now(), q.stormRequest, q.stormVerdict, q.readAt)
}

// recordAttempt records whether the cache of an attempt could be reached.
func (r *Router) recordAttempt(result decide.Result) {
	if r.retryStorm == nil {
		return
	}
	switch result {
	case decide.Served, decide.Errored, decide.Rejected:
		r.retryStorm.detector.AttemptEnded(true)
	case decide.ConnectFailed:
		r.retryStorm.detector.AttemptEnded(false)
	}
}

// jitteredRetryAfter returns a retry-after time between half of the longest one and the longest one, which differs from
// request to request.
func (r *Router) jitteredRetryAfter(id string) Time {
	longest := r.cfg.Settings.MaxRetryAfter
	step := Time(frontend.KeyHash([]byte(id)) % retryAfterSteps)
	return longest/2 + step*(longest-longest/2)/retryAfterSteps
}

// checkRetryStorm has the detector evaluate what happened since the last check, once in retrystorm.Step, and hands the
// module the bounds where they have changed.
func (r *Router) checkRetryStorm() {
	monitor := r.retryStorm
	for accepted := r.frontend.Accepted(); monitor.seenConnections < accepted; monitor.seenConnections++ {
		monitor.detector.Connected()
	}
	if change, changed := monitor.detector.Tick(r.m.Now()); changed {
		r.logger.LogAttrs(context.Background(), change.Level(), retrystorm.ChangeMessage, change.Attrs()...)
	}
	if bounds := monitor.detector.Bounds(); bounds != monitor.bounds {
		r.applyRetryStormBounds(bounds)
	}
	r.retryStormTimer = r.m.At(r.m.Now()+retrystorm.Step, r.checkRetryStorm)
}

// applyRetryStormBounds puts new bounds into effect at the pool and the module.
func (r *Router) applyRetryStormBounds(bounds retrystorm.Bounds) {
	r.retryStorm.bounds = bounds
	r.pool.LimitReconnects(bounds.Outage && r.cfg.RetryStorm.LimitReconnects)
	r.queueEvent(&decide.RetryStorm{
		Active:              bounds.Active,
		Outage:              bounds.Outage,
		RetryBudgetFraction: bounds.RetryBudgetFraction,
		RetryAfterJitter:    bounds.RetryAfterJitter,
	})
	r.ProcessEvents()
}
