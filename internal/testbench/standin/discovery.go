package standin

import (
	"cmp"
	"encoding/json"
	"slices"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/rules"
)

// Statuses of a cache in the endpoint list.
const (
	InService   = "in_service"
	Terminating = "terminating"
	Terminated  = "terminated" // in deltas only
)

// Entry is an entry of the endpoint list.
type Entry struct {
	Name      string            // the cache's name
	Address   string            // address for routers that are not in Addresses
	Addresses map[string]string // addresses for particular routers, by router
	Zone      string
	Type      string  // type of the cache's machine
	Group     int     // its cell
	Status    string  // InService, Terminating or Terminated; empty stands for InService
	Weight    float64 // capacity relative to the others
	Since     Time    // time of the last start; 0 for long ago
}

// DiscoveryOptions describe the service.
type DiscoveryOptions struct {
	Delay Time // from a change to its appearance in the list

	// The service processes calls one at a time. Each costs CallCost, and LineCost per entry of its answer. A
	// call whose answer would take longer than Timeout is rejected with 503 at once, which costs RejectCost; a Timeout of 0 disables this.
	CallCost   Time
	LineCost   Time
	Timeout    Time
	RejectCost Time

	Routers []string // names of the routers

	// PollInterval is the time without an open call after which a router counts as notified of a change. 0 disables this.
	PollInterval Time

	// NotifiedAfter is the time after which every router counts as notified of a change that the list had while reachable,
	// regardless of the outcome of the router's calls. 0 disables this. Reachable returns since when a router has been able to reach
	// the list, and whether it can now; nil stands for always.
	NotifiedAfter Time
	Reachable     func(router string) (since Time, now bool)

	// Pushed makes the service stand in for agents next to the routers, which get the list pushed. A router counts as
	// notified of a change when it appears in the list, and a new process counts as notified from its start; calls cost nothing. While
	// discovery is down the agents are silent and get no updates, and calls that arrive then are never answered.
	Pushed bool

	// RouterOf returns the name of the router at a remote address. It is used for listeners that were opened without a router's name.
	RouterOf func(remote string) string
}

// Discovery is the service that lists the caches.
type Discovery struct {
	m        machine.Machine
	options  DiscoveryOptions
	observer rules.Observer

	listeners     []*listListener
	openCalls     []*listCall // calls without an answer yet
	deferredCalls []*listCall // calls that arrived while the service was silent

	pendingChanges  []listChange                        // changes that are not in the list yet, in order of time
	timer           machine.Timer                       // publishes the next pending change
	entries         []*listEntry                        // sorted by name, including terminated caches
	version         int64                               // of the list
	minDeltaVersion int64                               // calls for changes since an older version get the whole list
	busyUntil       Time                                // when the work for all admitted calls is done
	notified        map[string]map[string]notifiedState // by router and cache
	callers         map[string]*caller                  // by router
	usage           DiscoveryUsage

	// Faults that scripts switch.
	extraDelay        Time     // added to the delay of changes
	silent            bool     // calls are accepted but not answered
	answersAtOnce     bool     // watches do not wait
	down              bool     // calls are rejected
	resetsConnections bool     // connections are closed while it is down
	badEntry          BadEntry // invalid entry in every answer; empty for none

	reachableSince Time          // when calls could be answered again
	notifyTimer    machine.Timer // of the next notifyAll; nil while there is nothing to notify
}

// listChange is a change that will appear in the list.
type listChange struct {
	at    Time // when the change was made; the list has it after the delay
	apply func(d *Discovery)
}

// listEntry is an entry with its last change.
type listEntry struct {
	Entry
	version   int64 // of the list, at its last change
	changedAt Time
}

// caller is the record of a router's calls.
type caller struct {
	lastCall   Time // when a call last arrived or ended
	answeredAt Time // when it was last answered with a list
	openCalls  int  // calls that have no answer yet
	// unansweredSince is when the first call since the last answered call ended without a list; 0 if none has.
	unansweredSince Time
	timer           machine.Timer // of the poll interval
}

// NewDiscovery returns a service with an empty list at version 1.
func NewDiscovery(m machine.Machine, o DiscoveryOptions, obs rules.Observer) *Discovery {
	d := &Discovery{m: m, options: o, observer: observerOrBlind(obs), version: 1, notified: map[string]map[string]notifiedState{},
		callers: map[string]*caller{}}
	for _, r := range o.Routers {
		d.callers[r] = &caller{lastCall: m.Now()}
	}
	return d
}

// Open listens at an address and returns the bound address. Calls that arrive there belong to the named router; for
// an empty name, DiscoveryOptions.RouterOf names it.
func (d *Discovery) Open(addr, router string) (string, error) {
	listener := &listListener{addr: addr, router: router}
	if err := d.listen(listener); err != nil {
		return "", err
	}
	d.listeners = append(d.listeners, listener)
	return listener.addr, nil
}

