package standin

// slidingWork is the sum of the work that arrived at a server within a sliding window.
type slidingWork struct {
	span    Time         // length of the window
	sum     Time         // of the samples
	samples []workSample // in the window, oldest first
}

// workSample is work that arrived at an instant.
type workSample struct {
	at   Time
	work Time
}

// add records work and returns the sum over the window that ends at now.
func (s *slidingWork) add(now, work Time) Time {
	expired := 0
	for expired < len(s.samples) && s.samples[expired].at <= now-s.span {
		s.sum -= s.samples[expired].work
		expired++
	}
	s.samples = append(s.samples[expired:], workSample{now, work})
	s.sum += work
	return s.sum
}
