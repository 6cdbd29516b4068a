package standin

// slidingWork is the sum of the work that a server was sent within a sliding window.
type slidingWork struct {
	span    Time
	sum     Time
	samples []workSample
}

// workSample is work that was sent at an instant.
type workSample struct{ at, work Time }

// add records work and returns the sum over the window that ends now.
func (o *slidingWork) add(now, work Time) Time {
	expired := 0
	for expired < len(o.samples) && o.samples[expired].at <= now-o.span {
		o.sum -= o.samples[expired].work
		expired++
	}
	o.samples = append(o.samples[expired:], workSample{now, work})
	o.sum += work
	return o.sum
}
