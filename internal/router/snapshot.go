package router

import (
	"errors"
	"maps"
	"math"
	"slices"
	"time"

	"starlingwinch/decide"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/snapshot"
	"starlingwinch/internal/snapshotstore"
)

// Bounds of the work with snapshots, in microseconds.
const (
	snapshotReadTimeout = 200_000   // for reading one at a start, before the router says that it serves
	finalWriteTimeout   = 200_000   // for the last write, at the end of a drain
	finalWriteMargin    = 300_000   // the last write begins so long before a drain's deadline at the latest
	slowDiskThreshold   = 1_000_000 // disk work that takes longer is logged
)

// snapshotKeeper restores a snapshot of what the router has learned at its start, and writes one regularly and at the end.
//
// A disk may be full, slow, read-only or gone, and must hold up neither requests nor the end of the process: all disk work is
// done beside the loop. Only two things wait for it, both with a bound: the first +PONG and the end of a drain.
type snapshotKeeper struct {
	router *Router
	cfg    snapshotstore.Config
	store  *snapshotstore.Store // used in the machine's disk work alone

	// The disk.
	diskBusy       bool   // disk work is under way
	diskBusySince  Time   // when it began
	storeError     string // why no snapshot is stored, as logged last; empty while they are
	slowDiskLogged bool   // the log says that the disk is slow; unset when it is quick again

	// Restoring. See restore.
	ready            bool                         // the snapshot is restored, there is none, or the time for it is over
	restoreTimedOut  bool                         // the time for it was over first
	restoreTimer     machine.Timer                // ends that time
	unrestored       map[string]snapshot.Endpoint // caches that the snapshot has and no list named yet
	unrestoredExpiry Time                         // when these are dropped
	unrestoredShared *snapshot.Snapshot           // its figures that are no single cache's, until they are restored

	// Writing. See startWrite.
	snapshotWrite
	writeTimer      machine.Timer // for the next write
	completedWrites int
	finalState      finalWriteState
	onFinalWrite    []func() // called once the final write is done

	closed bool // close was called
}

// openSnapshots begins to keep snapshots: at the router's start, where the latest one is restored, or on a reload. It
// returns nil where no folder is configured.
func (r *Router) openSnapshots(cfg snapshotstore.Config, isReload bool) *snapshotKeeper {
	if cfg.Folder == "" {
		return nil
	}
	k := &snapshotKeeper{
		router:          r,
		cfg:             cfg,
		store:           snapshotstore.New(cfg.Folder, r.cfg.Name),
		ready:           isReload,
		restoreTimedOut: isReload,
	}
	if !isReload {
		k.restoreTimer = r.m.At(r.m.Now()+snapshotReadTimeout, k.restoreTimeout)
	}
	now, maxAge := r.m.Wall(), cfg.MaxAge.Microseconds()
	k.markDiskBusy()
	var latest snapshot.Snapshot
	var found bool
	var notes []string
	var err error
	r.m.OnDisk(
		func(disk machine.Disk) { latest, found, notes, err = k.store.Open(disk, now, maxAge) },
		func() {
			k.diskBusy = false
			if k.closed {
				return
			}
			k.logNotes(notes)
			k.noteStoreError(err)
			if found && !isReload {
				k.restore(latest)
			}
			k.opened(isReload)
		})
	return k
}

// opened sets the time of the first write, once the folder was read.
func (k *snapshotKeeper) opened(isReload bool) {
	if k.restoreTimer != nil {
		k.restoreTimer.Stop()
	}
	k.ready = true
	wait := k.cfg.WriteInterval.Microseconds()
	if isReload {
		wait = 0
	}
	k.writeTimer = k.router.m.At(k.router.m.Now()+wait, k.startWrite)
}

// restoreTimeout lets the router serve without what the disk has not read in time.
func (k *snapshotKeeper) restoreTimeout() {
	k.ready, k.restoreTimedOut = true, true
	k.router.logger.Warn("snapshot not read in time", "timeout", snapshotReadTimeout*time.Microsecond)
}

// logNotes logs what the store found in the folder and did not use.
func (k *snapshotKeeper) logNotes(notes []string) {
	for _, note := range notes {
		k.router.logger.Warn("snapshot file rejected", "detail", note)
	}
}

// noteStoreError logs, once, why no snapshot is stored, and once that they are stored again.
func (k *snapshotKeeper) noteStoreError(err error) {
	switch {
	case err != nil && k.storeError == "":
		k.storeError = err.Error()
		k.router.logger.Error("snapshots not stored", "cause", err, "locked", errors.Is(err, machine.ErrLocked))
	case err == nil && k.storeError != "":
		k.storeError = ""
		k.router.logger.Info("snapshots stored again", "folder", k.cfg.Folder)
	}
}

