package eureka

const (
	maxDeltaGap          = 60 * second // servers forget changes after 3 min: a longer gap takes a full list
	noDeltasAfterReject  = 10 * minute // for a server that rejects deltas
	noDeltasAfterFailure = minute      // for a server whose deltas are inconsistent
	maxDeltaMismatches   = 3           // inconsistent deltas in a row, each followed by a full list
	largeApplicationSize = 64 << 10    // bytes on the wire of an application's list, beyond which deltas are cheaper
)

// deltaState says whether the changes can be fetched in place of the full list.
type deltaState struct {
	needFull             bool  // the next call must fetch the full list
	hasFullRegistry      bool  // the table holds all of the registry, to which deltas apply
	lastFullAt           Time  // the latest full list
	version              int64 // of the latest delta since then; 0 for none
	mismatches           int   // inconsistent deltas in a row
	isApplicationLarge   bool  // the application's own list is so large that deltas are cheaper
	isRegistryUnreadable bool  // the full list of the registry could not be fetched, so that deltas are not used
}

// isApplicable reports whether a delta can follow the latest response.
func (d *deltaState) isApplicable(now, answeredAt, fullListInterval Time) bool {
	return !d.needFull && d.hasFullRegistry && now-answeredAt < maxDeltaGap && now-d.lastFullAt < fullListInterval
}

// usesDeltas reports whether a server is polled for the registry's deltas. An application's own list is all that is wanted, and
// small; the registry's deltas, and the full lists that they are checked against, hold all applications.
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

// recordMismatch has the full list fetched after a delta that is inconsistent with the table. After several in a row, the server
// is not polled for deltas for a while, as each would cost a full list too.
func (c *Client) recordMismatch(k *call, list *List, isOlder bool) {
	c.deltas.needFull = true
	c.status.Mismatches++
	c.deltas.mismatches++
	if c.deltas.mismatches < maxDeltaMismatches {
		return
	}
	c.deltas.mismatches = 0
	k.server.noDeltasUntil = c.m.Now() + noDeltasAfterFailure
	c.logDeltasInconsistent(k.server, list, isOlder)
}
