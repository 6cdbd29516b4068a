package router

import (
	"log/slog"

	"starlingwinch/internal/eventlog"
)

// Which pauses of the loop are long enough that the endpoint list may have become too old.
const (
	watchPauseDivisor = 4      // of the drain grace, where lists are watched
	pushPauseDivisor  = 2      // where lists are pushed, as half of the grace is for polling the agent: see retry.Timeouts
	minPause          = 10_000 // microseconds
)

// listBehindInterval is the time between two checks of whether the list is current, in microseconds.
const listBehindInterval = 5_000

// watchPauses has the router check for changes of the endpoint list first where its loop goes on after a pause.
//
// A process that stood still finds requests and list changes side by side, and reads them in any order. Without the check,
// requests that are read first would go to a cache that discovery removed long ago.
func (r *Router) watchPauses() {
	divisor := Time(watchPauseDivisor)
	if !r.cfg.Settings.WatchRequired {
		divisor = pushPauseDivisor
	}
	r.m.Resumed(max(r.cfg.Settings.DrainGrace/divisor, minPause), r.afterPause)
}

// afterPause pauses new attempts while there are list changes that were not read yet. The machine calls it after a pause.
func (r *Router) afterPause() {
	if r.isStopped() || r.listBehind {
		return
	}
	r.sources.CatchUp()
	if !r.sources.IsBehind() {
		return
	}
	r.listBehind = true
	r.events.Add(eventlog.Resumed, "list-behind", slog.Int64("version", r.sources.Version()))
	r.pool.Pause()
	r.resumeWhenCurrent()
}

// resumeWhenCurrent lets attempts begin again once the list is current, and otherwise checks again later.
func (r *Router) resumeWhenCurrent() {
	if r.isStopped() || !r.listBehind {
		return
	}
	if r.sources.IsBehind() {
		r.m.At(r.m.Now()+listBehindInterval, r.resumeWhenCurrent)
		return
	}
	r.listBehind = false
	r.pool.Resume()
}
