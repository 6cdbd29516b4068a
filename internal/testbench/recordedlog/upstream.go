package recordedlog

import (
	"slices"
	"strings"
)

// failureCauses are the names of upstream's causes of failures, which are fields of the line about an outage.
var failureCauses = []string{"refused", "hung", "reset", "errors", "busy"}

func init() {
	add(map[string]sentence{
		"cache unavailable": func(f Fields) string {
			return f["cache"] + " serves nothing: " + f["cause"] + ": " + f["detail"]
		},
		"cache available": func(f Fields) string { return f["cache"] + " serves again" },
		"no cache available": func(f Fields) string {
			var parts []string
			for _, cause := range failureCauses {
				if n := f[cause]; n != "" {
					parts = append(parts, n+" "+cause)
				}
			}
			slices.Sort(parts)
			return "none of " + f["caches"] + " caches serves: " + strings.Join(parts, ", ")
		},
	})
}
