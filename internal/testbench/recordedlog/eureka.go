package recordedlog

import "fmt"

func init() {
	add(map[string]sentence{
		"registry password unreadable": func(f Fields) string { return f["source"] + ": " + f["cause"] },
		"registry rejects deltas": func(f Fields) string {
			return fmt.Sprintf("%s: %s answers %d to /apps/delta: whole lists are fetched", f["source"], f["server"], f.Int("status"))
		},
		"registry deltas do not match hash code": func(f Fields) string {
			return recordedMismatch(f, fmt.Sprintf("their hash code is %q, wanted %q", f["hash"], f["computed"]))
		},
		"registry deltas are older than the list": func(f Fields) string {
			return recordedMismatch(f, "they are older than what it told before")
		},
		"registry list has faults": func(f Fields) string {
			return fmt.Sprintf("%s: %s: %s", f["source"], f["server"], f["faults"])
		},
		"registry server selected": func(f Fields) string {
			return fmt.Sprintf("%s: %s is asked from now on", f["source"], f["server"])
		},
		"registry available": func(f Fields) string {
			return fmt.Sprintf("%s: %s answers again", f["source"], f["server"])
		},
		"registry call failed": func(f Fields) string {
			return fmt.Sprintf("%s: %s: %s", f["source"], f["server"], f["cause"])
		},
		"router registration password unreadable": func(f Fields) string { return "eureka registration: " + f["cause"] },
		"router deregistration timed out": func(Fields) string {
			return "eureka registration: no time was left to cancel it"
		},
		"router registration server available": func(f Fields) string {
			return fmt.Sprintf("eureka registration: %s answers again", f["server"])
		},
		"router registration call failed": func(f Fields) string {
			return fmt.Sprintf("eureka registration: %s: %s: %s", f["server"], f["method"], f["cause"])
		},
	})
}

// recordedMismatch is the recorded wording of deltas that do not lead to the registry's list.
func recordedMismatch(f Fields, reason string) string {
	return fmt.Sprintf("%s: deltas of %s do not add up (%s): whole lists are fetched for a while", f["source"], f["server"], reason)
}
