package standin

import "starlingwinch/internal/machine"

// fetch reads a key that is not in memory from the store.
type fetch struct {
	cache     *Cache
	key       string
	storeCall *storeCall
	waiting   []*command    // reads that wait for the fetch
	timer     machine.Timer // fetch timeout; nil without one
	stale     bool          // the key was written during the fetch: the value is served but not stored
	finished  bool
}

// fetching returns the oldest fetch in flight for a key, or nil.
func (c *Cache) fetching(key string) *fetch {
	for _, f := range c.fetches {
		if f.key == key {
			return f
		}
	}
	return nil
}

// newFetch starts a fetch.
func newFetch(c *Cache, key string) *fetch {
	f := &fetch{cache: c, key: key}
	c.fetches = append(c.fetches, f)
	cold := ""
	if c.WarmingUp() {
		cold = c.options.Name
	}
	f.storeCall = c.store.start(key, false, cold, f.done)
	if c.options.FetchTimeout > 0 {
		f.timer = c.m.At(c.m.Now()+c.options.FetchTimeout, func() {
			f.storeCall.abandon()
			f.done(false)
		})
	}
	return f
}

// done ends the fetch and resumes the requests that wait for it.
func (f *fetch) done(ok bool) {
	if f.finished {
		return
	}
	f.finish()
	if ok && !f.stale {
		f.cache.memory.add(f.key)
	}
	for _, cmd := range f.waiting {
		cmd.fetchDone(ok)
	}
}

// finish marks the fetch as finished and removes it from the cache's list.
func (f *fetch) finish() {
	f.finished = true
	if f.timer != nil {
		f.timer.Stop()
	}
	f.cache.fetches = removeFirst(f.cache.fetches, f)
}

// removeWaiter removes a cancelled request. A fetch without waiting requests is abandoned.
func (f *fetch) removeWaiter(cmd *command) {
	f.waiting = removeFirst(f.waiting, cmd)
	if len(f.waiting) == 0 && !f.finished {
		f.abandon()
	}
}

// abandon ends the fetch without a result and abandons its call to the store.
func (f *fetch) abandon() {
	f.finish()
	f.storeCall.abandon()
}
