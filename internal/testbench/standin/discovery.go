package standin

import (
	"cmp"
	"encoding/json"
	"slices"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/rules"
)

// What discovery says of a cache.
const (
	InService   = "in_service"
	Terminating = "terminating"
	Terminated  = "terminated" // among changes only
)

// Entry is a line of discovery's list.
type Entry struct {
	Name      string
	Address   string
	Addresses map[string]string // by router, where one has an address of its own
	Zone      string
	Type      string
	Group     int
	Status    string
	Weight    float64
	Since     Time // of the last start; 0 for long ago
}

// DiscoveryOptions describe the service.
type DiscoveryOptions struct {
	Delay Time // from a change to its showing in the list

	CallCost   Time // it works through calls in turn; each costs this ...
	LineCost   Time // ... and this for each line of the answer
	Timeout    Time // a call whose answer would take longer is turned away with 503 at once; 0 never
	RejectCost Time // that one which is turned away costs

	// Routers and PollInterval: a change counts as told to a router that has neither waited nor asked for so
	// long. 0 leaves that out.
	Routers      []string
	PollInterval Time

	// NotifiedAfter: a change counts as told to every router so long after the list had it and could be reached, whatever became
	// of the router's calls. 0 leaves that out. Reachable tells since when a router has had a way to the list, and whether
	// it has one now; nil is always.
	NotifiedAfter Time
	Reachable     func(router string) (since Time, now bool)

	// Pushed: it stands for the agents beside the routers, to which the list is pushed. A change counts as told with its
	// showing, and to a new process from its first moment on; calls cost nothing. While discovery is down the agents are
	// silent and learn nothing, and what was asked of them meanwhile or before is never answered.
	Pushed bool

	// RouterOf names the router at a remote address, for the addresses that were opened for no router.
	RouterOf func(remote string) string
}

// Discovery is the service that names the caches.
type Discovery struct {
	m        machine.Machine
	options  DiscoveryOptions
	observer rules.Observer

	listeners     []*listListener
	openCalls     []*listCall // that are out
	deferredCalls []*listCall // that came while it was silent

	pendingChanges  []listChange // changes that do not show yet, in order of time
	timer           machine.Timer
	entries         []*listEntry // by name
	version         int64
	minDeltaVersion int64 // versions up to here are answered with the whole list
	busyUntil       Time  // when the calls before are done
	notified        map[string]map[string]notifiedState
	callers         map[string]*caller

	extraDelay                  Time
	silent, answersAtOnce, down bool
	resetsConnections           bool
	badEntry                    BadEntry

	reachableSince Time
	notifyTimer    machine.Timer
}

// listChange is a change on its way into the list.
type listChange struct {
	at    Time
	apply func(d *Discovery)
}

// listEntry is an entry with the version of its last change.
type listEntry struct {
	Entry
	version   int64
	changedAt Time
}

// caller is what discovery knows of a router's calls.
type caller struct {
	lastCall   Time
	answeredAt Time // when it was last answered with a list
	openCalls  int
	timer      machine.Timer
}

// NewDiscovery is a service with an empty list, of version 1.
func NewDiscovery(m machine.Machine, o DiscoveryOptions, obs rules.Observer) *Discovery {
	d := &Discovery{m: m, options: o, observer: observerOrBlind(obs), version: 1, notified: map[string]map[string]notifiedState{},
		callers: map[string]*caller{}}
	for _, r := range o.Routers {
		d.callers[r] = &caller{lastCall: m.Now()}
	}
	return d
}

// Open listens at an address and returns the one that it got. Calls that come in there are those of the
// router; without a name, RouterOf tells.
func (d *Discovery) Open(addr, router string) (string, error) {
	door := &listListener{addr: addr, router: router}
	if err := d.listen(door); err != nil {
		return "", err
	}
	d.listeners = append(d.listeners, door)
	return door.addr, nil
}

// Index is the version of the list as it shows.
func (d *Discovery) Index() int64 { return d.version }

