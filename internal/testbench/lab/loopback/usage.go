package loopback

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// usage is what the system tells of a process; zero once it is gone.
type usage struct {
	peakRSS     int64 // bytes
	descriptors int
}

func usageOf(pid int) usage {
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	var u usage
	status, err := os.ReadFile(filepath.Join(dir, "status"))
	if err != nil {
		return u
	}
	for line := range strings.Lines(string(status)) {
		rest, found := strings.CutPrefix(line, "VmHWM:")
		if !found {
			continue
		}
		kib, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
		u.peakRSS = kib << 10
	}
	if entries, err := os.ReadDir(filepath.Join(dir, "fd")); err == nil {
		u.descriptors = len(entries)
	}
	return u
}

// statFields are the fields of a process's stat behind its name; none once it is gone.
func statFields(pid int) []string {
	stat, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		return nil
	}
	// The name, in parentheses, may hold anything; the fields behind it are not.
	return strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
}

// ticks is the processor time that a process has used, in ticks of 10 ms; 0 once it is gone.
func ticks(pid int) int64 {
	fields := statFields(pid)
	const user, system = 11, 12
	if len(fields) <= system {
		return 0
	}
	u, _ := strconv.ParseInt(fields[user], 10, 64)
	s, _ := strconv.ParseInt(fields[system], 10, 64)
	return u + s
}
