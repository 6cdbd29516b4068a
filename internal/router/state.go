package router

import (
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"math"
	"slices"

	"starlingwinch/decide"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/snapshot"
	"starlingwinch/internal/snapshotstore"
)

// Bounds of the state's work.
const (
	readWithin  = 200_000   // for the state to be there before the router says that it serves
	writeWithin = 200_000   // for the last write, after a drain
	slowFrom    = 1_000_000 // a write that takes longer is worth a line of the log
	beforeEnd   = 300_000   // ... and so long before a drain's limit at the latest
	statePiece  = 200       // caches that the loop tells of in one turn
	stateScan   = 8_000     // keys that are looked at for one write
)

// keeper keeps what the router has learned in a folder, and takes it over at a start. The danger: a disk that is
// full, slow, read-only or gone holds up requests, or the end; all of its work is beside the loop, and nothing here
// waits for it but the first answer to a PING and the last moment of a drain, both within a bound.
type keeper struct {
	r     *Router
	cfg   snapshotstore.Config
	store *snapshotstore.Store // for the work on the disk alone

	ready   bool                         // what was kept is taken over, or the time for it is over
	late    bool                         // ... as it did not come in time
	known   map[string]snapshot.Endpoint // what is still to be taken over
	forget  Time                         // ... of caches that never came, from then on
	before  *snapshot.Snapshot           // whose figures are still to be taken over
	beat    machine.Timer
	bound   machine.Timer
	busy    bool   // a work on the disk is under way
	since   Time   // ... since then
	failing string // why there is nothing written, as it stands in the log
	slow    bool   // that the disk does not answer stands there
	writes  int    // that went well

	next     *snapshot.Snapshot // what is being gathered
	after    string             // the cache up to which it is
	scan     int                // keys that may still be looked at for it
	keysFrom string             // the cache up to which keys were looked at last
	buf      []decide.EndpointSnapshot
	keyBuf   []uint64 // what the keys of this write stand in

	ending bool     // the last write is under way or done
	ended  bool     // ... it is done
	atEnd  []func() // to be called then
	closed bool
}

// keep begins to keep the state as a file says, from the router's start on or later. It gives nil where that is off.
func (r *Router) keep(cfg snapshotstore.Config, started bool) *keeper {
	if cfg.Folder == "" {
		return nil
	}
	k := &keeper{r: r, cfg: cfg, store: snapshotstore.New(cfg.Folder, r.cfg.Name), ready: started, late: started}
	var found snapshot.Snapshot
	var ok bool
	var notes []string
	var err error
	if !started {
		k.bound = r.m.At(r.m.Now()+readWithin, func() {
			k.ready, k.late = true, true
			r.Log("state: the disk has not answered in time; serving without")
		})
	}
	now, oldest := r.m.Wall(), cfg.MaxAge.Microseconds()
	k.begin()
	r.m.OnDisk(func(d machine.Disk) { found, ok, notes, err = k.store.Open(d, now, oldest) }, func() {
		k.busy = false
		if k.closed {
			return
		}
		k.say(notes)
		k.fails(err)
		if ok && !started {
			k.recall(found)
		}
		if k.bound != nil {
			k.bound.Stop()
		}
		k.ready = true
		wait := cfg.WriteInterval.Microseconds()
		if started {
			wait = 0
		}
		k.beat = r.m.At(r.m.Now()+wait, k.write)
	})
	return k
}

// say logs what was found and not used.
func (k *keeper) say(notes []string) {
	for _, n := range notes {
		k.r.Log("state: " + n)
	}
}

// fails logs, once, why the state is not kept, and that it is again.
func (k *keeper) fails(err error) {
	switch {
	case err != nil && k.failing == "":
		k.failing = err.Error()
		what := "it is not kept until that is over"
		if errors.Is(err, machine.ErrLocked) {
			what = "another process keeps its state there; this one runs without"
		}
		k.r.Log(fmt.Sprintf("state: %s: %s", k.failing, what))
	case err == nil && k.failing != "":
		k.failing = ""
		k.r.Log("state: it is kept again")
	}
}

// begin notes that a work on the disk begins.
func (k *keeper) begin() { k.busy, k.since = true, k.r.m.Now() }

// Taking over.

