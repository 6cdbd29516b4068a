package recordedlog

import (
	"fmt"
	"time"
)

// listPrefix began each recorded line on the endpoint list.
const listPrefix = "list of caches: "

// recordedStatuses are the recorded words for the status of an endpoint.
var recordedStatuses = map[string]string{"serving": "takes work", "draining": "drains", "removed": "has gone"}

func init() {
	add(map[string]sentence{
		"endpoint list has a fault": func(f Fields) string { return listPrefix + f["fault"] },
		"endpoint list has more faults": func(f Fields) string {
			return listPrefix + fmt.Sprintf("%d more faults", f.Int("faults"))
		},
		"endpoint update from unknown source": func(f Fields) string {
			return listPrefix + fmt.Sprintf("%q is no source of the list of caches", f["source"])
		},
		"endpoint source available": func(f Fields) string {
			return listPrefix + fmt.Sprintf("%s answers again, after %.1f s", f["source"], listSeconds(f, "unavailable_for"))
		},
		"endpoint source unavailable": func(f Fields) string {
			return listPrefix + fmt.Sprintf("%s can't be reached, its word on %d caches stays: %s", f["source"], f.Int("retained"),
				f["cause"])
		},
		"endpoints beyond limit ignored": func(f Fields) string {
			return listPrefix + fmt.Sprintf("%s: %d caches past the first %d are not used", f["source"], f.Int("ignored"), f.Int("limit"))
		},
		"endpoint mass removal awaits confirmation": func(f Fields) string {
			return listPrefix + fmt.Sprintf("%s leaves out %d of %d caches at once: it is asked again", f["source"], f.Int("omitted"),
				f.Int("known"))
		},
		"endpoint mass removal accepted unconfirmed": func(f Fields) string {
			return listPrefix + fmt.Sprintf("%s has not said again whether %d caches have gone: they are taken for gone", f["source"],
				f.Int("removed"))
		},
		"endpoint status changed": func(f Fields) string {
			return listPrefix + fmt.Sprintf("%s %s (%s)", f["endpoint"], recordedStatuses[f["status"]], recordedCause(f))
		},
		"endpoint status changes in total": func(f Fields) string {
			return listPrefix + fmt.Sprintf("in all %d caches take work, %d drain, %d have gone", f.Int("serving"), f.Int("draining"),
				f.Int("removed"))
		},
	})
}

// recordedCause is the recorded wording of why an endpoint has its status.
func recordedCause(f Fields) string {
	if _, suppressed := f["suppressed_for"]; suppressed {
		return fmt.Sprintf("held down for %.1f s more after %d flaps", listSeconds(f, "suppressed_for"), f.Int("flaps"))
	}
	return f["source"] + ": " + f["reason"]
}

// listSeconds is a field's duration in seconds, from whole microseconds as the recorded lines had it.
func listSeconds(f Fields, key string) float64 {
	d, err := time.ParseDuration(f[key])
	if err != nil {
		panic(fmt.Sprintf("recordedlog: field %s of %v: %v", key, f, err))
	}
	return float64(d.Microseconds()) / 1e6
}
