package eureka

import "starlingwinch/internal/httpclient"

// listKind is the kind of list that a call fetches.
type listKind uint8

const (
	fullList listKind = iota
	deltaList
	listKinds // how many there are
)

// maxRetryDoublings bounds the growth of the time after which a preferred server that failed is tried again.
const maxRetryDoublings = 5

// server is the state of one of a registry's servers.
type server struct {
	url     URL
	client  *httpclient.Client
	listed  bool // it has answered with the list that is wanted
	retryAt Time // it is not called before then

	failures      int  // calls in a row that failed
	avoidUntil    Time // another server that answers is preferred until then
	failedRetries int  // calls in a row that failed while another server was in use

	noDeltasUntil Time            // it rejects deltas, or its deltas were inconsistent
	responseTime  [listKinds]Time // recent longest response time; 0 before the first one
}

// recordSuccess notes a response to a call. The longest response time decays by a quarter with each faster one.
func (s *server) recordSuccess(kind listKind, took Time) {
	s.failures, s.failedRetries, s.retryAt, s.avoidUntil = 0, 0, 0, 0
	s.responseTime[kind] = max(took, s.responseTime[kind]*3/4, millisecond)
}

// isCallable reports whether the server may be called.
func (s *server) isCallable(now Time) bool { return s.retryAt <= now }
