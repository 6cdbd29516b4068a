package eureka

import (
	"slices"
	"strconv"
	"strings"

	"starlingwinch/decide"
)

// The registry's words for the status of an instance that this package handles by name.
const (
	statusUp           = "UP"
	statusDown         = "DOWN"
	statusStarting     = "STARTING"
	statusOutOfService = "OUT_OF_SERVICE"
	statusUnknown      = "UNKNOWN"
	statusUnreadable   = "UNREADABLE" // stands for a value that is no status; registries don't send it
)

// maxStatusLength bounds a status; bytes.
const maxStatusLength = 64

// endpointStatus is the status of an endpoint. Only UP means that it serves; any other word, known or not, is taken for a drain.
func endpointStatus(status string) decide.Status {
	if status == statusUp {
		return decide.Serving
	}
	return decide.Draining
}

// effectiveStatus is the overridden status, where there is one, else the status of the instance itself. An override to UP does
// not lift DOWN or STARTING, as in the registry's own rules.
func effectiveStatus(status, overridden string) string {
	hasOverride := overridden != "" && overridden != statusUnknown
	if hasOverride && overridden == statusUp && (status == statusDown || status == statusStarting) {
		hasOverride = false
	}
	switch {
	case hasOverride:
		return overridden
	case status == "":
		return statusUnknown
	}
	return status
}

// hashCode is how registries summarize a list: the number of instances of each status, in the order of the words, as in
// DOWN_2_UP_10_. It counts the status as listed, overridden or not.
func hashCode(counts map[string]int) string {
	var statuses []string
	for status, n := range counts { // any order: sorted below
		if n != 0 {
			statuses = append(statuses, status)
		}
	}
	slices.Sort(statuses)
	var hash strings.Builder
	for _, status := range statuses {
		hash.WriteString(status + "_" + strconv.Itoa(counts[status]) + "_")
	}
	return hash.String()
}
