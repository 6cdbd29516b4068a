package endpointsource

import (
	"context"

	"starlingwinch/internal/discovery"
	"starlingwinch/internal/endpoints"
)

// maxLoggedFaults bounds the invalid entries of one list that are logged one by one.
const maxLoggedFaults = 20

// logMerger writes a line of the merger.
func (s *Sources) logMerger(line endpoints.Log) {
	s.logger.LogAttrs(context.Background(), line.Level, line.Message, line.Attrs...)
}

// logFaults logs the entries of a list that can't be read.
func (s *Sources) logFaults(list *discovery.List) {
	for i, fault := range list.Faults {
		if i == maxLoggedFaults {
			s.logger.Warn("endpoint list has more faults", "faults", len(list.Faults)-i)
			return
		}
		s.logger.Warn("endpoint list has a fault", "fault", fault)
	}
}
