package eureka

import (
	"slices"
	"strconv"
	"strings"

	"starlingwinch/decide"
)

// Words for the state of an instance.
const (
	statusUp      = "UP"
	statusUnknown = "UNKNOWN"
	statusOut     = "OUT_OF_SERVICE"
	unheard       = "UNREADABLE" // stands for a word that is none
)

const mostWord = 64 // bytes of a status

// condition is what a status says. Only one word says that an instance takes work. The danger: any other
// one may be a drain.
func condition(status string) decide.Status {
	if status == statusUp {
		return decide.Serving
	}
	return decide.Draining
}

// effective is the status that counts: the overridden one, where there is one. An override to UP does not lift what an
// instance says of itself by DOWN or STARTING, as in the registry's own rules.
func effective(status, overridden string) string {
	switch {
	case overridden == "" || overridden == statusUnknown:
	case overridden == statusUp && (status == "DOWN" || status == "STARTING"):
	default:
		return overridden
	}
	if status == "" {
		return statusUnknown
	}
	return status
}

// hashCode is how registries sum a list up: how many instances there are of each status, in the order of
// the words, as in DOWN_2_UP_10_. It takes the status as it is listed, overridden or not.
func hashCode(counts map[string]int) string {
	var words []string
	for word, n := range counts { // any order: sorted below
		if n != 0 {
			words = append(words, word)
		}
	}
	slices.Sort(words)
	var b strings.Builder
	for _, word := range words {
		b.WriteString(word + "_" + strconv.Itoa(counts[word]) + "_")
	}
	return b.String()
}
