package endpointsource

import (
	"fmt"

	"starlingwinch/internal/discovery"
	"starlingwinch/internal/endpoints"
)

// maxFileSize is the maximum size of the file with the fixed list, in bytes.
const maxFileSize = 8 << 20

// ReloadFile reads the file with the fixed list. The file is parsed outside the event loop; an invalid file changes no endpoint.
func (s *Sources) ReloadFile() {
	if !isInUse(&s.cfg, endpoints.File) {
		return
	}
	name := s.cfg.Endpoints.File
	raw, err := s.m.ReadFile(name, maxFileSize)
	var list discovery.List
	parse := func() {
		if err != nil {
			return
		}
		list, err = discovery.Parse(raw)
		if err != nil {
			err = fmt.Errorf("%s: %w", name, err)
		}
	}
	s.m.Work(parse, func() { s.onFileRead(&list, err) })
}

// onFileRead passes the file's list, or the error from reading the file, to the merger.
func (s *Sources) onFileRead(list *discovery.List, err error) {
	if s.stopped {
		return
	}
	if err != nil {
		s.handle(&endpoints.SourceUnavailable{Source: endpoints.File, Reason: err.Error()})
	} else {
		s.logFaults(list)
		update := listUpdate(endpoints.File, list)
		update.Full = true
		s.handle(update)
	}
	s.owner.ProcessEvents()
}
