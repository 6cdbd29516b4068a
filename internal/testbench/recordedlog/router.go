package recordedlog

import (
	"fmt"
	"time"
)

// The recorded wordings of package router.
func init() {
	add(map[string]sentence{
		"serving":         func(f Fields) string { return "serving on " + f["address"] },
		"contract breach": contractBreach,

		"no serving endpoint left": func(Fields) string { return "list of caches: none is left that takes work" },
		"endpoint subset resized": func(f Fields) string {
			return fmt.Sprintf("list of caches: %d of %d are used, as there are descriptors for so many", f.Int("used"), f.Int("listed"))
		},

		"gossip waits for its address": func(f Fields) string { return "fleet: waiting for the address: " + f["cause"] },
		"gossip has its address":       func(Fields) string { return "fleet: it has its address" },
		"gossip not started":           func(f Fields) string { return "fleet: no view: " + f["cause"] },

		"snapshot not read in time": func(Fields) string { return "state: the disk has not answered in time; serving without" },
		"snapshot file rejected":    func(f Fields) string { return "state: " + f["detail"] },
		"snapshot restored": func(f Fields) string {
			return fmt.Sprintf("state: taken over, %d caches, as of %s ago", f.Int("caches"), ageText(f["age"]))
		},
		"snapshots not stored":   snapshotsNotStored,
		"snapshots stored again": func(Fields) string { return "state: it is kept again" },
		"snapshot disk is slow": func(Fields) string {
			return "state: the disk takes longer than a second; less is written while it does"
		},

		"reload ignored: the router is ending": func(Fields) string {
			return "SIGHUP: the router is about to end; nothing is read anew"
		},
		"changed configuration waits for a restart": func(Fields) string {
			return "SIGHUP: new addresses for clients, limits, settings and operators' files wait for a restart"
		},
		"hooks not reloaded: restart needed": func(f Fields) string {
			return fmt.Sprintf("SIGHUP: the old hooks stay: the new ones may take %d MB instead of %d, which needs a restart",
				f.Int("needed_mb"), f.Int("reserved_mb"))
		},
		"hooks not reloaded":          func(f Fields) string { return "SIGHUP: the old hooks stay: " + f["cause"] },
		"snapshots switched off":      func(Fields) string { return "SIGHUP: the state is not kept any more" },
		"snapshot folder changed":     func(f Fields) string { return "SIGHUP: the state is kept in " + f["folder"] },
		"peers changed":               func(f Fields) string { return fmt.Sprintf("SIGHUP: %d other routers are configured", f.Int("peers")) },
		"discovery address unchanged": func(f Fields) string { return "SIGHUP: discovery stays at " + f["address"] },
		"discovery address changed":   func(f Fields) string { return "SIGHUP: discovery moves to " + f["address"] },
	})
}

func contractBreach(f Fields) string {
	return fmt.Sprintf("contract: %s, request %d, cache %q: %s; before: %s", f["kind"], f.Int("request"), f["cache"], f["detail"],
		f["before"])
}

func snapshotsNotStored(f Fields) string {
	what := "it is not kept until that is over"
	if f["locked"] == "true" {
		what = "another process keeps its state there; this one runs without"
	}
	return fmt.Sprintf("state: %s: %s", f["cause"], what)
}

// ageText words the age of a snapshot, rounded as it was recorded.
func ageText(age string) string {
	d, err := time.ParseDuration(age)
	if err != nil {
		panic(fmt.Sprintf("recordedlog: age %q: %v", age, err))
	}
	switch {
	case d >= 48*time.Hour:
		return fmt.Sprintf("%.0f days", d.Hours()/24)
	case d >= time.Minute:
		return d.Round(time.Second).String()
	}
	return d.Round(time.Millisecond).String()
}
