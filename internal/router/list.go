package router

import (
	"errors"
	"fmt"
	"reflect"

	"starlingwinch/decide"
	"starlingwinch/internal/discovery"
	"starlingwinch/internal/membership"
)

// platform is the name of the platform's discovery among the sources of the list.
const platform = "discovery"

const (
	listPiece  = 500 // entries that the loop takes over in one turn
	mostFaults = 20  // bad entries of one list that are named in the log
)

// hear gives a source's word to the module that merges them, and does what it says.
func (r *Router) hear(ev membership.Event) {
	for _, a := range r.members.Handle(r.m.Now(), ev) {
		switch a := a.(type) {
		case membership.Publish:
			r.publish(a)
		case membership.Confirm:
			r.confirm(a.Source)
		case membership.Wake:
			if r.waking != nil {
				r.waking.Stop()
			}
			r.waking = r.m.At(a.At, func() {
				r.waking = nil
				r.hear(&membership.Tick{})
				r.Settle()
			})
		case membership.Log:
			r.Log("list of caches: " + a.Text)
		}
	}
}

// confirm asks a source for its whole list once more. The platform has one server, and its word needs
// no confirmation: it is never checked.
func (r *Router) confirm(string) {}

// claims are what the platform's list says.
func claims(list *discovery.List) []membership.Claim {
	c := make([]membership.Claim, len(list.Entries))
	for i, e := range list.Entries {
		c[i] = membership.Claim{Entry: e, Addr: list.Addrs[i], Reason: conditionWords[e.Condition]}
	}
	return c
}

var conditionWords = map[decide.Condition]string{decide.Up: "in_service", decide.Draining: "terminating",
	decide.Removed: "terminated"}

// publish takes over what has changed in the merged list, bad news first. The danger: a large list
// holds up every request; it is taken in pieces, with other work between.
func (r *Router) publish(p membership.Publish) {
	r.lists = append(r.lists, p)
	if len(r.lists) == 1 {
		r.takePiece()
	}
}

// takePiece takes over the next piece of the oldest list.
func (r *Router) takePiece() {
	next := &r.lists[0]
	piece := *next
	if len(next.Entries) > listPiece {
		piece.Entries, piece.Addrs = next.Entries[:listPiece:listPiece], next.Addrs[:listPiece:listPiece]
		next.Entries, next.Addrs = next.Entries[listPiece:], next.Addrs[listPiece:]
		next.Kind = decide.ListChanges
	} else {
		r.lists = r.lists[1:]
	}
	if len(r.lists) > 0 {
		r.m.Post(func() {
			r.takePiece()
			r.Settle()
		})
	} else {
		r.lists = nil
	}
	r.take(piece)
}

// take hands a list, or a piece of one, to the module and to the upstream side.
func (r *Router) take(p membership.Publish) {
	told := make([]Time, len(p.Entries))
	for i := range p.Entries {
		told[i] = p.Entries[i].Start
		r.date(&p.Entries[i])
	}
	// The danger: what ends with a drain is told before the drain, and is sent there again.
	r.backlog = append(r.backlog, &decide.List{Kind: p.Kind, Entries: p.Entries})
	served := r.Serving()
	for i, e := range p.Entries {
		h := r.caches[e.ID]
		if e.Condition == decide.Removed {
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
		if p.Addrs[i] != "" {
			h.addr = p.Addrs[i] // bad news needs none
		}
		if told[i] != h.told {
			r.pool.Renewed(e.ID)
		}
		h.entry, h.told = e, told[i]
		r.pool.Update(e.ID, h.addr, e.Condition == decide.Up, false)
	}
	if served && !r.Serving() {
		r.Log("list of caches: none is left that takes work")
	}
}

// date puts the start of a cache, which the list gives by the system's clock, on the loop's clock.
// It is done once for each start that is told. The danger: the clock steps, and caches that are cold
// pass for warm ones, or warm ones for cold ones.
func (r *Router) date(e *decide.Entry) {
	told := e.Start
	if told <= 0 {
		return
	}
	if h := r.caches[e.ID]; h != nil && h.told == told {
		e.Start = h.entry.Start
		return
	}
	age := max(0, r.m.Wall()-told) // nothing has started in the future
	e.Start = max(1, r.m.Now()-age)
}

// watch follows discovery, unless it is followed already.
func (r *Router) watch() {
	if r.watching != nil || r.closed {
		return
	}
	r.watching = discovery.Follow(r.m, r.cfg.Discovery, r.cfg.Bounds.Discovery, r.index, r.listed, r.lost)
}

// listed takes an answer of discovery.
func (r *Router) listed(list discovery.List) {
	r.index = list.Index
	for i, fault := range list.Faults {
		if i == mostFaults {
			r.Log(fmt.Sprintf("list of caches: %d more faults", len(list.Faults)-i))
			break
		}
		r.Log("list of caches: " + fault)
	}
	r.hear(&membership.Heard{Source: platform, Full: list.Full, Claims: claims(&list), Unread: list.Unread})
	// Also where nothing has changed: the module hears that discovery answers.
	r.backlog = append(r.backlog, &decide.List{Kind: decide.ListChanges})
	r.Settle()
}

// lost takes the news that a call has failed. The module says when to ask again.
func (r *Router) lost(err error) {
	r.watching = nil
	if !errors.Is(err, discovery.ErrCrowded) {
		// The danger: a discovery that has started anew counts its versions anew, and has
		// nothing to say for long of what comes after the old ones.
		r.index = discovery.NoIndex
	}
	r.hear(&membership.Lost{Source: platform, Why: err.Error()})
	r.backlog = append(r.backlog, &decide.List{Kind: decide.ListFailed})
	r.Settle()
}

// Reload takes over a new configuration: where discovery is. The new one is asked for its whole
// list at once, as its versions need not go on from those of the old one.
func (r *Router) Reload(cfg *Config) {
	if cfg.Listen != r.cfg.Listen || cfg.Limits != r.cfg.Limits || !reflect.DeepEqual(cfg.Settings, r.cfg.Settings) ||
		cfg.Transport != r.cfg.Transport || cfg.Bounds != r.cfg.Bounds {
		r.Log("SIGHUP: new addresses for clients, limits and settings wait for a restart")
	}
	if cfg.Discovery == r.cfg.Discovery {
		r.Log("SIGHUP: discovery stays at " + cfg.Discovery)
		return
	}
	r.Log("SIGHUP: discovery moves to " + cfg.Discovery)
	r.cfg.Discovery = cfg.Discovery
	if r.watching != nil {
		// What the old one has yet to say is not heard: a late answer must not overwrite what the new one has told.
		r.watching.Stop()
		r.watching = nil
	}
	r.index = discovery.NoIndex
	r.watch()
}
