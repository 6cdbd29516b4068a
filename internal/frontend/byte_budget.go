package frontend

// byteBudget bounds the bytes that are buffered for all connections.
type byteBudget struct {
	used  int64 // may exceed limit by replies of up to maxUncountedReplyBytes
	limit int64
}

// reserve takes n bytes, if there are so many left, and reports whether there are.
func (b *byteBudget) reserve(n int64) bool {
	if b.used+n > b.limit {
		return false
	}
	b.used += n
	return true
}

// release gives back bytes that were reserved.
func (b *byteBudget) release(n int64) { b.used -= n }
