package router

import (
	"context"

	"starlingwinch/decide"
	"starlingwinch/internal/frontend"
	"starlingwinch/internal/retrystorm"
)

// stormWatch is the router's watch of storms: it tells package storm what happens, and the decision module what
// package storm makes of it.
type stormWatch struct {
	storm *retrystorm.Detector
	kinds map[string]kind
	told  retrystorm.Bounds // to the module
	conns int               // of clients, at the last tick
}

// kind is what the watch has to know of a class.
type kind struct {
	hash     uint64
	patience Time
}

// newStormWatch is nil where operators have switched it off.
func newStormWatch(cfg *Config) *stormWatch {
	if !cfg.RetryStorm.Enabled {
		return nil
	}
	w := &stormWatch{storm: retrystorm.New(cfg.RetryStorm), kinds: map[string]kind{}, told: retrystorm.Bounds{RetryBudgetFraction: 1}}
	for _, c := range cfg.Settings.Classes {
		w.kinds[c.Name] = kind{frontend.KeyHash([]byte(c.Name)), c.ClientTimeout}
	}
	return w
}

// ask is a command as the watch sees it.
func (w *stormWatch) ask(s *frontend.ReplySlot, cmd *frontend.Command) retrystorm.Request {
	k := w.kinds[cmd.Class]
	return retrystorm.Request{Client: s.Client(), Key: cmd.KeyHash ^ k.hash, ClientTimeout: k.patience, MarkedRetry: cmd.Retry, FirstOnConnection: s.FirstOnConnection}
}

// spreadWait is a time to stay away that differs from one request to the next.
func (r *Router) spreadWait(id string) Time {
	most := r.cfg.Settings.MaxRetryAfter
	return most/2 + Time(frontend.KeyHash([]byte(id))%1024)*(most-most/2)/1024
}

// unserved tells the watch of a request that ends without a value.
func (r *Router) unserved(q *request) {
	switch {
	case r.storm == nil || q.over:
	case q.lost || q.slot.ConnectionBroken():
		r.storm.storm.ConnectionLost(r.m.Now(), q.ask, q.read)
	default:
		r.storm.storm.Unserved(r.m.Now(), q.ask, q.told, q.read)
	}
}

// met tells the watch how an attempt went.
func (r *Router) met(result decide.Result) {
	if r.storm == nil {
		return
	}
	switch result {
	case decide.Served, decide.Errored, decide.Rejected:
		r.storm.storm.AttemptEnded(true)
	case decide.ConnectFailed:
		r.storm.storm.AttemptEnded(false)
	}
}

// tick has the watch look at what has happened, and tells the module where bounds change.
func (r *Router) tick() {
	w := r.storm
	for conns := r.front.Accepted(); w.conns < conns; w.conns++ {
		w.storm.Connected()
	}
	if change, changed := w.storm.Tick(r.m.Now()); changed {
		r.logger.LogAttrs(context.Background(), change.Level(), retrystorm.ChangeMessage, change.Attrs()...)
	}
	if b := w.storm.Bounds(); b != w.told {
		w.told = b
		r.pool.LimitReconnects(b.Outage && r.cfg.RetryStorm.LimitReconnects)
		r.backlog = append(r.backlog, &decide.RetryStorm{Active: b.Active, Outage: b.Outage, RetryBudgetFraction: b.RetryBudgetFraction, RetryAfterJitter: b.RetryAfterJitter})
		r.ProcessEvents()
	}
	r.ticking = r.m.At(r.m.Now()+retrystorm.Step, r.tick)
}
