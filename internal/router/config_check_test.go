package router

import (
	"os"
	"strings"
	"testing"

	"starlingwinch/decide"
	"starlingwinch/internal/settings"
)

// validSettingsFile returns the text of a valid configuration file.
func validSettingsFile(t testing.TB) string {
	t.Helper()
	raw, err := os.ReadFile("../settings/testdata/good.json")
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// FuzzConfigCheckCoversRouter checks that the router accepts every file that settings.Check accepts, so that an operator
// sees each fault in the check and not at the start of a router.
func FuzzConfigCheckCoversRouter(f *testing.F) {
	good := validSettingsFile(f)
	f.Add(good)
	for _, c := range [][2]string{{`"10.0.0.4:6379"`, `"10.0.0.4"`}, {`"cores":1`, `"cores":-1`}, {`"index":41`, `"index":-1`},
		{`"keyTtl":1200000,`, ``}, {`"maxAttempts":3`, `"maxAttempts":0`}, {`"since_ms":17`, `"since_ms":-17`},
		{`"dialTimeout":200000`, `"dialTimeout":9e99`}, {`"name":"c2"`, `"name":"c1"`}} {
		f.Add(strings.Replace(good, c[0], c[1], 1))
	}
	f.Fuzz(func(t *testing.T, raw string) {
		cfg, err := ParseConfig([]byte(raw))
		if err == nil {
			_, err = decide.New(cfg.Settings, cfg.Seed)
		}
		if faults := settings.Check([]byte(raw)); err != nil && faults.Empty() {
			t.Errorf("settings.Check accepts a file that the router rejects with %q", err)
		}
	})
}

// TestKeyedClassWithoutWindowServedAndNotRetried configures a class with idempotency keys but without an idempotency
// window. The check reports faults; the module serves the class and never retries its requests.
func TestKeyedClassWithoutWindowServedAndNotRetried(t *testing.T) {
	raw := strings.NewReplacer(`"dedupScope":"zone",`, ``, `"keyTtl":1200000,`, ``).Replace(validSettingsFile(t))
	faults := settings.Check([]byte(raw))
	if len(faults.All()) != 2 {
		t.Errorf("got faults %s, want 2", faults.Error())
	}
	cfg, err := ParseConfig([]byte(raw))
	if err != nil {
		t.Fatal(err)
	}
	m, err := decide.New(cfg.Settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := decide.Time(1_000_000)
	known := cfg.LastKnown
	m.Handle(now, &decide.EndpointList{Kind: decide.FullUpdate, Endpoints: known.Endpoints})
	sends := 0
	count := func(actions []decide.Action) {
		for _, a := range actions {
			if _, ok := a.(decide.Send); ok {
				sends++
			}
		}
	}
	request := &decide.Request{ID: 1, Class: "add-contact", Key: 7, HasKey: true, Deadline: now + 1_200_000, Write: true}
	count(m.Handle(now, request))
	if sends != 1 {
		t.Fatalf("a new request had %d sends, want 1", sends)
	}
	now += 1000
	count(m.Handle(now, &decide.AttemptResult{ID: 1, Result: decide.ConnectionLost, Elapsed: 1000, Load: decide.LoadReport{Utilization: -1}}))
	if sends != 1 {
		t.Errorf("got %d sends, want 1: no cache is known to deduplicate a retry", sends)
	}
}

// TestConfigRejectsOverflowingValues checks that values which would overflow are rejected. An overflowing dial timeout would
// fail every dial, and an overflowing keepalive would close every connection.
func TestConfigRejectsOverflowingValues(t *testing.T) {
	for _, c := range [][3]string{
		{`"dialTimeout":200000`, `"dialTimeout":9223372036854775807`, "dialTimeout"},
		{`"keepalive":60000000`, `"keepalive":9223372036854775807`, "keepalive"},
		{`"memory_mb":192`, `"memory_mb":9223372036854775807`, "memory_mb"},
		{`"cores":1`, `"cores":1e300`, "cores"},
	} {
		_, err := ParseConfig([]byte(strings.Replace(validSettingsFile(t), c[0], c[1], 1)))
		if err == nil || !strings.Contains(err.Error(), c[2]) {
			t.Errorf("%s: got error %v, want one that names %s", c[1], err, c[2])
		}
	}
}