// recall takes over what was kept: at once for the caches that are listed, later for those that come.
func (k *keeper) recall(s snapshot.Snapshot) {
	age := k.r.m.Wall() - s.At
	k.forget = k.r.m.Now() + k.cfg.MaxAge.Microseconds()
	k.before, k.known = &s, make(map[string]snapshot.Endpoint, len(s.Caches))
	for _, c := range s.Caches {
		k.known[c.ID] = c
	}
	k.r.Log(fmt.Sprintf("state: taken over, %d caches, as of %s ago", len(s.Caches), snapshotstore.FormatSpan(age)))
	k.figures()
	k.learn(slices.Sorted(maps.Keys(k.r.caches)))
	k.r.ProcessEvents()
}

// listed takes over what was kept of the caches that a list names, once the module knows them.
func (k *keeper) listed(entries []decide.Endpoint) {
	if len(k.known) == 0 {
		return
	}
	k.figures()
	ids := make([]string, len(entries))
	for i, e := range entries {
		ids[i] = e.ID
	}
	k.learn(ids)
}

// figures takes over those that are not a single cache's. The danger: before the first list the module has none of its
// own, and after the first requests it knows better.
func (k *keeper) figures() {
	if k.before == nil || k.late {
		return
	}
	usual := k.r.decider.SharedSnapshot()
	if usual.OriginLimit == 0 {
		return
	}
	now, oldest := k.r.m.Wall(), k.cfg.MaxAge.Microseconds()
	if all, ok := k.cfg.HalfLives().DecayShared(*k.before, usual, now, oldest); ok {
		k.r.decider.Restore(all)
	}
	k.before = nil
}

// learn takes over what was kept of caches. The danger: what is known of an old process speaks for a new one; only the
// start that the list has told names a process, as it is the same whatever clock a router had.
func (k *keeper) learn(ids []string) {
	l := nothingOfAll()
	now, oldest, half := k.r.m.Wall(), k.cfg.MaxAge.Microseconds(), k.cfg.HalfLives()
	for _, id := range ids {
		c, kept := k.known[id]
		h := k.r.caches[id]
		if !kept || h == nil || h.told < c.StartedAt { // a list that is older than the state
			continue
		}
		delete(k.known, id)
		usual, listed := k.r.decider.EndpointSnapshot(id)
		if h.told != c.StartedAt || !listed {
			continue
		}
		was, ok := half.DecayEndpoint(c, usual, now, oldest)
		if !ok {
			continue
		}
		was.StartedAt = usual.StartedAt
		if !k.r.cfg.Settings.AllowHealthChecks { // the danger: a mark that no probe will ever take away
			was.Healthy, was.FailedHealthChecks = usual.Healthy, usual.FailedHealthChecks
		}
		l.Caches = append(l.Caches, was)
	}
	if len(l.Caches) > 0 {
		k.r.decider.Restore(l)
	}
}

// nothingOfAll has the figures that are not a single cache's left as they are.
func nothingOfAll() decide.Snapshot {
	nan := math.NaN()
	return decide.Snapshot{OriginLimit: nan, OriginMissRatio: nan, RetryBudget: nan, ErrorRatio: nan, LostRatio: nan}
}

// Keeping.

// write begins a write, unless one is under way, and sets the time of the next.
func (k *keeper) write() {
	if k.ending || k.closed {
		return
	}
	now := k.r.m.Now()
	k.beat = k.r.m.At(now+k.cfg.WriteInterval.Microseconds(), k.write)
	if now > k.forget {
		k.known = nil
	}
	if k.busy || k.next != nil {
		if k.busy && !k.slow && now-k.since > slowFrom {
			k.slow = true
			k.r.Log("state: the disk takes longer than a second; less is written while it does")
		}
		return
	}
	k.gather()
	k.piece()
}

// gather begins to gather what has been learned.
func (k *keeper) gather() {
	k.next = &snapshot.Snapshot{At: k.r.m.Wall(), Router: k.r.decider.SharedSnapshot()}
	k.next.Caches = make([]snapshot.Endpoint, 0, len(k.r.caches))
	k.after, k.scan = "", stateScan
	k.keyBuf = make([]uint64, 0, stateScan)
}

// piece gathers a part in this turn, and the rest in later ones.
func (k *keeper) piece() {
	if k.closed || k.ending || k.next == nil {
		k.next = nil
		return
	}
	if k.gatherPart() {
		k.r.m.Post(k.piece)
		return
	}
	k.put(func() {})
}

