package limits

import (
	"strings"
	"testing"

	"starlingwinch/internal/operatorconfig"
)

// TestLimitErrorsNameKeys covers limits that are out of range, and limits that contradict each other.
func TestLimitErrorsNameKeys(t *testing.T) {
	for text, want := range map[string]string{
		"clients.idle_time = \"1s\"":        `clients.crowded_idle_time: above clients.idle_time (2.2s, wanted at most 1s)`,
		"caches.fleet_connections = 1":      `caches.least_connections: above caches.fleet_connections (2, wanted at most 1)`,
		"caches.rest_time = \"50ms\"":       `caches.full_rest_time: below caches.rest_time (40ms, wanted at least 50ms)`,
		"clients.errors_in_a_row = 0":       `clients.errors_in_a_row: out of range (0, wanted 1 to 1000)`,
		"discovery.list_size = \"128MiB\"":  `discovery.list_size: out of range ("128MiB", wanted 64KiB to 64MiB)`,
		"discovery.watch_time = \"1m1s\"":   `discovery.watch_time: out of range ("1m1s", wanted 1s to 1m)`,
		"caches.dials_at_a_time = 99999999": `caches.dials_at_a_time: out of range (99999999, wanted 1 to 1000)`,
	} {
		_, err := operatorconfig.Registry{Kind}.Parse("f", []byte("kind = \"limits\"\n"+text))
		if err == nil || !strings.HasSuffix(err.Error(), want) {
			t.Errorf("%s: got error %v, want suffix %s", text, err, want)
		}
	}
}

// TestEmptyFileYieldsDefaults covers a file that holds only its kind.
func TestEmptyFileYieldsDefaults(t *testing.T) {
	file, err := operatorconfig.Registry{Kind}.Parse("f", []byte(`kind = "limits"`))
	if err != nil {
		t.Fatal(err)
	}
	if got := operatorconfig.Get[Limits]([]operatorconfig.File{file}, Kind); got != Default() {
		t.Errorf("got %+v, want %+v", got, Default())
	}
}