// markDiskBusy notes that disk work begins.
func (k *snapshotKeeper) markDiskBusy() { k.diskBusy, k.diskBusySince = true, k.router.m.Now() }

// restore restores a snapshot: at once for the caches that are listed, and later for those that a list names later.
func (k *snapshotKeeper) restore(s snapshot.Snapshot) {
	age := k.router.m.Wall() - s.At
	k.unrestoredExpiry = k.router.m.Now() + k.cfg.MaxAge.Microseconds()
	k.unrestoredShared = &s
	k.unrestored = make(map[string]snapshot.Endpoint, len(s.Caches))
	for _, e := range s.Caches {
		k.unrestored[e.ID] = e
	}
	k.router.logger.Info("snapshot restored", "caches", len(s.Caches), "age", time.Duration(age)*time.Microsecond)
	k.restoreShared()
	k.restoreEndpoints(slices.Sorted(maps.Keys(k.router.endpoints)))
	k.router.ProcessEvents()
}

// restoreListed restores what the snapshot has of the caches that a list names, once the module has received the list.
func (k *snapshotKeeper) restoreListed(entries []decide.Endpoint) {
	if len(k.unrestored) == 0 {
		return
	}
	k.restoreShared()
	ids := make([]string, len(entries))
	for i, e := range entries {
		ids[i] = e.ID
	}
	k.restoreEndpoints(ids)
}

// restoreShared restores the figures that are no single cache's, once. The module has none to decay them towards before its
// first list, and after a timeout it has measured better ones.
func (k *snapshotKeeper) restoreShared() {
	if k.unrestoredShared == nil || k.restoreTimedOut {
		return
	}
	initial := k.router.decider.SharedSnapshot()
	if initial.OriginLimit == 0 {
		return
	}
	now, maxAge := k.router.m.Wall(), k.cfg.MaxAge.Microseconds()
	if shared, ok := k.cfg.HalfLives().DecayShared(*k.unrestoredShared, initial, now, maxAge); ok {
		k.router.decider.Restore(shared)
	}
	k.unrestoredShared = nil
}

// restoreEndpoints restores what the snapshot has of caches. Nothing is restored for a cache that was restarted since.
func (k *snapshotKeeper) restoreEndpoints(ids []string) {
	restored := endpointsOnlySnapshot()
	now := k.router.m.Wall()
	for _, id := range ids {
		if e, ok := k.restoreEndpoint(id, now); ok {
			restored.Caches = append(restored.Caches, e)
		}
	}
	if len(restored.Caches) > 0 {
		k.router.decider.Restore(restored)
	}
}

// restoreEndpoint takes one cache out of the snapshot, and returns what is restored of it, if anything is. The start in the
// list's own words identifies a process, as it is the same whatever the router's clock said.
func (k *snapshotKeeper) restoreEndpoint(id string, now Time) (e decide.EndpointSnapshot, ok bool) {
	stored, isStored := k.unrestored[id]
	listed := k.router.endpoints[id]
	if !isStored || listed == nil || listed.listedStart < stored.StartedAt { // that list is older than the snapshot
		return e, false
	}
	delete(k.unrestored, id)
	initial, isKnown := k.router.decider.EndpointSnapshot(id)
	if listed.listedStart != stored.StartedAt || !isKnown {
		return e, false
	}
	e, ok = k.cfg.HalfLives().DecayEndpoint(stored, initial, now, k.cfg.MaxAge.Microseconds())
	if !ok {
		return e, false
	}
	e.StartedAt = initial.StartedAt
	if !k.router.cfg.Settings.AllowHealthChecks { // no health check would ever clear the mark
		e.Healthy, e.FailedHealthChecks = initial.Healthy, initial.FailedHealthChecks
	}
	return e, true
}

// endpointsOnlySnapshot returns a snapshot that leaves the figures that are no single cache's as they are.
func endpointsOnlySnapshot() decide.Snapshot {
	nan := math.NaN()
	return decide.Snapshot{OriginLimit: nan, OriginMissRatio: nan, RetryBudget: nan, ErrorRatio: nan, LostRatio: nan}
}

// close ends the keeping of snapshots and unlocks the folder. It does nothing where it is nil or closed.
func (k *snapshotKeeper) close() {
	if k == nil || k.closed {
		return
	}
	k.closed = true
	for _, timer := range []machine.Timer{k.writeTimer, k.restoreTimer} {
		if timer != nil {
			timer.Stop()
		}
	}
	k.router.m.OnDisk(func(machine.Disk) { k.store.Close() }, func() {})
}
