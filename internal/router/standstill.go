package router

import (
	"log/slog"

	"starlingwinch/internal/eventlog"
)

const (
	standstillPart  = 4      // of the drain grace, after which the list may have grown too old
	agentPart       = 2      // ... where lists are pushed: half of the grace is for asking the agent as usual, see retry.Spans
	shortStandstill = 10_000 // ... at least
	behindPause     = 5_000  // between looks at what discovery has written
)

// watchStandstill has the router look for news of discovery first where its loop goes on after a pause.
//
// A process that stood still finds requests and news side by side, and reads them in any order. Without the look, requests that
// are read first go to a cache of which discovery has written long ago that it leaves.
func (r *Router) watchStandstill() {
	part := Time(standstillPart)
	if !r.cfg.Settings.WatchRequired {
		part = agentPart
	}
	r.m.Resumed(max(r.cfg.Settings.DrainGrace/part, shortStandstill), r.resumed)
}

// resumed holds attempts back while there is news of discovery that was not taken in yet.
func (r *Router) resumed() {
	if r.closed || r.behind {
		return
	}
	r.sources.CatchUp()
	if !r.sources.IsBehind() {
		return
	}
	r.behind = true
	r.events.Add(eventlog.Resumed, "list-behind", slog.Int64("version", r.sources.Version()))
	r.pool.Pause()
	r.catchUp()
}

// catchUp lets attempts begin again once all that discovery has written is taken in.
func (r *Router) catchUp() {
	if r.closed || !r.behind {
		return
	}
	if r.sources.IsBehind() {
		r.m.At(r.m.Now()+behindPause, r.catchUp)
		return
	}
	r.behind = false
	r.pool.Resume()
}
