package recordedlog

import (
	"fmt"
	"time"
)

// The recorded wordings of package decide.
func init() {
	add(map[string]sentence{
		"cache healthy": func(f Fields) string { return f["cache"] + " healthy" },
		"cache unhealthy": func(f Fields) string {
			return fmt.Sprintf("%s unhealthy after %d failed probes", f["cache"], f.Int("failed_health_checks"))
		},
		"zone unreachable":   func(f Fields) string { return fmt.Sprintf("zone %s out of reach", f["zone"]) },
		"endpoint list lost": func(Fields) string { return "list lost, asking again" },
		"endpoint list unavailable": func(f Fields) string {
			d, err := time.ParseDuration(f["unavailable_for"])
			if err != nil {
				panic(fmt.Sprintf("recordedlog: field unavailable_for of %v: %v", f, err))
			}
			return fmt.Sprintf("list unheard for %.1f s after %d calls: discovery is down, or can't take all routers' calls",
				float64(d.Microseconds())/1e6, f.Int("attempts"))
		},
		"load shedding": func(f Fields) string {
			return fmt.Sprintf("load shedding %s: %d refused as caches are full, %d to spare the origin",
				f["active"], f.Int("rejected_for_capacity"), f.Int("rejected_for_origin"))
		},
	})
}
