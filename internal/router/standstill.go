package router

import (
	"log/slog"

	"starlingwinch/internal/eventlog"
)

// Minimum lengths of a pause of the loop after which the endpoint list may be too old.
const (
	watchPauseDivisor = 4      // of the drain grace, if lists are watched
	pushPauseDivisor  = 2      // if lists are pushed, since polling the agent may take half of the grace: see retry.Timeouts
	minPause          = 10_000 // microseconds
)

// listBehindInterval is the time between two checks whether the endpoint list is current, in microseconds.
const listBehindInterval = 5_000

// checkListAfterPauses makes the router check for endpoint list changes before anything else when its loop resumes after a pause.
//
// After a pause of the process, requests and list changes are both waiting to be read, in no defined order. Without the check,
// requests that are read first would be sent to a cache that discovery removed long ago.
func (r *Router) checkListAfterPauses() {
	divisor := Time(watchPauseDivisor)
	if !r.cfg.Settings.WatchRequired {
		divisor = pushPauseDivisor
	}
	r.m.OnResume(max(r.cfg.Settings.DrainGrace/divisor, minPause), r.afterPause)
}

// afterPause pauses new attempts while there are unread list changes. The machine calls it after a pause of the loop.
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

// resumeWhenCurrent resumes attempts if the list is current, and otherwise checks again after listBehindInterval.
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
