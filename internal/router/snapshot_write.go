package router

import (
	"errors"
	"io/fs"

	"starlingwinch/decide"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/snapshot"
)

// Bounds of one write.
const (
	maxCachesPerTurn = 200   // caches that are gathered in one turn of the loop
	maxKeysPerWrite  = 8_000 // keys that are looked through for one write
)

// snapshotWrite is the state of gathering a snapshot. It takes several turns where there are many caches.
type snapshotWrite struct {
	gathering      *snapshot.Snapshot // what was gathered so far; nil between writes
	gatheredUpTo   string             // the last cache that is in it
	endpointBuffer []decide.EndpointSnapshot

	keyScanBudget   int      // keys that may still be looked through for this write
	keysScannedUpTo string   // the last cache whose keys were looked through, in this write or the one before
	keyBuffer       []uint64 // holds the keys of this write
}

// finalWriteState is how far the last write of a drain has come.
type finalWriteState uint8

const (
	finalWriteNotStarted finalWriteState = iota
	finalWriteRunning
	finalWriteDone // or its time is over
)

// startWrite begins a write and sets the time of the next, each WriteInterval. It writes nothing while a write is under way.
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

// checkDiskSpeed logs, once, that the disk is slow.
func (k *snapshotKeeper) checkDiskSpeed(now Time) {
	if k.diskBusy && !k.slowDiskLogged && now-k.diskBusySince > slowDiskThreshold {
		k.slowDiskLogged = true
		k.router.logger.Warn("snapshot disk is slow", "busy_us", now-k.diskBusySince)
	}
}

// beginGathering begins to gather a snapshot.
func (k *snapshotKeeper) beginGathering() {
	k.gathering = &snapshot.Snapshot{At: k.router.m.Wall(), Router: k.router.decider.SharedSnapshot()}
	k.gathering.Caches = make([]snapshot.Endpoint, 0, len(k.router.endpoints))
	k.gatheredUpTo = ""
	k.keyScanBudget = maxKeysPerWrite
	k.keyBuffer = make([]uint64, 0, maxKeysPerWrite)
}

// gatherNext gathers a part in this turn and the rest in later ones, and then writes the snapshot.
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
		k.keysScannedUpTo = "" // all keys were looked through: the next write begins with the first cache
	}
	return false
}

// gatherEndpoint adds one cache to the snapshot, unless the list does not name it any more.
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

// gatherKeys returns a cache's keys where this write still has the time to look through them. The store leaves the keys of
// the other caches as an earlier write had them.
func (k *snapshotKeeper) gatherKeys(id string) (keys []uint64, ok bool) {
	if id <= k.keysScannedUpTo || k.keyScanBudget <= 0 {
		return nil, false
	}
	count := k.router.decider.CachedKeyCount(id)
	if count > maxKeysPerWrite { // no single turn could look through them
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

// writeGathered writes the gathered snapshot beside the loop, and calls done after that, whatever came of it.
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

// writeToDisk writes a snapshot. It runs beside the loop and uses nothing of the keeper but its store and configuration.
func (k *snapshotKeeper) writeToDisk(disk machine.Disk, gathered snapshot.Snapshot, now Time) (notes []string, err error) {
	maxAge := k.cfg.MaxAge.Microseconds()
	for i := range gathered.Caches { // sorted here, as that takes longer than a turn of the loop may
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
		k.store.Close() // the folder is gone: one that is made anew has to be locked again
	}
	return notes, err
}

// writeEnded takes the result of a write, on the loop.
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
		k.noteStoreError(err)
	}
}

// writeFinal writes a last snapshot at the end of a drain, and calls done then or after finalWriteTimeout. Further calls
// share that write. Without snapshots, done is called at once; k may be nil.
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
	for k.gatherPart() { // in one turn, as the loop has nothing else to do any more
	}
	k.writeGathered(func() {
		timeout.Stop()
		k.finalWriteEnded()
	})
}

// finalWriteEnded calls all that wait for the last snapshot, once.
func (k *snapshotKeeper) finalWriteEnded() {
	if k.finalState == finalWriteDone {
		return
	}
	k.finalState = finalWriteDone
	for _, done := range k.onFinalWrite {
		done()
	}
}
