package recordedlog

import (
	"fmt"
	"strconv"
	"time"
)

// Lines of the packages gossip and retrystorm.
func init() {
	add(map[string]sentence{
		"gossip stalled": func(f Fields) string {
			return fmt.Sprintf("fleet: this router stood still for %.1f s", f.microseconds("stalled_for")/1e6)
		},
		"gossip member added": func(f Fields) string {
			return fmt.Sprintf("fleet: %s is %s, incarnation %s", f["member"], f["state"], f["incarnation"])
		},
		"gossip name taken by later router": func(f Fields) string {
			return fmt.Sprintf("fleet: the router at %s has this one's name, %s, and started later: this one keeps out of the view",
				f["address"], f["name"])
		},
		"gossip name shared with earlier router": func(f Fields) string {
			return fmt.Sprintf("fleet: the router at %s has this one's name, %s, and started earlier", f["address"], f["name"])
		},
		"gossip member refuted suspicion": func(f Fields) string {
			return fmt.Sprintf("fleet: %s refutes that it is gone", f["member"])
		},
		"gossip member changed state": func(f Fields) string {
			return fmt.Sprintf("fleet: %s is %s (it was %s)", f["member"], f["state"], f["previous_state"])
		},
		"gossip member suspected": func(f Fields) string {
			return fmt.Sprintf("fleet: %s is suspected, by %s", f["member"], f["by"])
		},
		"gossip member left": func(f Fields) string {
			return fmt.Sprintf("fleet: %s has left", f["member"])
		},
		"gossip member faulty": func(f Fields) string {
			return fmt.Sprintf("fleet: %s is held faulty, suspected by %s for %.1f s", f["member"], f["suspected_by"],
				f.microseconds("suspected_for")/1e6)
		},
		"gossip view settled": func(f Fields) string {
			return fmt.Sprintf("fleet: settled, %s routers here of %s known, digest %s", f["alive"], f["known"], f["digest"])
		},
		"gossip view unsettled": func(f Fields) string {
			return fmt.Sprintf("fleet: not settled any more, digest %s", f["digest"])
		},
		"retry storm state changed": func(f Fields) string {
			return fmt.Sprintf("storm: %s -> %s: asked %s/s, retries %s%%, unserved %s%%, caches away %s%%, connections %s/s, "+
				"fresh %s%%; bounds: retries %.2f, waits up to %s", f["from"], f["to"], f["requests_per_second"], f["retry_percent"],
				f["unserved_percent"], f["outage_percent"], f["connections_per_second"], f["first_request_percent"],
				f.float("retry_budget_fraction"), f["retry_after_jitter"])
		},
	})
}

// microseconds is a field's duration; it panics where there is none.
func (f Fields) microseconds(key string) float64 {
	d, err := time.ParseDuration(f[key])
	if err != nil {
		panic(fmt.Sprintf("recordedlog: field %s of %v: %v", key, f, err))
	}
	return float64(d.Microseconds())
}

// float is a field's number; it panics where there is none.
func (f Fields) float(key string) float64 {
	v, err := strconv.ParseFloat(f[key], 64)
	if err != nil {
		panic(fmt.Sprintf("recordedlog: field %s of %v: %v", key, f, err))
	}
	return v
}
