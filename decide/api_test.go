package decide

import (
	"math"
	"strings"
	"testing"
)

// TestSettingsCheckNamesTheField checks that the error that New returns names the field that is out of range.
func TestSettingsCheckNamesTheField(t *testing.T) {
	for field, invalidate := range map[string]func(*Settings){
		"SlowStartWindow":      func(s *Settings) { s.SlowStartWindow = -1 },
		"DrainGrace":           func(s *Settings) { s.DrainGrace = -1 },
		"Classes":              func(s *Settings) { s.Classes = nil },
		"Classes[1]":           func(s *Settings) { s.Classes[1].LatencyObjective = -5 },
		"MaxAttempts":          func(s *Settings) { s.MaxAttempts = 0 },
		"Routers":              func(s *Settings) { s.Routers = -1 },
		"SlowStartMinCapacity": func(s *Settings) { s.SlowStartMinCapacity = 1.5 },
		"HealthCheckCost":      func(s *Settings) { s.HealthCheckCost = math.NaN() },
		"ConnectionCost":       func(s *Settings) { s.ConnectionCost = math.Inf(1) },
		"DialCost":             func(s *Settings) { s.DialCost = -0.1 },
		"LateWeightFraction":   func(s *Settings) { s.Classes[2].LateWeightFraction = 2 },
	} {
		t.Run(field, func(t *testing.T) {
			s := testSettings()
			invalidate(&s)
			if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), field) {
				t.Errorf("got error %v, want one that names %s", err, field)
			}
		})
	}
}
