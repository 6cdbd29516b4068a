package eureka

import "starlingwinch/internal/httpclient"

// listKind is the kind of list that a call fetches.
type listKind uint8

const (
	fullList listKind = iota
	deltaList
	listKinds // the number of kinds
)

// maxRetryDoublings bounds how often the time until the retry of a failed preferred server doubles.
const maxRetryDoublings = 5

// server is the client's state for one server of the registry.
type server struct {
	url       URL
	client    *httpclient.Client
	hasListed bool // the server has returned a full list
	retryAt   Time // earliest time of the next call

	failures      int  // consecutive failed calls
	avoidUntil    Time // until this time, another working server is preferred
	failedRetries int  // consecutive calls that failed while another server was in use

	noDeltasUntil Time            // end of the pause after rejected or inconsistent deltas
	responseTime  [listKinds]Time // recent longest response time; 0 before the first response
}

// recordSuccess records a usable response. The longest response time decays by a quarter with each faster response.
func (s *server) recordSuccess(kind listKind, elapsed Time) {
	s.failures, s.failedRetries, s.retryAt, s.avoidUntil = 0, 0, 0, 0
	s.responseTime[kind] = max(elapsed, s.responseTime[kind]*3/4, millisecond)
}

// isCallable reports whether the server's backoff is over.
func (s *server) isCallable(now Time) bool { return s.retryAt <= now }
