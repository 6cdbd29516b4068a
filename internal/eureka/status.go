package eureka

import (
	"slices"
	"strconv"
	"strings"

	"starlingwinch/decide"
)

// The instance statuses that this package handles by name.
const (
	statusUp           = "UP"
	statusDown         = "DOWN"
	statusStarting     = "STARTING"
	statusOutOfService = "OUT_OF_SERVICE"
	statusUnknown      = "UNKNOWN"
	statusUnreadable   = "UNREADABLE" // replaces an unreadable value; registries don't send it
)

// maxStatusLength bounds the length of a status in bytes.
const maxStatusLength = 64

// endpointStatus returns the status of an endpoint. Only UP means that the endpoint serves; any other status, known or not,
// means that it drains.
func endpointStatus(status string) decide.Status {
	if status == statusUp {
		return decide.Serving
	}
	return decide.Draining
}

// effectiveStatus returns the overridden status if there is one, else the status of the instance itself. As in the registry's
// own rules, an override to UP has no effect on DOWN or STARTING.
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

// hashCode returns the hash code by which registries summarize a list: the number of instances of each status, in alphabetical
// order of the statuses, as in DOWN_2_UP_10_. It counts instances by their listed status, without overrides.
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
