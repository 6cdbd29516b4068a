package recordedlog

import "testing"

// TestWordingOfStateLines checks the sentences that release ea855d0 wrote, in all their figures.
func TestWordingOfStateLines(t *testing.T) {
	for line, want := range map[string]string{
		`level=WARN msg="gossip stalled" stalled_for=1.25s`:                                    "fleet: this router stood still for 1.2 s",
		`level=INFO msg="gossip member added" member=n2 state=alive incarnation=1796000000000`: "fleet: n2 is alive, incarnation 1796000000000",
		`level=ERROR msg="gossip name taken by later router" address=10.0.0.1:7946 name=n1`: "fleet: the router at 10.0.0.1:7946 has " +
			"this one's name, n1, and started later: this one keeps out of the view",
		`level=WARN msg="gossip name shared with earlier router" address=10.0.0.1:7946 name=n1`: "fleet: the router at 10.0.0.1:7946 " +
			"has this one's name, n1, and started earlier",
		`level=INFO msg="gossip member refuted suspicion" member=n2`:                               "fleet: n2 refutes that it is gone",
		`level=INFO msg="gossip member changed state" member=n2 state=alive previous_state=faulty`: "fleet: n2 is alive (it was faulty)",
		`level=WARN msg="gossip member suspected" member=n2 by=n1`:                                 "fleet: n2 is suspected, by n1",
		`level=INFO msg="gossip member left" member=n2`:                                            "fleet: n2 has left",
		`level=WARN msg="gossip member faulty" member=n2 suspected_by="[n1 n3]" suspected_for=1.349999s`: "fleet: n2 is held faulty, " +
			"suspected by [n1 n3] for 1.3 s",
		`level=INFO msg="gossip view settled" alive=2 known=3 digest=00ff00ff00ff00ff`: "fleet: settled, 2 routers here of 3 known, " +
			"digest 00ff00ff00ff00ff",
		`level=INFO msg="gossip view unsettled" digest=00ff00ff00ff00ff`: "fleet: not settled any more, digest 00ff00ff00ff00ff",
		`level=WARN msg="retry storm state changed" from=calm to=rising requests_per_second=800 retry_percent=45 unserved_percent=41 ` +
			`outage_percent=3 connections_per_second=120 first_request_percent=10 retry_budget_fraction=0.5 retry_after_jitter=250ms`: "storm: " +
			"calm -> rising: asked 800/s, retries 45%, unserved 41%, caches away 3%, connections 120/s, fresh 10%; bounds: retries 0.50, " +
			"waits up to 250ms",
	} {
		if got := Wording(line); got != want {
			t.Errorf("Wording(%q) = %q, want %q", line, got, want)
		}
	}
}
