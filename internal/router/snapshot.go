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

// Time limits for snapshots, in microseconds.
const (
	snapshotReadTimeout = 200_000   // for reading a snapshot at the start, before the router reports that it serves
	finalWriteTimeout   = 200_000   // for the final write, at the end of a drain
	finalWriteMargin    = 300_000   // between the latest start of the final write and the drain's deadline
	slowDiskThreshold   = 1_000_000 // longer disk work is logged
)

// snapshotKeeper restores a snapshot of the router's learned state at the start, and writes snapshots periodically and at the end
// of a drain.
//
// A disk may be full, slow, read-only or missing, and must delay neither requests nor the end of the process. All disk work
// therefore runs outside the loop. Only the first +PONG and the end of a drain wait for disk work, each for a bounded time.
type snapshotKeeper struct {
	router *Router
	cfg    snapshotstore.Config
	store  *snapshotstore.Store // used only in disk work

	// The disk.
	diskBusy       bool   // disk work is running
	diskBusySince  Time   // when the disk work began
	storeError     string // the logged reason why snapshots are not stored; empty while they are stored
	slowDiskLogged bool   // a slow disk was logged; reset when the disk is fast again

	// Restoring. See restore.
	ready            bool                         // a snapshot was restored or not found, or reading timed out
	restoreTimedOut  bool                         // reading timed out, or snapshots were enabled by a reload
	restoreTimer     machine.Timer                // for restoreTimeout
	unrestored       map[string]snapshot.Endpoint // caches of the snapshot that no list has named yet
	unrestoredExpiry Time                         // when unrestored is dropped
	unrestoredShared *snapshot.Snapshot           // the snapshot, until its shared values are restored

	// Writing. See startWrite.
	snapshotWrite
	writeTimer      machine.Timer // for the next write
	completedWrites int
	finalState      finalWriteState
	onFinalWrite    []func() // called when the final write has ended

	closed bool // set by close
}

// openSnapshots returns a snapshotKeeper and opens its folder. At the router's start it restores the latest snapshot; on a reload
// it does not. It returns nil if no folder is configured.
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
			k.logStoreError(err)
			if found && !isReload {
				k.restore(latest)
			}
			k.scheduleFirstWrite(isReload)
		})
	return k
}

// scheduleFirstWrite ends the wait for the snapshot and sets the timer for the first write, after the folder was read.
func (k *snapshotKeeper) scheduleFirstWrite(isReload bool) {
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

// restoreTimeout lets the router serve before the snapshot is read. A snapshot that is read later restores only values of single
// caches.
func (k *snapshotKeeper) restoreTimeout() {
	k.ready, k.restoreTimedOut = true, true
	k.router.logger.Warn("snapshot not read in time", "timeout", snapshotReadTimeout*time.Microsecond)
}

// logNotes logs the files in the folder that the store rejected.
func (k *snapshotKeeper) logNotes(notes []string) {
	for _, note := range notes {
		k.router.logger.Warn("snapshot file rejected", "detail", note)
	}
}

// logStoreError logs the first failure to store snapshots, with its cause, and the first success after it. A further failure is
// not logged, even if its cause differs.
func (k *snapshotKeeper) logStoreError(err error) {
	switch {
	case err != nil && k.storeError == "":
		k.storeError = err.Error()
		k.router.logger.Error("snapshots not stored", "cause", err, "locked", errors.Is(err, machine.ErrLocked))
	case err == nil && k.storeError != "":
		k.storeError = ""
		k.router.logger.Info("snapshots stored again", "folder", k.cfg.Folder)
	}
}

// markDiskBusy records the start of disk work.
func (k *snapshotKeeper) markDiskBusy() { k.diskBusy, k.diskBusySince = true, k.router.m.Now() }

// restore restores a snapshot for the listed caches. restoreListed does so for caches that are listed later.
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

// restoreListed restores the snapshot's values for caches that a list names, after the module has received the list.
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

// restoreShared restores, once, the shared values, which belong to no single cache. Before its first list, the module has no
// initial values towards which the restored ones could decay. After a timeout, the module has measured better values.
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

// restoreEndpoints restores the snapshot's values for caches. It restores nothing for a cache that was restarted after the
// snapshot.
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

// restoreEndpoint removes a cache from unrestored and returns the values to restore; ok is false if there are none. The start time
// as given in the list identifies a cache process, because it does not depend on the router's clock.
func (k *snapshotKeeper) restoreEndpoint(id string, now Time) (e decide.EndpointSnapshot, ok bool) {
	stored, isStored := k.unrestored[id]
	listed := k.router.endpoints[id]
	if !isStored || listed == nil || listed.listedStart < stored.StartedAt { // an earlier start: the list is older than the snapshot
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
	if !k.router.cfg.Settings.AllowHealthChecks { // no health check would ever mark the cache healthy again
		e.Healthy, e.FailedHealthChecks = initial.Healthy, initial.FailedHealthChecks
	}
	return e, true
}

// endpointsOnlySnapshot returns a snapshot that leaves the module's shared values unchanged. NaN marks a value as not set.
func endpointsOnlySnapshot() decide.Snapshot {
	nan := math.NaN()
	return decide.Snapshot{OriginLimit: nan, OriginMissRatio: nan, RetryBudget: nan, ErrorRatio: nan, LostRatio: nan}
}

// close stops the timers and unlocks the folder. It does nothing if k is nil or closed.
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
