package eureka

const (
	maxDeltaGap          = 60 * second // after a longer gap the full list is fetched; servers forget changes after 3 min
	noDeltasAfterReject  = 10 * minute // for a server that rejects deltas
	noDeltasAfterFailure = minute      // for a server whose deltas are inconsistent
	maxDeltaMismatches   = 3           // consecutive inconsistent deltas, each followed by a full list
	largeApplicationSize = 64 << 10    // bytes on the wire of a filtered list, above which deltas are cheaper
)

// deltaState tracks whether the client can fetch a delta in place of the full list.
type deltaState struct {
	needFull             bool  // the next call must fetch the full list
	hasFullRegistry      bool  // the table holds the full registry, to which deltas apply
	lastFullAt           Time  // time of the latest full list
	version              int64 // of the latest delta since the full list; 0 for none
	mismatches           int   // consecutive inconsistent deltas
	isApplicationLarge   bool  // the filtered list is so large that deltas are cheaper
	isRegistryUnreadable bool  // the full list of the registry could not be fetched, so deltas are not used
}

// isApplicable reports whether a delta can follow the latest response.
func (d *deltaState) isApplicable(now, lastResponseAt, fullListInterval Time) bool {
	return !d.needFull && d.hasFullRegistry && now-lastResponseAt < maxDeltaGap && now-d.lastFullAt < fullListInterval
}

// usesDeltas reports whether a server is polled for the registry's deltas. In DeltaAuto mode, a small filtered list is polled
// in full: it holds only the wanted instances, while deltas and the full lists they are checked against hold all applications.
func (c *Client) usesDeltas(s *server, now Time) bool {
	switch c.options.Delta {
	case DeltaNever:
		return false
	case DeltaAuto:
		if c.isFiltered() && (!c.deltas.isApplicationLarge || c.deltas.isRegistryUnreadable) {
			return false
		}
	}
	return now >= s.noDeltasUntil
}

// recordMismatch requests the full list after a delta that is inconsistent with the table. After maxDeltaMismatches consecutive
// mismatches, the server is not polled for deltas for noDeltasAfterFailure, since each mismatch also costs a full list.
func (c *Client) recordMismatch(call *listCall, list *List, isOlder bool) {
	c.deltas.needFull = true
	c.status.Mismatches++
	c.deltas.mismatches++
	if c.deltas.mismatches < maxDeltaMismatches {
		return
	}
	c.deltas.mismatches = 0
	call.server.noDeltasUntil = c.m.Now() + noDeltasAfterFailure
	c.logDeltasInconsistent(call.server, list, isOlder)
}