// Index returns the version of the list.
func (d *Discovery) Index() int64 { return d.version }

// Close closes the listeners and stops all timers.
func (d *Discovery) Close() {
	for _, listener := range d.listeners {
		listener.server.Close()
	}
	for _, t := range []machine.Timer{d.timer, d.notifyTimer} {
		if t != nil {
			t.Stop()
		}
	}
	for _, r := range d.options.Routers {
		if t := d.callers[r].timer; t != nil {
			t.Stop()
		}
	}
}

// Add adds a cache to the list.
func (d *Discovery) Add(e Entry) { d.change(func(d *Discovery) { d.setEntry(e) }) }

// SetStatus changes the status of a cache in the list.
func (d *Discovery) SetStatus(name, status string) {
	d.change(func(d *Discovery) {
		if l := d.entry(name); l != nil {
			e := l.Entry
			e.Status = status
			d.setEntry(e)
		}
	})
}

// Remove removes a cache from the list; deltas list it as terminated.
func (d *Discovery) Remove(name string) { d.SetStatus(name, Terminated) }

// Replace removes a cache and adds another one in the same change.
func (d *Discovery) Replace(name string, e Entry) {
	d.change(func(d *Discovery) {
		if l := d.entry(name); l != nil {
			old := l.Entry
			old.Status = Terminated
			d.setEntry(old)
		}
		d.setEntry(e)
	})
}

// change schedules f to be applied to the list after the delay.
func (d *Discovery) change(f func(*Discovery)) {
	d.pendingChanges = append(d.pendingChanges, listChange{d.m.Now(), f})
	d.publish()
}

// publish applies the due changes as one version, and sets the timer for the next change.
func (d *Discovery) publish() {
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	if d.options.Pushed && d.silent {
		return
	}
	now, lag := d.m.Now(), d.options.Delay+d.extraDelay
	due := 0
	for due < len(d.pendingChanges) && d.pendingChanges[due].at+lag <= now {
		due++
	}
	if due > 0 {
		d.version++
		for _, c := range d.pendingChanges[:due] {
			c.apply(d)
		}
		d.pendingChanges = d.pendingChanges[due:]
		d.answerWatches()
	}
	if len(d.pendingChanges) > 0 {
		d.timer = d.m.At(d.pendingChanges[0].at+lag, d.publish)
	}
}

// answerWatches answers the watches that wait for a change, and notifies the routers without an open call when that is due.
func (d *Discovery) answerWatches() {
	for _, call := range slices.Clone(d.openCalls) {
		if call.waiting && call.after != d.version {
			call.answer()
		}
	}
	d.scheduleNotifyAll()
	for _, r := range d.options.Routers {
		if d.options.Pushed {
			d.notifyPushed(r)
		} else {
			d.notifyOverdue(r)
		}
	}
}

// entry returns the entry of a cache, or nil.
func (d *Discovery) entry(name string) *listEntry {
	at, ok := slices.BinarySearchFunc(d.entries, name, func(l *listEntry, n string) int { return cmp.Compare(l.Name, n) })
	if !ok {
		return nil
	}
	return d.entries[at]
}

// maxEntries bounds the list including terminated caches, which are dropped when the list exceeds it.
const maxEntries = 4096

// setEntry adds or replaces an entry at the current version.
func (d *Discovery) setEntry(e Entry) {
	if e.Status == "" {
		e.Status = InService
	}
	at, ok := slices.BinarySearchFunc(d.entries, e.Name, func(l *listEntry, n string) int { return cmp.Compare(l.Name, n) })
	if ok {
		*d.entries[at] = listEntry{e, d.version, d.m.Now()}
		return
	}
	d.entries = slices.Insert(d.entries, at, &listEntry{e, d.version, d.m.Now()})
	if len(d.entries) > maxEntries {
		d.entries = slices.DeleteFunc(d.entries, func(l *listEntry) bool { return l.Status == Terminated })
		d.minDeltaVersion = d.version
	}
}

// encodeList returns the body of an answer: the changes since a version, or the whole list.
func (d *Discovery) encodeList(router string, after int64) (body []byte, whole bool) {
	whole = after < 0 || after < d.minDeltaVersion || after > d.version
	type endpoint struct {
		Name    string  `json:"name"`
		Address string  `json:"address"`
		Zone    string  `json:"zone"`
		Type    string  `json:"type"`
		Group   int     `json:"group"`
		Status  string  `json:"status"`
		Weight  float64 `json:"weight"`
		Since   int64   `json:"since_ms"`
	}
	out := struct {
		Index     int64 `json:"index"`
		Snapshot  bool  `json:"snapshot"`
		Endpoints []any `json:"endpoints"`
	}{d.version, whole, []any{}}
	for _, l := range d.entries {
		if whole && l.Status == Terminated || !whole && l.version <= after {
			continue
		}
		addr := l.Address
		if own := l.Addresses[router]; own != "" {
			addr = own
		}
		out.Endpoints = append(out.Endpoints, endpoint{l.Name, addr, l.Zone, l.Type, l.Group, l.Status, l.Weight,
			l.Since / Millisecond})
	}
	if d.badEntry != "" {
		out.Endpoints = append(out.Endpoints, badEntries[d.badEntry])
	}
	body, err := json.Marshal(out)
	if err != nil { // a weight that is not finite, which is an error of the caller
		panic(err)
	}
	if d.badEntry == BadJSON {
		body = body[:len(body)/2]
	}
	return body, whole
}

