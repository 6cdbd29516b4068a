package router

import (
	"starlingwinch/decide"
	"starlingwinch/internal/frontend"
	"starlingwinch/internal/retrystorm"
)

// stormWatch is the router's watch of storms: it tells package storm what happens, and the decision module what
// package storm makes of it.
type stormWatch struct {
	storm *retrystorm.Storm
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
	if !cfg.Storm.Enabled {
		return nil
	}
	w := &stormWatch{storm: retrystorm.New(cfg.Storm), kinds: map[string]kind{}, told: retrystorm.Bounds{Retries: 1}}
	for _, c := range cfg.Settings.Classes {
		w.kinds[c.Name] = kind{frontend.KeyHash([]byte(c.Name)), c.ClientTimeout}
	}
	return w
}

// ask is a command as the watch sees it.
func (w *stormWatch) ask(s *frontend.Slot, cmd *frontend.Command) retrystorm.Ask {
	k := w.kinds[cmd.Class]
	return retrystorm.Ask{Client: s.Client(), Key: cmd.Hash ^ k.hash, Patience: k.patience, Marked: cmd.Retry, Fresh: s.Fresh}
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
	case q.lost || q.slot.Broken():
		r.storm.storm.Lost(r.m.Now(), q.ask, q.read)
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
		r.storm.storm.Attempt(true)
	case decide.ConnectFailed:
		r.storm.storm.Attempt(false)
	}
}

// tick has the watch look at what has happened, and tells the module where bounds change.
func (r *Router) tick() {
	w := r.storm
	for conns := r.front.Accepted(); w.conns < conns; w.conns++ {
		w.storm.Connected()
	}
	if line := w.storm.Tick(r.m.Now()); line != "" {
		r.Log(line)
	}
	if b := w.storm.Bounds(); b != w.told {
		w.told = b
		r.pool.Gentle(b.Away && r.cfg.Storm.GentleDials)
		r.backlog = append(r.backlog, &decide.RetryStorm{Active: b.On, Outage: b.Away, RetryBudgetFraction: b.Retries, RetryAfterJitter: b.Wait})
		r.Settle()
	}
	r.ticking = r.m.At(r.m.Now()+retrystorm.Step, r.tick)
}
