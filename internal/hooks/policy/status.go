package policy

import (
	"cmp"
	"slices"

	"starlingwinch/internal/plugin"
)

// Counts holds the event counts of a hook since its set was created.
type Counts struct {
	Calls               int  // calls, including notifications
	Passed              int  // verdicts that let a request pass
	Rejected            int  // verdicts that rejected a request
	FailedRequests      int  // verdicts that failed a request
	FailedCalls         int  // calls that returned no verdict
	TimedOut            int  // requests without a verdict of the hook at their deadline
	Skipped             int  // requests not accepted (no worker, CPU quota exceeded or queue full), and calls removed by failQueued
	MissedNotifications int  // notifications that the hook did not accept
	Restarts            int  // workers that failed
	Suspended           int  // number of suspensions
	RunTime             Time // total run time of calls
}

// State is the state of a hook.
type State string

// States of a hook.
const (
	StateUp        State = "up"        // the worker has loaded the hook
	StateStarting  State = "starting"  // the worker has not loaded the hook yet
	StateSuspended State = "suspended" // the hook failed too often
)

// HookStatus is the status of one hook of the active set.
type HookStatus struct {
	Name         string
	State        State
	PendingCalls int // calls that are queued or in flight
	Counts       Counts
	Tags         []Tag // sorted by name
}

// Tag is the name of a tag that a hook sets on requests, and the number of its uses.
type Tag struct {
	Name  string
	Count int
}

// OtherTags is the name that counts all tags beyond the first maxTagNames names.
const OtherTags = "(others)"

// maxTagNames is the maximum number of tag names that are counted separately for one hook.
const maxTagNames = 64

// countVerdict adds a verdict and its tags to the counts.
func (h *hook) countVerdict(v *plugin.Verdict) {
	switch v.Decision {
	case plugin.Pass:
		h.counts.Passed++
	case plugin.Reject:
		h.counts.Rejected++
	case plugin.Fail:
		h.counts.FailedRequests++
	}
	for _, name := range v.Tags {
		_, known := h.tags[name]
		if !known && len(h.tags) >= maxTagNames {
			name = OtherTags
		}
		h.tags[name]++
	}
}

// Status returns the status of each hook of the active set, in the order in which the router calls the hooks.
func (p *Policy) Status() []HookStatus {
	if p.active == nil {
		return nil
	}
	var all []HookStatus
	for _, h := range p.active.hooks {
		all = append(all, h.status())
	}
	return all
}

// status returns the status of the hook.
func (h *hook) status() HookStatus {
	status := HookStatus{Name: h.Name, State: StateUp, PendingCalls: h.pendingCalls(), Counts: h.counts}
	switch {
	case h.suspension.active():
		status.State = StateSuspended
	case h.worker == nil || !h.worker.loaded:
		status.State = StateStarting
	}
	for name, n := range h.tags { // any order: sorted below
		status.Tags = append(status.Tags, Tag{name, n})
	}
	slices.SortFunc(status.Tags, func(a, b Tag) int { return cmp.Compare(a.Name, b.Name) })
	return status
}