// Late adds an extra delay to all changes; 0 removes it and publishes the changes that are then due.
func (d *Discovery) Late(delay Time) {
	d.extraDelay = delay
	d.publish()
}

// Stale makes the list show the state of the caches from a time ago in the past. It is equivalent to Late.
func (d *Discovery) Stale(ago Time) { d.Late(ago) }

// Down starts or ends an outage, during which calls are answered with 503, or their connections closed if resets is set.
func (d *Discovery) Down(on, resets bool) {
	if d.options.Pushed {
		d.Silent(on)
		return
	}
	d.down, d.resetsConnections = on, resets
	for _, listener := range d.listeners {
		listener.server.Refuse(on && resets)
	}
	if !on {
		d.markReachable()
	}
	if !on || resets {
		return
	}
	for _, call := range slices.Clone(d.openCalls) {
		call.refuse()
	}
}

// Silent starts or ends a silence, during which calls are accepted but not answered. They are answered afterwards.
func (d *Discovery) Silent(on bool) {
	d.silent = on
	if on {
		if d.options.Pushed {
			d.LoseWatches()
		}
		return
	}
	deferred := d.deferredCalls
	d.deferredCalls = nil
	d.markReachable()
	if d.options.Pushed {
		d.publish()
		return
	}
	for _, call := range deferred {
		d.accept(call)
	}
	d.answerWatches()
}

// LoseWatches drops the waiting watches: they are never answered, and their connections stay open.
func (d *Discovery) LoseWatches() {
	var routers []string
	for _, call := range d.openCalls {
		if call.waiting {
			call.waiting = false
			call.timer.Stop()
			routers = append(routers, call.router)
		}
	}
	if d.options.NotifiedAfter > 0 && !d.options.Pushed && len(routers) > 0 {
		d.m.At(d.m.Now()+d.options.NotifiedAfter, func() { d.notifyLostWatches(routers) })
	}
}

// AnswerAtOnce sets whether watches are answered at once, even without a change.
func (d *Discovery) AnswerAtOnce(on bool) {
	d.answersAtOnce = on
	if !on {
		return
	}
	for _, call := range slices.Clone(d.openCalls) {
		if call.waiting {
			call.answer()
		}
	}
}

// VersionBack decreases the list's version by n, like a service that has lost its state.
func (d *Discovery) VersionBack(n int64) {
	d.version = max(1, d.version-n)
	for _, l := range d.entries {
		l.version = min(l.version, d.version)
	}
	d.answerWatches()
}

// Move closes all listeners and connections, and opens a listener at a given address in place of each.
func (d *Discovery) Move(addrs []string) ([]string, error) {
	var got []string
	for i, listener := range d.listeners {
		listener.server.Close()
		if i >= len(addrs) {
			continue
		}
		listener.addr = addrs[i]
		if err := d.listen(listener); err != nil {
			return nil, err
		}
		got = append(got, listener.addr)
	}
	d.markReachable()
	return got, nil
}

// BadEntry is a kind of invalid entry in a list.
type BadEntry string

// Kinds of invalid entries.
const (
	BadName    BadEntry = "name"
	BadAddress BadEntry = "address"
	BadStatus  BadEntry = "status"
	BadSince   BadEntry = "since"
	BadShape   BadEntry = "shape"
	BadJSON    BadEntry = "json" // the document ends in the middle
)

// badEntries are the invalid entries by kind.
var badEntries = map[BadEntry]any{
	BadName:    map[string]any{"name": "", "address": "127.0.0.1:1", "status": InService},
	BadAddress: map[string]any{"name": "s-bad", "address": "nowhere", "status": InService},
	BadStatus:  map[string]any{"name": "s-bad", "address": "127.0.0.1:1", "status": "asleep"},
	BadSince:   map[string]any{"name": "s-bad", "address": "127.0.0.1:1", "status": InService, "since_ms": -5},
	BadShape:   "s-bad",
	BadJSON:    map[string]any{},
}

// Spoil adds an invalid entry to every answer; the empty string ends this.
func (d *Discovery) Spoil(how BadEntry) {
	d.badEntry = how
	if how != "" {
		return
	}
	d.markReachable()
	if d.options.Pushed && !d.silent {
		d.answerWatches()
	}
}
