package router

import (
	"context"
	"errors"
	"fmt"
	"reflect"

	"starlingwinch/decide"
)

const (
	listPiece   = 500 // entries that the loop takes over in one turn
	mostChanges = 20  // caches that are named in the log one by one for one list
)

// newList is a list of caches that is still to be learned.
type newList struct {
	hostList
	kind decide.ListKind
}

// learn takes over a list of caches, for the module and for sending alike. The danger: a large one
// holds up every request; it is taken in pieces, with other work between, and bad news first.
func (l *loop) learn(h hostList, kind decide.ListKind) {
	l.index = h.index
	for i, fault := range h.faults {
		if i == mostChanges {
			l.log(fmt.Sprintf("list of caches: %d more faults", len(h.faults)-i))
			break
		}
		l.log("list of caches: " + fault)
	}
	l.lists = append(l.lists, newList{h, kind})
	if len(l.lists) == 1 {
		l.learnPiece()
	}
}

// learnPiece takes over the next piece of the oldest list.
func (l *loop) learnPiece() {
	next := &l.lists[0]
	if next.full {
		next.complete(l)
	}
	h := next.hostList
	kind := next.kind
	if len(h.entries) > listPiece {
		next.entries, next.addrs = h.entries[listPiece:], h.addrs[listPiece:]
		h.entries, h.addrs = h.entries[:listPiece:listPiece], h.addrs[:listPiece:listPiece]
		if kind == decide.ListFull {
			kind = decide.ListChanges // what a whole list leaves out stands among the entries by now
		}
		next.kind = decide.ListChanges
		l.after(1, l.learnPiece)
	} else {
		l.lists = l.lists[1:]
		if len(l.lists) > 0 {
			l.after(1, l.learnPiece)
		} else {
			l.lists = nil
		}
	}
	l.take(h, kind)
}

// complete puts in what a whole list does not say in so many words: caches that it leaves out are
// gone, and those whose entry could not be read stay as they are. Bad news comes first.
func (n *newList) complete(l *loop) {
	n.full = false
	named := make(map[string]bool, len(n.entries))
	for _, e := range n.entries {
		named[e.ID] = true
	}
	for _, name := range n.unread {
		if u := l.upstreams[name]; u != nil && !named[name] && !u.gone {
			named[name] = true
			n.entries, n.addrs = append(n.entries, u.entry), append(n.addrs, u.addr)
		}
	}
	if len(n.entries) <= listPiece && n.kind != decide.ListStale {
		n.gone = l.unnamed(named)
		return // the module finds out what is left out by itself
	}
	var bad, good []int
	for i, e := range n.entries {
		if e.Condition == decide.Up {
			good = append(good, i)
		} else {
			bad = append(bad, i)
		}
	}
	var entries []decide.Entry
	var addrs []string
	for _, name := range l.unnamed(named) {
		entries, addrs = append(entries, decide.Entry{ID: name, Condition: decide.Removed}), append(addrs, "")
	}
	for _, i := range append(bad, good...) {
		entries, addrs = append(entries, n.entries[i]), append(addrs, n.addrs[i])
	}
	n.entries, n.addrs = entries, addrs
}

// unnamed are the caches that are known and not named, in order.
func (l *loop) unnamed(named map[string]bool) (names []string) {
	for _, u := range l.fleet() {
		if !named[u.name] && !u.gone {
			names = append(names, u.name)
		}
	}
	return names
}

// take hands a list, or a piece of one, to the module and to the upstream side.
func (l *loop) take(h hostList, kind decide.ListKind) {
	told := make([]decide.Time, len(h.entries))
	for i := range h.entries {
		told[i] = h.entries[i].Start
		l.date(&h.entries[i])
	}
	// The danger: what ends with a drain is told before the drain, and is sent there again.
	l.backlog = append(l.backlog, &decide.List{Kind: kind, Entries: h.entries})
	var news changes
	for i, e := range h.entries {
		u := l.upstreams[e.ID]
		if u == nil {
			if e.Condition == decide.Removed {
				continue // never heard of
			}
			u = newUpstream(l, e.ID)
			l.upstreams[e.ID] = u
		}
		addr := h.addrs[i]
		if addr == "" {
			addr = u.addr // bad news needs none
		}
		news.note(u, e)
		if told[i] != u.told {
			u.recovered() // its process is a new one
		}
		u.entry, u.told = e, told[i]
		u.update(addr, e.Condition == decide.Up, e.Condition == decide.Removed)
	}
	for _, name := range h.gone {
		u := l.upstreams[name]
		news.note(u, decide.Entry{ID: name, Condition: decide.Removed})
		u.update(u.addr, false, true)
	}
	l.serving.Store(l.ready())
	news.log(l)
}

