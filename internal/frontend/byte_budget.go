package frontend

// byteBudget limits the total number of bytes buffered for all connections of a server.
type byteBudget struct {
	used  int64 // may exceed limit, by replies of up to maxUncountedReplyBytes each
	limit int64
}

// reserve reserves n bytes. It reports false and reserves nothing if fewer than n bytes are left.
func (b *byteBudget) reserve(n int64) bool {
	if b.used+n > b.limit {
		return false
	}
	b.used += n
	return true
}

// release returns n reserved bytes to the budget.
func (b *byteBudget) release(n int64) { b.used -= n }
