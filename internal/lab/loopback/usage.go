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
