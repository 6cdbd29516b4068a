package recordedlog

import "testing"

func TestWordingOfDecisions(t *testing.T) {
	for _, c := range []struct{ line, want string }{
		{`level=INFO msg="cache healthy" cache=c1`, "c1 healthy"},
		{`level=WARN msg="cache unhealthy" cache=c1 failed_health_checks=2`, "c1 unhealthy after 2 failed probes"},
		{`level=WARN msg="zone unreachable" zone=z1`, "zone z1 out of reach"},
		{`level=WARN msg="zone unreachable" zone="a b"`, "zone a b out of reach"},
		{`level=WARN msg="endpoint list lost" action="calling again"`, "list lost, asking again"},
		{`level=WARN msg="endpoint list unavailable" attempts=7 unavailable_for=6.449999s`,
			"list unheard for 6.4 s after 7 calls: discovery is down, or can't take all routers' calls"},
		{`level=WARN msg="load shedding" active=true rejected_for_capacity=3 rejected_for_origin=4`,
			"load shedding true: 3 refused as caches are full, 4 to spare the origin"},
	} {
		t.Run(c.want, func(t *testing.T) {
			if got := Wording(c.line); got != c.want {
				t.Errorf("Wording(%q) = %q, want %q", c.line, got, c.want)
			}
		})
	}
}
