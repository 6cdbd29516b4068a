package policy

import (
	"slices"

	"starlingwinch/internal/plugin"
)

// Counts are what has happened at a hook.
type Counts struct {
	Asked     int  // calls, looks among them
	Passed    int  // verdicts
	Refused   int  //
	Ended     int  // verdicts that fail the request
	Failed    int  // calls that gave no verdict
	Late      int  // requests that waited their time
	Skipped   int  // requests that found the hook out, or its queue full
	Unseen    int  // looks that did
	Restarts  int  // workers that were lost
	Suspended int  // suspensions
	Spent     Time // of its core
}

// Row is one hook of the present set.
type Row struct {
	Name   string
	State  string // "up", "starting" or "suspended"
	Calls  int    // that wait for it or run
	Counts Counts
	Tags   []Tag // in the order of their names
}

// Tag is a name that a hook gives requests.
type Tag struct {
	Name  string
	Times int
}

// Others is the tag under which those are counted that are too many.
const Others = "(others)"

// count counts a verdict.
func (h *hook) count(v *plugin.Verdict) {
	switch v.Say {
	case plugin.Pass:
		h.Counts.Passed++
	case plugin.Refuse:
		h.Counts.Refused++
	case plugin.Fail:
		h.Counts.Ended++
	}
	for _, t := range v.Tags {
		if _, known := h.tags[t]; !known && len(h.tags) >= mostTags {
			t = Others
		}
		h.tags[t]++
	}
}

// Status tells of the hooks of the present set, in their order.
func (p *Policy) Status() []Row {
	if p.present == nil {
		return nil
	}
	var rows []Row
	for _, h := range p.present.hooks {
		row := Row{Name: h.Name, State: "up", Calls: h.load(), Counts: h.Counts}
		switch {
		case h.restUntil > 0:
			row.State = "suspended"
		case h.worker == nil || !h.worker.up:
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
