package endpointsource

import (
	"context"

	"starlingwinch/internal/discovery"
	"starlingwinch/internal/endpoints"
)

// maxLoggedFaults limits the number of invalid entries of one list that are logged individually.
const maxLoggedFaults = 20

// logMerger writes a log line that the merger has returned.
func (s *Sources) logMerger(line endpoints.Log) {
	s.logger.LogAttrs(context.Background(), line.Level, line.Message, line.Attrs...)
}

// logFaults logs the invalid entries of a list.
func (s *Sources) logFaults(list *discovery.List) {
	for i, fault := range list.Faults {
		if i == maxLoggedFaults {
			s.logger.Warn("endpoint list has more faults", "faults", len(list.Faults)-i)
			return
		}
		s.logger.Warn("endpoint list has a fault", "fault", fault)
	}
}
