package policy

import (
	"slices"

	"starlingwinch/internal/plugin"
)

// Counts are what has happened at a hook.
type Counts struct {
	Calls               int  // calls, looks among them
	Passed              int  // verdicts
	Rejected            int  //
	FailedRequests      int  // verdicts that fail the request
	FailedCalls         int  // calls that gave no verdict
	TimedOut            int  // requests that waited their time
	Skipped             int  // requests that found the hook out, or its queue full
	MissedNotifications int  // looks that did
	Restarts            int  // workers that were lost
	Suspended           int  // suspensions
	RunTime             Time // of its core
}

// HookStatus is one hook of the present set.
type HookStatus struct {
	Name         string
	State        string // "up", "starting" or "suspended"
	PendingCalls int    // that wait for it or run
	Counts       Counts
	Tags         []Tag // in the order of their names
}

// Tag is a name that a hook gives requests.
type Tag struct {
	Name  string
	Count int
}

// OtherTags is the tag under which those are counted that are too many.
const OtherTags = "(others)"

// countVerdict counts a verdict.
func (h *hook) countVerdict(v *plugin.Verdict) {
	switch v.Decision {
	case plugin.Pass:
		h.Counts.Passed++
	case plugin.Reject:
		h.Counts.Rejected++
	case plugin.Fail:
		h.Counts.FailedRequests++
	}
	for _, t := range v.Tags {
		if _, known := h.tags[t]; !known && len(h.tags) >= maxTagNames {
			t = OtherTags
		}
		h.tags[t]++
	}
}

// Status tells of the hooks of the present set, in their order.
func (p *Policy) Status() []HookStatus {
	if p.active == nil {
		return nil
	}
	var rows []HookStatus
	for _, h := range p.active.hooks {
		row := HookStatus{Name: h.Name, State: "up", PendingCalls: h.pendingCalls(), Counts: h.Counts}
		switch {
		case h.suspendedUntil > 0:
			row.State = "suspended"
		case h.worker == nil || !h.worker.loaded:
			row.State = "starting"
		}
		for name, n := range h.tags { // any order
			row.Tags = append(row.Tags, Tag{name, n})
		}
		slices.SortFunc(row.Tags, func(a, b Tag) int {
			if a.Name < b.Name {
				return -1
			}
			return 1
		})
		rows = append(rows, row)
	}
	return rows
}
