package router

import (
	"testing"

	"starlingwinch/internal/hooks"
	"starlingwinch/internal/testbench/routertest"
)

// TestReloadReportsChangesThatNeedRestart changes one part of the configuration at a time and checks whether the change needs
// a restart.
func TestReloadReportsChangesThatNeedRestart(t *testing.T) {
	for name, c := range map[string]struct {
		edit         func(*Config)
		needsRestart bool
	}{
		"no change":             {func(*Config) {}, false},
		"address of discovery":  {func(c *Config) { c.Discovery = "127.0.0.1:3" }, false},
		"name":                  {func(c *Config) { c.Name = "n9" }, true},
		"seed":                  {func(c *Config) { c.Seed++ }, true},
		"address for gossip":    {func(c *Config) { c.PeerListen = "127.0.0.1:9" }, true},
		"memory of the machine": {func(c *Config) { c.Limits.MemoryMB++ }, true},
		"events in the log":     {func(c *Config) { c.Events.Events = !c.Events.Events }, true},
		"hooks":                 {func(c *Config) { *c = *withHooks(t, c, "a", "b") }, false},
	} {
		t.Run(name, func(t *testing.T) {
			discovery := routertest.SilentDiscovery(t)
			s := start(t, withHooks(t, testConfig(t, discovery, nil), "a"), nil, nil)
			next := withHooks(t, testConfig(t, discovery, nil), "a")
			c.edit(next)
			s.Do(func() {
				if got := s.r.needsRestart(next); got != c.needsRestart {
					t.Errorf("needsRestart: got %t, want %t", got, c.needsRestart)
				}
			})
		})
	}
}

// withHooks returns the configuration with its hooks replaced by the named ones, and with the limits reduced by the share of
// the named hooks.
func withHooks(t *testing.T, c *Config, names ...string) *Config {
	t.Helper()
	changed := *c
	changed.Limits = c.limitsBeforeHooks()
	changed.Hooks = hooks.Config{MaxWaitFraction: .1, MaxWait: 50_000}
	for _, name := range names {
		changed.Hooks.Hooks = append(changed.Hooks.Hooks, hook(name))
	}
	var err error
	if changed.Limits, err = changed.Limits.Without(changed.Hooks); err != nil {
		t.Fatal(err)
	}
	return &changed
}
