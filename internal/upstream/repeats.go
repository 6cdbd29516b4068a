package upstream

import "hash/maphash"

// Answers carry no mark of the request that they are for. The danger: a second copy of an answer comes so
// late that the connection carries the next request already. Taken for the answer to that, it shifts the
// connection by one: from then on each request gets the answer to the one before it. What gives it away is that it equals the
// answer before, though another key was asked for.

const (
	commonAt   = .1 // share of answers from which equal ones in a row are this cache's way
	commonOver = 64 // answers over which the share is taken
	provenFor  = 60_000_000
)

var seed = maphash.MakeSeed()

// answer is what is kept of the latest one on a connection.
type answer struct {
	key, hash uint64
	size      int
}

// equals is what a cache's answers say of answers that equal the one before.
type equals struct {
	seen   int     // answers to another key than the one before, up to commonOver
	share  float64 // of those that are equal, over about so many
	proven Time    // when a copy of an answer was last seen where nothing was asked; 0 for never
}

// repeats reports whether an answer is to be taken for a copy of the one before on its connection, and
// keeps it for the next. A cache that often says the same of different keys is believed; so is an answer to what may do
// harm if it is wrongly given up, but for a cache that has been seen to send copies.
func (c *conn) repeats(w Request, value []byte) bool {
	if len(value) == 0 {
		return false
	}
	last := c.last
	c.last = answer{w.KeyHash(), maphash.Bytes(seed, value), len(value)}
	if last.size == 0 || last.key == c.last.key {
		return false
	}
	e := &c.cache.equals
	same := last.hash == c.last.hash && last.size == c.last.size
	common := e.share > commonAt
	e.seen = min(e.seen+1, commonOver)
	if e.share -= e.share / float64(e.seen); same {
		e.share += 1 / float64(e.seen)
	}
	proven := e.proven > 0 && c.cache.pool.m.Now()-e.proven < provenFor
	return same && !common && (!w.NonIdempotent() || proven)
}

// stray looks at what has come on a connection on which nothing was asked.
func (c *conn) stray() {
	p := c.cache.pool
	n, err := c.nc.Read(p.in)
	if err != nil || c.last.size == 0 {
		return
	}
	rep := &p.rep
	if used, err := rep.Next(p.in[:n]); err == nil && used > 0 && len(rep.Value) == c.last.size &&
		maphash.Bytes(seed, rep.Value) == c.last.hash {
		c.cache.equals.proven = p.m.Now()
	}
}