// date puts the start of a cache, which the list gives by the system's clock, on the loop's clock.
// It is done once for each start that is told. The danger: the clock steps, and caches that are cold pass for
// warm ones, or warm ones for cold ones.
func (l *loop) date(e *decide.Entry) {
	told := e.Start
	if told <= 0 {
		return
	}
	if u := l.upstreams[e.ID]; u != nil && u.told == told {
		e.Start = u.entry.Start
		return
	}
	age := max(0, l.wall()-told) // nothing has started in the future
	e.Start = max(1, l.now-age)
}

// changes are what a list has told of caches that is worth a line in the log.
type changes struct {
	lines              []string
	joined, left, down int
}

func (c *changes) note(u *upstream, e decide.Entry) {
	line := ""
	switch {
	case e.Condition == decide.Removed && !u.gone:
		line = "has gone from the list"
		c.left++
	case e.Condition == decide.Draining && (u.up || !u.listed):
		line = "drains"
		c.down++
	case e.Condition == decide.Up && !u.up:
		line = "takes work"
		c.joined++
	}
	if line != "" && len(c.lines) < mostChanges {
		c.lines = append(c.lines, u.name+" "+line)
	}
}

func (c *changes) log(l *loop) {
	for _, line := range c.lines {
		l.log("list of caches: " + line)
	}
	if c.joined+c.left+c.down > mostChanges {
		l.log(fmt.Sprintf("list of caches: in all %d take work, %d drain, %d have gone", c.joined, c.down, c.left))
	}
	if c.left+c.down > 0 && !l.ready() {
		l.log("list of caches: none is left that takes work")
	}
}

func (l *loop) watch() {
	if l.endWatch != nil {
		return
	}
	ctx, end := context.WithCancel(l.ctx)
	l.endWatch = end
	d, after := l.discovery, l.index
	// What a watch says once it has been ended is not heard: a late answer of the old discovery
	// must not overwrite what the new one has told.
	say := func(f func()) {
		l.post(func() {
			if ctx.Err() == nil {
				f()
			}
		})
	}
	go func() {
		err := d.watch(ctx, after, func(h hostList) { say(func() { l.learn(h, h.kind()) }) })
		say(func() {
			end()
			l.endWatch = nil
			if !errors.Is(err, errCrowded) {
				// The danger: a discovery that has started anew counts its versions anew, and has
				// nothing to say for long of what comes after the old ones.
				l.index = noIndex
			}
			l.log("discovery: " + err.Error())
			l.backlog = append(l.backlog, &decide.List{Kind: decide.ListFailed})
		})
		d.client.CloseIdleConnections()
	}()
}

// reload takes over a new configuration: where discovery is. The new one is asked for its whole
// list at once, as its versions need not go on from those of the old one.
func (l *loop) reload(cfg *Config) {
	if cfg.Listen != l.cfg.Listen || cfg.Limits != l.cfg.Limits || !reflect.DeepEqual(cfg.Settings, l.cfg.Settings) ||
		cfg.Transport != l.cfg.Transport || cfg.Bounds != l.cfg.Bounds {
		l.log("SIGHUP: new addresses for clients, limits and settings wait for a restart")
	}
	if cfg.Discovery == l.cfg.Discovery {
		l.log("SIGHUP: discovery stays at " + cfg.Discovery)
		return
	}
	l.log("SIGHUP: discovery moves to " + cfg.Discovery)
	l.cfg.Discovery = cfg.Discovery
	if l.endWatch != nil {
		l.endWatch()
		l.endWatch = nil
	}
	l.discovery, l.index = newDiscovery(cfg.Discovery, l.cfg.Bounds.Discovery), noIndex
	l.watch()
}
