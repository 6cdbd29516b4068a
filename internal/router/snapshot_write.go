package router

import (
	"errors"
	"io/fs"

	"starlingwinch/decide"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/snapshot"
)

// Limits of one write.
const (
	maxCachesPerTurn = 200   // caches gathered in one turn of the loop
	maxKeysPerWrite  = 8_000 // keys scanned for one write
)

// snapshotWrite is the state of gathering a snapshot, which takes several turns if there are many caches.
type snapshotWrite struct {
	gathering      *snapshot.Snapshot // gathered so far; nil between writes
	gatheredUpTo   string             // the last cache read for gathering
	endpointBuffer []decide.EndpointSnapshot

	keyScanBudget   int      // keys that this write may still scan
	keysScannedUpTo string   // the last cache whose keys were scanned, in this write or the previous one
	keyBuffer       []uint64 // the keys of this write
}

// finalWriteState is the progress of the final write of a drain.
type finalWriteState uint8

const (
	finalWriteNotStarted finalWriteState = iota
	finalWriteRunning
	finalWriteDone // or timed out
)

// startWrite begins a write and sets the timer for the next one, after WriteInterval. It begins no write while gathering or disk
// work is running. It does nothing once the final write has started or the keeper is closed. It also drops unrestored values that
// have expired.
func (k *snapshotKeeper) startWrite() {
	if k.finalState != finalWriteNotStarted || k.closed {
		return
	}
	now := k.router.m.Now()
	k.writeTimer = k.router.m.At(now+k.cfg.WriteInterval.Microseconds(), k.startWrite)
	if now > k.unrestoredExpiry {
		k.unrestored = nil
	}
	if k.diskBusy || k.gathering != nil {
		k.checkDiskSpeed(now)
		return
	}
	k.beginGathering()
	k.gatherNext()
}

// checkDiskSpeed logs a slow disk, once until the disk is fast again.
func (k *snapshotKeeper) checkDiskSpeed(now Time) {
	if k.diskBusy && !k.slowDiskLogged && now-k.diskBusySince > slowDiskThreshold {
		k.slowDiskLogged = true
		k.router.logger.Warn("snapshot disk is slow", "busy_us", now-k.diskBusySince)
	}
}

// beginGathering resets the state of gathering for a new snapshot.
func (k *snapshotKeeper) beginGathering() {
	k.gathering = &snapshot.Snapshot{At: k.router.m.Wall(), Router: k.router.decider.SharedSnapshot()}
	k.gathering.Caches = make([]snapshot.Endpoint, 0, len(k.router.endpoints))
	k.gatheredUpTo = ""
	k.keyScanBudget = maxKeysPerWrite
	k.keyBuffer = make([]uint64, 0, maxKeysPerWrite)
}

// gatherNext gathers one part of the snapshot per turn, and writes the snapshot when all parts are gathered.
func (k *snapshotKeeper) gatherNext() {
	if k.closed || k.finalState != finalWriteNotStarted || k.gathering == nil {
		k.gathering = nil
		return
	}
	if k.gatherPart() {
		k.router.m.Post(k.gatherNext)
		return
	}
	k.writeGathered(func() {})
}

// gatherPart gathers the next maxCachesPerTurn caches, and reports whether there may be more.
func (k *snapshotKeeper) gatherPart() (more bool) {
	part := k.router.decider.AppendEndpointSnapshots(k.endpointBuffer[:0], k.gatheredUpTo, maxCachesPerTurn)
	k.endpointBuffer = part
	for i := range part {
		k.gatherEndpoint(&part[i])
	}
	if len(part) == maxCachesPerTurn {
		return true
	}
	if k.keyScanBudget > 0 {
		k.keysScannedUpTo = "" // all keys were scanned, so the next write begins with the first cache
	}
	return false
}

// gatherEndpoint adds a cache to the snapshot if the cache is still listed.
func (k *snapshotKeeper) gatherEndpoint(e *decide.EndpointSnapshot) {
	k.gatheredUpTo = e.ID
	listed := k.router.endpoints[e.ID]
	if listed == nil {
		return
	}
	e.StartedAt = listed.listedStart
	entry := snapshot.Endpoint{EndpointSnapshot: *e, At: k.gathering.At}
	if keys, ok := k.gatherKeys(e.ID); ok {
		entry.CachedKeys = keys
		entry.KeysAt = k.gathering.At
	}
	k.gathering.Caches = append(k.gathering.Caches, entry)
}