// gatherPart gathers what is known of the next caches, and reports whether there are more.
func (k *keeper) gatherPart() bool {
	part := k.r.decider.AppendEndpointSnapshots(k.buf[:0], k.after, statePiece)
	k.buf = part
	for i := range part {
		c := &part[i]
		k.after = c.ID
		h := k.r.caches[c.ID]
		if h == nil {
			continue // it goes
		}
		c.StartedAt = h.told
		entry := snapshot.Endpoint{EndpointSnapshot: *c, At: k.next.At}
		if k.keys(c.ID, &entry.CachedKeys) {
			entry.KeysAt = k.next.At
		}
		k.next.Caches = append(k.next.Caches, entry)
	}
	if len(part) == statePiece {
		return true
	}
	if k.scan > 0 {
		k.keysFrom = "" // all were looked at: the next time begins with the first
	}
	return false
}

// keys looks at a cache's keys, as far as there is time for it. Those of the others are as they were at an earlier write.
func (k *keeper) keys(id string, to *[]uint64) bool {
	if id <= k.keysFrom || k.scan <= 0 {
		return false
	}
	n := k.r.decider.CachedKeyCount(id)
	if n > stateScan { // the danger: keys are looked at for longer than a turn may take
		k.keysFrom = id
		return false
	}
	if k.scan -= n; k.scan <= 0 {
		return false
	}
	k.keysFrom = id
	from := len(k.keyBuf)
	k.keyBuf = k.r.decider.AppendCachedKeys(k.keyBuf, id, k.cfg.KeysPerEndpoint)
	*to = k.keyBuf[from:len(k.keyBuf):len(k.keyBuf)]
	return true
}

// put has what was gathered written.
func (k *keeper) put(done func()) {
	state := *k.next
	k.next = nil
	now, oldest := k.r.m.Wall(), k.cfg.MaxAge.Microseconds()
	var notes []string
	var err error
	k.begin()
	keys := k.cfg.KeysPerEndpoint
	k.r.m.OnDisk(func(d machine.Disk) {
		for i := range state.Caches { // not in the loop: it takes longer than all else
			c := &state.Caches[i]
			c.CachedKeys = decide.SortKeys(c.CachedKeys, keys)
		}
		if !k.store.Locked() {
			if _, _, notes, err = k.store.Open(d, now, oldest); err != nil {
				return
			}
		}
		err = k.store.Write(d, state, now, oldest)
		if errors.Is(err, fs.ErrNotExist) {
			k.store.Close() // the folder is gone: the lock of the next one counts
		}
	}, func() {
		k.busy = false
		if k.r.m.Now()-k.since < slowFrom {
			k.slow = false
		}
		if err == nil {
			k.writes++
		}
		if !k.closed {
			k.say(notes)
			k.fails(err)
		}
		done()
	})
}

// finish writes once more, at the end of a drain, and calls done then or when the time for it is over. It may be nil.
func (k *keeper) finish(done func()) {
	if k == nil || !k.cfg.WriteAtEnd || k.closed || k.ended {
		done()
		return
	}
	k.atEnd = append(k.atEnd, done)
	if k.ending {
		return
	}
	k.ending = true
	over := func() {
		if k.ended {
			return
		}
		k.ended = true
		for _, f := range k.atEnd {
			f()
		}
	}
	bound := k.r.m.At(k.r.m.Now()+writeWithin, over)
	k.gather()
	for k.gatherPart() { // nothing else is to be done any more
	}
	k.put(func() {
		bound.Stop()
		over()
	})
}

// close ends it, and gives the folder back. It may be nil.
func (k *keeper) close() {
	if k == nil || k.closed {
		return
	}
	k.closed = true
	for _, t := range []machine.Timer{k.beat, k.bound} {
		if t != nil {
			t.Stop()
		}
	}
	k.r.m.OnDisk(func(machine.Disk) { k.store.Close() }, func() {})
}

// rekeep takes over another file of the kind "state".
func (r *Router) rekeep(cfg snapshotstore.Config) {
	if cfg == r.cfg.SnapshotStore {
		return
	}
	old := r.keeper
	old.close()
	r.cfg.SnapshotStore = cfg
	if r.keeper = r.keep(cfg, true); r.keeper == nil {
		r.Log("SIGHUP: the state is not kept any more")
		return
	}
	if old != nil {
		r.keeper.known, r.keeper.forget = old.known, old.forget
	}
	r.Log("SIGHUP: the state is kept in " + cfg.Folder)
}
