package main

import (
	"sync"
	"time"
)

// applied is one time that a write was carried out.
type applied struct {
	cache, id string
	at        time.Time // when its last byte came
}

// effects is the caches' common memory of the writes that were carried out, by idempotency key. A repeat is dropped within the
// window from the arrival of the write that was carried out.
type effects struct {
	window time.Duration

	mu    sync.Mutex
	byKey map[string][]applied
}

// newEffects returns an empty memory.
func newEffects(window time.Duration) *effects {
	return &effects{window: window, byKey: map[string][]applied{}}
}

// apply carries a write out unless it repeats one that the caches remember. It reports whether the write was carried out.
func (e *effects) apply(cmd *command) bool {
	k := cmd.meta("k")
	if cmd.verb() != "C.SET" || k == "" {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := e.byKey[k]
	if len(runs) > 0 && cmd.lastByte.Before(runs[len(runs)-1].at.Add(e.window)) {
		cmd.conn.cache.lab.notef("cache %s: drops the repeat %s of %s", cmd.conn.cache.name, cmd.id(), k)
		return false
	}
	e.byKey[k] = append(runs, applied{cmd.conn.cache.name, cmd.id(), cmd.lastByte})
	cmd.conn.cache.lab.notef("cache %s: carries out %s of %s, time %d", cmd.conn.cache.name, cmd.id(), k, len(runs)+1)
	return true
}