// Close ends the service.
func (d *Discovery) Close() {
	for _, door := range d.listeners {
		door.server.Close()
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

// Add puts a cache on the list.
func (d *Discovery) Add(e Entry) { d.change(func(d *Discovery) { d.setEntry(e) }) }

// SetStatus changes what the list says of a cache.
func (d *Discovery) SetStatus(name, status string) {
	d.change(func(d *Discovery) {
		if l := d.entry(name); l != nil {
			e := l.Entry
			e.Status = status
			d.setEntry(e)
		}
	})
}

// Remove takes a cache off the list; watches are told that it is terminated.
func (d *Discovery) Remove(name string) { d.SetStatus(name, Terminated) }

// Replace takes a cache off the list and puts another on, in one change.
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

// change has a change show after the delay.
func (d *Discovery) change(f func(*Discovery)) {
	d.pendingChanges = append(d.pendingChanges, listChange{d.m.Now(), f})
	d.publish()
}

// publish lets the changes show whose time has come, as one version.
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

// answerWatches answers the watches that have something to tell, and sees to routers that do not ask.
func (d *Discovery) answerWatches() {
	for _, k := range slices.Clone(d.openCalls) {
		if k.waiting && k.after != d.version {
			k.answer()
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

func (d *Discovery) entry(name string) *listEntry {
	at, ok := slices.BinarySearchFunc(d.entries, name, func(l *listEntry, n string) int { return cmp.Compare(l.Name, n) })
	if !ok {
		return nil
	}
	return d.entries[at]
}

// maxEntries bounds the list together with the caches that have gone.
const maxEntries = 4096

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

// encodeList is the body of an answer: the changes after a version, or the whole list.
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
	if err != nil { // a weight that is no number; the list's author is at fault
		panic(err)
	}
	if d.badEntry == BadJSON {
		body = body[:len(body)/2]
	}
	return body, whole
}

// Late has changes show so much later than they would; 0 ends that, and what was held back shows.
func (d *Discovery) Late(more Time) {
	d.extraDelay = more
	d.publish()
}

// Stale is Late: the list shows the caches as they were that long ago.
func (d *Discovery) Stale(ago Time) { d.Late(ago) }

// Down ends all watches. Calls are answered 503, or by the connection's end.
func (d *Discovery) Down(on, resets bool) {
	if d.options.Pushed {
		d.Silent(on)
		return
	}
	d.down, d.resetsConnections = on, resets
	for _, door := range d.listeners {
		door.server.Refuse(on && resets)
	}
	if !on {
		d.markReachable()
	}
	if !on || resets {
		return
	}
	for _, k := range slices.Clone(d.openCalls) {
		k.refuse()
	}
}

// Silent has it take calls and answer none. Those that came meanwhile are answered afterwards.
func (d *Discovery) Silent(on bool) {
	d.silent = on
	if on {
		if d.options.Pushed {
			d.LoseWatches()
		}
		return
	}
	held := d.deferredCalls
	d.deferredCalls = nil
	d.markReachable()
	if d.options.Pushed {
		d.publish()
		return
	}
	for _, k := range held {
		d.accept(k)
	}
	d.answerWatches()
}

// LoseWatches has it forget the calls that wait: they are never answered, and their connections stay as they are.
func (d *Discovery) LoseWatches() {
	var routers []string
	for _, k := range d.openCalls {
		if k.waiting {
			k.waiting = false
			k.timer.Stop()
			routers = append(routers, k.router)
		}
	}
	if d.options.NotifiedAfter > 0 && !d.options.Pushed && len(routers) > 0 {
		d.m.At(d.m.Now()+d.options.NotifiedAfter, func() { d.notifyLostWatches(routers) })
	}
}

// AnswerAtOnce has watches answered without a wait, with nothing new.
func (d *Discovery) AnswerAtOnce(on bool) {
	d.answersAtOnce = on
	if !on {
		return
	}
	for _, k := range slices.Clone(d.openCalls) {
		if k.waiting {
			k.answer()
		}
	}
}

// VersionBack sets the list's version back, as a service does that has lost its memory.
func (d *Discovery) VersionBack(n int64) {
	d.version = max(1, d.version-n)
	for _, l := range d.entries {
		l.version = min(l.version, d.version)
	}
	d.answerWatches()
}

// Move closes the addresses and every connection, and opens others, one for each of those before.
func (d *Discovery) Move(addrs []string) ([]string, error) {
	var got []string
	for i, door := range d.listeners {
		door.server.Close()
		if i >= len(addrs) {
			continue
		}
		door.addr = addrs[i]
		if err := d.listen(door); err != nil {
			return nil, err
		}
		got = append(got, door.addr)
	}
	d.markReachable()
	return got, nil
}

// BadEntry is something that no list may hold.
type BadEntry string

// What can be wrong with a list.
const (
	BadName    BadEntry = "name"
	BadAddress BadEntry = "address"
	BadStatus  BadEntry = "status"
	BadSince   BadEntry = "since"
	BadShape   BadEntry = "shape"
	BadJSON    BadEntry = "json" // it ends in the middle
)

var badEntries = map[BadEntry]any{
	BadName:    map[string]any{"name": "", "address": "127.0.0.1:1", "status": InService},
	BadAddress: map[string]any{"name": "s-bad", "address": "nowhere", "status": InService},
	BadStatus:  map[string]any{"name": "s-bad", "address": "127.0.0.1:1", "status": "asleep"},
	BadSince:   map[string]any{"name": "s-bad", "address": "127.0.0.1:1", "status": InService, "since_ms": -5},
	BadShape:   "s-bad",
	BadJSON:    map[string]any{},
}

// Spoil has every answer hold something that no list may hold; the empty string ends that.
func (d *Discovery) Spoil(how BadEntry) {
	if d.badEntry = how; how != "" {
		return
	}
	d.markReachable()
	if d.options.Pushed && !d.silent {
		d.answerWatches()
	}
}
