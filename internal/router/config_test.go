package router

import (
	"strings"
	"testing"

	"starlingwinch/internal/discovery"
)

func TestConfigErrorNamesField(t *testing.T) {
	const good = `{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964","settings":` + testSettings + `}`
	cfg, err := ParseConfig([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	if cfg.Seed != 0x8c1f30d27a5be964 || cfg.Limits.Sockets != defaultSockets || cfg.Transport.DialTimeout != 20_000_000 ||
		cfg.Settings.Routers != 1 || cfg.LastKnown.Index != discovery.NoIndex {
		t.Errorf("got unexpected values in %+v", cfg)
	}
	for _, c := range []struct{ old, new, field string }{
		{`"listen":"127.0.0.1:1"`, `"listen":"here"`, "listen"},
		{`"listen":"127.0.0.1:1"`, `"listen":5`, "listen"},
		{`"discovery":"127.0.0.1:2"`, `"discovery":""`, "discovery"},
		{`"8c1f30d27a5be964"`, `"seed"`, "seed"},
		{`"name":"n0"`, `"limits":{"sockets":3}`, "limits.sockets"},
		{`"name":"n0"`, `"limits":{"cores":-1}`, "limits.cores"},
		{`"name":"n0"`, `"limits":{"memory_mb":-1}`, "limits.memory_mb"},
		{`"name":"n0"`, `"known":{"index":1}`, "known"},
		{`"settings":`, `"other":`, "settings"},
		{`"categories":[`, `"categories":5,"x":[`, "categories"},
		{`{"name"`, `"name"`, "not JSON"},
	} {
		_, err := ParseConfig([]byte(strings.Replace(good, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got error %v, want one line that names %s", c.new, err, c.field)
		}
	}
}
