package router

import (
	"errors"
	"fmt"
	"reflect"
	"slices"

	"starlingwinch/decide"
	"starlingwinch/internal/discovery"
)

const (
	listPiece   = 500 // entries that the loop takes over in one turn
	mostChanges = 20  // caches that are named in the log one by one for one list
)

// newList is a list of caches that is still to be learned.
type newList struct {
	discovery.List
	kind decide.ListKind
	gone []string // caches that a whole list leaves out
}

// learn takes over a list of caches, for the module and for sending alike. The danger: a large one
// holds up every request; it is taken in pieces, with other work between, and bad news first.
func (r *Router) learn(list discovery.List, kind decide.ListKind) {
	r.index = list.Index
	for i, fault := range list.Faults {
		if i == mostChanges {
			r.Log(fmt.Sprintf("list of caches: %d more faults", len(list.Faults)-i))
			break
		}
		r.Log("list of caches: " + fault)
	}
	r.lists = append(r.lists, newList{List: list, kind: kind})
	if len(r.lists) == 1 {
		r.learnPiece()
	}
}

// learnPiece takes over the next piece of the oldest list.
func (r *Router) learnPiece() {
	next := &r.lists[0]
	if next.Full {
		next.complete(r)
	}
	piece := *next
	if len(next.Entries) > listPiece {
		piece.Entries, piece.Addrs = next.Entries[:listPiece:listPiece], next.Addrs[:listPiece:listPiece]
		next.Entries, next.Addrs = next.Entries[listPiece:], next.Addrs[listPiece:]
		if piece.kind == decide.ListFull {
			piece.kind = decide.ListChanges // what a whole list leaves out stands among the entries by now
		}
		next.kind = decide.ListChanges
	} else {
		r.lists = r.lists[1:]
	}
	if len(r.lists) > 0 {
		r.m.Post(r.learnPiece)
	} else {
		r.lists = nil
	}
	r.take(piece)
	r.Settle()
}

// complete puts in what a whole list does not say in so many words: caches that it leaves out are
// gone, and those whose entry could not be read stay as they are. Bad news comes first.
func (n *newList) complete(r *Router) {
	n.Full = false
	named := make(map[string]bool, len(n.Entries))
	for _, e := range n.Entries {
		named[e.ID] = true
	}
	for _, name := range n.Unread {
		if h := r.caches[name]; h != nil && !named[name] {
			named[name] = true
			e := h.entry
			e.Start = h.told // it is dated when it is taken
			n.Entries, n.Addrs = append(n.Entries, e), append(n.Addrs, h.addr)
		}
	}
	var left []string
	for name := range r.caches { // any order: sorted below
		if !named[name] {
			left = append(left, name)
		}
	}
	slices.Sort(left)
	if len(n.Entries) <= listPiece {
		n.gone = left
		return // the module finds out what is left out by itself
	}
	n.Full = false
	var entries []decide.Entry
	var addrs []string
	for _, name := range left {
		entries, addrs = append(entries, decide.Entry{ID: name, Condition: decide.Removed}), append(addrs, "")
	}
	for _, up := range []bool{false, true} {
		for i, e := range n.Entries {
			if (e.Condition == decide.Up) == up {
				entries, addrs = append(entries, e), append(addrs, n.Addrs[i])
			}
		}
	}
	n.Entries, n.Addrs = entries, addrs
}

// take hands a list, or a piece of one, to the module and to the upstream side.
func (r *Router) take(n newList) {
	told := make([]Time, len(n.Entries))
	for i := range n.Entries {
		told[i] = n.Entries[i].Start
		r.date(&n.Entries[i])
	}
	// The danger: what ends with a drain is told before the drain, and is sent there again.
	r.backlog = append(r.backlog, &decide.List{Kind: n.kind, Entries: n.Entries})
	var news changes
	for i, e := range n.Entries {
		h := r.caches[e.ID]
		news.note(h, e)
		if e.Condition == decide.Removed {
			r.remove(e.ID)
			continue
		}
		if h == nil {
			h = &hop{}
			r.caches[e.ID] = h
		}
		if n.Addrs[i] != "" {
			h.addr = n.Addrs[i] // bad news needs none
		}
		if told[i] != h.told {
			r.pool.Renewed(e.ID)
		}
		h.entry, h.told = e, told[i]
		r.pool.Update(e.ID, h.addr, e.Condition == decide.Up, false)
	}
	for _, name := range n.gone {
		news.note(r.caches[name], decide.Entry{ID: name, Condition: decide.Removed})
		r.remove(name)
	}
	news.log(r)
}

func (r *Router) remove(name string) {
	if h := r.caches[name]; h != nil {
		delete(r.caches, name)
		r.pool.Update(name, h.addr, false, true)
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

// changes are what a list has told of caches that is worth a line in the log.
type changes struct {
	lines              []string
	joined, left, down int
}

// note compares what is known of a cache, if anything is, with what the list says now.
func (c *changes) note(h *hop, e decide.Entry) {
	line := ""
	switch {
	case h == nil && e.Condition == decide.Removed || h != nil && h.entry.Condition == e.Condition:
		return
	case e.Condition == decide.Removed:
		line = "has gone from the list"
		c.left++
	case e.Condition == decide.Draining:
		line = "drains"
		c.down++
	default:
		line = "takes work"
		c.joined++
	}
	if len(c.lines) < mostChanges {
		c.lines = append(c.lines, e.ID+" "+line)
	}
}

func (c *changes) log(r *Router) {
	for _, line := range c.lines {
		r.Log("list of caches: " + line)
	}
	if c.joined+c.left+c.down > mostChanges {
		r.Log(fmt.Sprintf("list of caches: in all %d take work, %d drain, %d have gone", c.joined, c.down, c.left))
	}
	if c.left+c.down > 0 && !r.Serving() {
		r.Log("list of caches: none is left that takes work")
	}
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
	r.learn(list, list.Kind())
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
	r.Log("discovery: " + err.Error())
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
