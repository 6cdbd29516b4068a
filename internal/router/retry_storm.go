package router

import (
	"context"

	"starlingwinch/decide"
	"starlingwinch/internal/frontend"
	"starlingwinch/internal/retrystorm"
)

// retryAfterSteps is the number of distinct times that jitteredRetryAfter returns.
const retryAfterSteps = 1024

// retryStormMonitor holds the retry storm detector and the bounds that the detector has set.
type retryStormMonitor struct {
	detector        *retrystorm.Detector
	classes         map[string]stormClass // by name; set at the start
	bounds          retrystorm.Bounds     // last sent to the module; they change with the detector's state
	seenConnections int                   // client connections accepted up to the last check
}

// stormClass holds the properties of a class that the detector needs.
type stormClass struct {
	nameHash      uint64
	clientTimeout Time
}

// newRetryStormMonitor returns a monitor, or nil if operators have disabled the detector.
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

// describe returns the detector's description of a request.
func (m *retryStormMonitor) describe(slot *frontend.ReplySlot) retrystorm.Request {
	command := slot.Command
	class := m.classes[command.Class]
	return retrystorm.Request{
		Client:            slot.ClientAddressHash(),
		Key:               command.KeyHash ^ class.nameHash,
		ClientTimeout:     class.clientTimeout,
		MarkedRetry:       command.Retry,
		FirstOnConnection: slot.FirstOnConnection,
	}
}

// recordRequest records a received request, and returns the detector's description and verdict. It records a request over its
// client's fair share as unserved, because the caller rejects such a request.
func (r *Router) recordRequest(slot *frontend.ReplySlot, readAt Time) (retrystorm.Request, retrystorm.Verdict) {
	if r.retryStorm == nil {
		return retrystorm.Request{}, retrystorm.Verdict{}
	}
	request := r.retryStorm.describe(slot)
	verdict := r.retryStorm.detector.RecordRequest(readAt, request)
	if verdict.OverFairShare {
		r.retryStorm.detector.RecordUnserved(readAt, request, verdict, readAt)
	}
	return request, verdict
}

// recordUnserved records a request that ends without a value.
func (r *Router) recordUnserved(q *request) {
	if r.retryStorm == nil {
		return
	}
	if q.connectionLost || q.slot.ConnectionBroken() {
		r.retryStorm.detector.ConnectionLost(r.m.Now(), q.stormRequest, q.readAt)
		return
	}
	r.retryStorm.detector.RecordUnserved(r.m.Now(), q.stormRequest, q.stormVerdict, q.readAt)
}

// recordAttempt records whether an attempt reached its cache, if the result shows that.
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

// jitteredRetryAfter returns a retry-after time between half of MaxRetryAfter and MaxRetryAfter, derived from the request's id so
// that it differs between requests.
func (r *Router) jitteredRetryAfter(id string) Time {
	longest := r.cfg.Settings.MaxRetryAfter
	step := Time(frontend.KeyHash([]byte(id)) % retryAfterSteps)
	return longest/2 + step*(longest-longest/2)/retryAfterSteps
}

// checkRetryStorm runs once per retrystorm.Step. The detector evaluates the records since the last check, and changed bounds take
// effect.
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

// applyRetryStormBounds sends new bounds to the pool and the module.
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