// gatherKeys returns a cache's keys, if this write may still scan that many keys. For the other caches, the store retains the keys
// of an earlier write.
func (k *snapshotKeeper) gatherKeys(id string) (keys []uint64, ok bool) {
	if id <= k.keysScannedUpTo || k.keyScanBudget <= 0 {
		return nil, false
	}
	count := k.router.decider.CachedKeyCount(id)
	if count > maxKeysPerWrite { // too many to scan in one turn
		k.keysScannedUpTo = id
		return nil, false
	}
	k.keyScanBudget -= count
	if k.keyScanBudget <= 0 {
		return nil, false
	}
	k.keysScannedUpTo = id
	from := len(k.keyBuffer)
	k.keyBuffer = k.router.decider.AppendCachedKeys(k.keyBuffer, id, k.cfg.KeysPerEndpoint)
	return k.keyBuffer[from:len(k.keyBuffer):len(k.keyBuffer)], true
}

// writeGathered writes the gathered snapshot outside the loop, and then calls done, also after an error.
func (k *snapshotKeeper) writeGathered(done func()) {
	gathered := *k.gathering
	k.gathering = nil
	now := k.router.m.Wall()
	var notes []string
	var err error
	k.markDiskBusy()
	k.router.m.OnDisk(
		func(disk machine.Disk) { notes, err = k.writeToDisk(disk, gathered, now) },
		func() {
			k.writeEnded(notes, err)
			done()
		})
}

// writeToDisk writes a snapshot. It runs outside the loop, and therefore uses only the store and the configuration of k.
func (k *snapshotKeeper) writeToDisk(disk machine.Disk, gathered snapshot.Snapshot, now Time) (notes []string, err error) {
	maxAge := k.cfg.MaxAge.Microseconds()
	for i := range gathered.Caches { // sorted here because sorting takes too long for a turn of the loop
		e := &gathered.Caches[i]
		e.CachedKeys = decide.SortKeys(e.CachedKeys, k.cfg.KeysPerEndpoint)
	}
	if !k.store.Locked() {
		if _, _, notes, err = k.store.Open(disk, now, maxAge); err != nil {
			return notes, err
		}
	}
	err = k.store.Write(disk, gathered, now, maxAge)
	if errors.Is(err, fs.ErrNotExist) {
		k.store.Close() // the folder was deleted; a recreated folder must be locked again
	}
	return notes, err
}

// writeEnded handles the result of a write, on the loop.
func (k *snapshotKeeper) writeEnded(notes []string, err error) {
	k.diskBusy = false
	if k.router.m.Now()-k.diskBusySince < slowDiskThreshold {
		k.slowDiskLogged = false
	}
	if err == nil {
		k.completedWrites++
	}
	if !k.closed {
		k.logNotes(notes)
		k.logStoreError(err)
	}
}

// writeFinal writes the final snapshot of a drain, and calls done when the write has ended or after finalWriteTimeout. Further
// calls share the same write. If k is nil or no snapshot is written at the end, writeFinal calls done at once.
func (k *snapshotKeeper) writeFinal(done func()) {
	if k == nil || !k.cfg.WriteAtEnd || k.closed || k.finalState == finalWriteDone {
		done()
		return
	}
	k.onFinalWrite = append(k.onFinalWrite, done)
	if k.finalState == finalWriteRunning {
		return
	}
	k.finalState = finalWriteRunning
	timeout := k.router.m.At(k.router.m.Now()+finalWriteTimeout, k.finalWriteEnded)
	k.beginGathering()
	for k.gatherPart() { // in one turn, as the loop has no other work left
	}
	k.writeGathered(func() {
		timeout.Stop()
		k.finalWriteEnded()
	})
}

// finalWriteEnded calls, once, the functions that wait for the final write.
func (k *snapshotKeeper) finalWriteEnded() {
	if k.finalState == finalWriteDone {
		return
	}
	k.finalState = finalWriteDone
	for _, done := range k.onFinalWrite {
		done()
	}
}
