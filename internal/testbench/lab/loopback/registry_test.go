package loopback

import (
	"strings"
	"testing"
	"time"

	"starlingwinch/internal/testbench/lab/script"
)

func TestRouterProcessFollowsARegistry(t *testing.T) {
	s := calm(4*time.Second,
		script.Fault{At: 500 * time.Millisecond, For: 2 * time.Second, Kind: script.RegistryOut, Target: "c1"},
		script.Fault{At: time.Second, For: time.Second, Kind: script.RegistryOut, Target: "c2"},
		script.Fault{At: 1500 * time.Millisecond, Kind: script.Depart, Target: "c3"})
	s.Registry.Enabled = true
	s.Registry.Register = true
	r, err := Run(Options{Script: s})
	if err != nil {
		t.Fatal(err)
	}
	if bad := broken(&r); len(bad) > 0 || len(r.ProcessFaults) > 0 {
		t.Errorf("broken %v, troubles %v", bad, r.ProcessFaults)
	}
	if len(r.Outs) != 2 || r.Outs[0].At >= r.Outs[1].At || r.Outs[0].Cache == r.Outs[1].Cache {
		t.Errorf("2 caches were marked, and these are told: %+v", r.Outs)
	}
	log := strings.Join(r.Routers[0].Tail, "\n")
	for _, want := range []string{"status=draining source=eureka reason=OUT_OF_SERVICE", "status=removed source=eureka reason="} {
		if !strings.Contains(log, want) {
			t.Errorf("%q is not in the router's log:\n%s", want, log)
		}
	}
}

func TestRegistryBesideDiscoveryIsRefusedOnLoopback(t *testing.T) {
	s := calm(time.Second)
	s.Registry.Enabled = true
	s.Registry.Order = "eureka+discovery"
	if err := Check(s); err == nil || !strings.Contains(err.Error(), "registry:") {
		t.Errorf("got %v", err)
	}
}
