package router

import (
	"fmt"
	"reflect"
	"slices"

	"starlingwinch/decide"
	"starlingwinch/internal/endpoints"
)

const listPiece = 500 // entries that the loop takes over in one turn

// Publish takes over what has changed in the merged list, bad news first. The danger: a large list
// holds up every request; it is taken in pieces, with other work between.
func (r *Router) Publish(p endpoints.Publish) {
	if r.narrowed != nil {
		p = r.narrowed.part(p, r.Log)
	}
	r.lists = append(r.lists, p)
	if len(r.lists) == 1 {
		r.takePiece()
	}
}

// takePiece takes over the next piece of the oldest list.
func (r *Router) takePiece() {
	next := &r.lists[0]
	piece := *next
	if len(next.Endpoints) > listPiece {
		piece.Endpoints, piece.Addresses = next.Endpoints[:listPiece:listPiece], next.Addresses[:listPiece:listPiece]
		next.Endpoints, next.Addresses = next.Endpoints[listPiece:], next.Addresses[listPiece:]
		next.Kind = decide.DeltaUpdate
	} else {
		r.lists = r.lists[1:]
	}
	if len(r.lists) > 0 {
		r.m.Post(func() {
			r.takePiece()
			r.ProcessEvents()
		})
	} else {
		r.lists = nil
	}
	r.take(piece)
}

// take hands a list, or a piece of one, to the module and to the upstream side.
func (r *Router) take(p endpoints.Publish) {
	told := make([]Time, len(p.Endpoints))
	for i := range p.Endpoints {
		told[i] = p.Endpoints[i].StartedAt
		r.date(&p.Endpoints[i])
	}
	// The danger: what ends with a drain is told before the drain, and is sent there again.
	r.backlog = append(r.backlog, &decide.EndpointList{Kind: p.Kind, Endpoints: p.Endpoints})
	served := r.takesWork()
	for i, e := range p.Endpoints {
		h := r.caches[e.ID]
		if e.Status == decide.Removed {
			if h != nil {
				delete(r.caches, e.ID)
				r.pool.Update(e.ID, h.addr, false, true)
			}
			continue
		}
		if h == nil {
			h = &hop{}
			r.caches[e.ID] = h
		}
		if p.Addresses[i] != "" {
			h.addr = p.Addresses[i] // bad news needs none
		}
		if told[i] != h.told {
			r.pool.CacheRestarted(e.ID)
		}
		h.entry, h.told = e, told[i]
		r.pool.Update(e.ID, h.addr, e.Status == decide.Serving, false)
	}
	r.showList()
	if served && !r.takesWork() {
		r.Log("list of caches: none is left that takes work")
	}
}

// date puts the start of a cache, which the list gives by the system's clock, on the loop's clock.
// It is done once for each start that is told. The danger: the clock steps, and caches that are cold
// pass for warm ones, or warm ones for cold ones.
func (r *Router) date(e *decide.Endpoint) {
	told := e.StartedAt
	if told <= 0 {
		return
	}
	if h := r.caches[e.ID]; h != nil && h.told == told {
		e.StartedAt = h.entry.StartedAt
		return
	}
	e.StartedAt = max(1, r.m.Now()-r.age(told))
}

// age is how long ago something started, which the list tells by the clock of its machine.
//
// Two clocks of this machine may agree with that one: the system's as it is now, and as it was when this process began. Either
// may be wrong by a step. The less of the two ages counts, so that no cold cache passes for a warm one, unless it is
// below 0: nothing has started in the future.
func (r *Router) age(start Time) Time {
	now, then := r.m.Wall()-start, r.m.Now()-start
	least, most := min(now, then), max(now, then)
	if least >= 0 {
		return least
	}
	return max(0, most)
}

// DiscoveryAnswered implements sources.Owner: also where nothing has changed, the module hears that discovery answers.
func (r *Router) DiscoveryAnswered() {
	r.backlog = append(r.backlog, &decide.EndpointList{Kind: decide.DeltaUpdate})
	r.catchUp()
}

// DiscoveryFailed implements sources.Owner: the module says when to ask again.
func (r *Router) DiscoveryFailed() {
	r.backlog = append(r.backlog, &decide.EndpointList{Kind: decide.FailedUpdate})
}

// Reload takes over a new configuration: where discovery is, the file with the fixed list, and where the state is kept.
func (r *Router) Reload(cfg *Config) {
	if r.closed || r.onDrained != nil {
		// The danger: what was closed for the end is opened again. The router ends before a new discovery counts.
		r.Log("SIGHUP: the router is about to end; nothing is read anew")
		return
	}
	if r.front == nil { // nothing that the files set has been begun but the list
		r.cfg.Listen, r.cfg.SnapshotStore, r.cfg.Hooks = cfg.Listen, cfg.SnapshotStore, cfg.Hooks
	}
	if cfg.Listen != r.cfg.Listen || cfg.Limits != r.cfg.Limits || !reflect.DeepEqual(cfg.Settings, r.cfg.Settings) ||
		cfg.Transport != r.cfg.Transport || cfg.OperatorLimits != r.cfg.OperatorLimits || cfg.RetryStorm != r.cfg.RetryStorm || !reflect.DeepEqual(cfg.Gossip, r.cfg.Gossip) ||
		!reflect.DeepEqual(cfg.Endpoints, r.cfg.Endpoints) || !reflect.DeepEqual(cfg.Eureka, r.cfg.Eureka) {
		r.Log("SIGHUP: new addresses for clients, limits, settings and operators' files wait for a restart")
	}
	if r.front != nil {
		r.reloadHooks(cfg.Hooks)
		r.rekeep(cfg.SnapshotStore)
	}
	r.sources.ReloadFile()
	if r.fleet != nil && !slices.Equal(cfg.PeerAddrs, r.cfg.PeerAddrs) {
		r.cfg.PeerAddrs = cfg.PeerAddrs
		r.Log(fmt.Sprintf("SIGHUP: %d other routers are configured", len(r.cfg.others())))
		r.fleet.link.Peers(r.cfg.others())
	}
	if cfg.Discovery == r.cfg.Discovery {
		r.Log("SIGHUP: discovery stays at " + cfg.Discovery)
		return
	}
	r.Log("SIGHUP: discovery moves to " + cfg.Discovery)
	r.cfg.Discovery = cfg.Discovery
	r.sources.SetDiscovery(cfg.Discovery)
}
