package policy

import (
	"cmp"
	"slices"

	"starlingwinch/internal/plugin"
)

// Counts are what has happened at a hook since its set was loaded.
type Counts struct {
	Calls               int  // calls, notifications among them
	Passed              int  // verdicts that let a request pass
	Rejected            int  // verdicts that reject a request
	FailedRequests      int  // verdicts that fail a request
	FailedCalls         int  // calls that gave no verdict
	TimedOut            int  // requests that waited to their deadline
	Skipped             int  // requests that found the hook without a worker, beyond its CPU fraction or its queue full
	MissedNotifications int  // notifications that did
	Restarts            int  // workers that were lost
	Suspended           int  // suspensions
	RunTime             Time // of its calls
}

// State is whether a hook takes calls.
type State string

// The states of a hook.
const (
	StateUp        State = "up"        // its worker has loaded it
	StateStarting  State = "starting"  // its worker has not loaded it yet
	StateSuspended State = "suspended" // it failed too often
)

// HookStatus is the status of one hook of the active set.
type HookStatus struct {
	Name         string
	State        State
	PendingCalls int // calls that are queued or in flight
	Counts       Counts
	Tags         []Tag // in the order of their names
}

// Tag is a name that a hook gives requests, and how often it did.
type Tag struct {
	Name  string
	Count int
}

// OtherTags is the tag that counts those beyond the bound on names.
const OtherTags = "(others)"

// maxTagNames bounds the names of tags that are counted by themselves for one hook.
const maxTagNames = 64

// countVerdict counts a verdict and its tags.
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

// Status returns the status of each hook of the active set, in the order in which they are called.
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

// status returns the hook's status.
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
