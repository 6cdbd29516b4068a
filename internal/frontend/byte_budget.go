package frontend

// Division of the budget among connections.
const (
	// reservedDivisor divides the budget. The quotient is reserved for connections that hold nothing, so that connections that
	// hold much never take all memory.
	reservedDivisor = 8
	// quotaMultiple is the multiple of the free bytes up to which one connection may hold bytes. One connection can take
	// 3/4 of the budget, and N connections 3/(3N+1) each (a dynamic threshold, Choudhury and Hahne).
	quotaMultiple = 3
)

// byteBudget limits the total number of bytes that all connections of a server hold.
type byteBudget struct {
	used  int64 // may exceed limit, by slots and by replies of up to maxUncountedReplyBytes each
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

// reserveWithinQuota reserves n more bytes for a connection that holds bytes already. It reports false and reserves nothing if the
// connection would then exceed its quota.
func (b *byteBudget) reserveWithinQuota(held, n int64) bool {
	left := b.limit - b.used - n
	if left < b.limit/reservedDivisor || held+n > quotaMultiple*left {
		return false
	}
	b.used += n
	return true
}

// isExhausted reports whether half of the reserved bytes are used, so that no further reply should become due.
func (b *byteBudget) isExhausted() bool { return b.limit-b.used < b.limit/reservedDivisor/2 }

// release returns n reserved bytes to the budget.
func (b *byteBudget) release(n int64) { b.used -= n }
