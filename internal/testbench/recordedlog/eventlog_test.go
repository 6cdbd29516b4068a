package recordedlog

import "testing"

func TestWordingOfEventLines(t *testing.T) {
	for _, c := range []struct{ name, line, want string }{
		{"a rejected request", `level=INFO msg=request-rejected reason="no capacity" request=7 id="a b" attempts=0`,
			`level=INFO msg=request-refused reason="no room at caches" request=7 id="a b" attempts=0`},
		{"a failed request whose reason is a word now", `level=INFO msg=request-failed reason=overloaded request=7 id=a attempts=1`,
			`level=INFO msg=request-failed reason="more than caches serve" request=7 id=a attempts=1`},
		{"an attempt that ended for the same word", `level=INFO msg=attempt-ended reason=overloaded request=7`,
			`level=INFO msg=attempt-ended reason=overloaded request=7`},
		{"a closed connection", `level=INFO msg=connection-closed reason=idle unanswered=0`,
			`level=INFO msg=client-closed reason=idle unanswered=0`},
		{"a violation", `level=ERROR msg=violation reason=late request=7 id=a attempt=0 cache="" by_us=3`,
			`level=ERROR msg=violation reason=late request=7 id=a attempt=0 cache="" by_us=3`},
		{"counters, in their recorded order",
			`level=INFO msg=counters connection-closed.idle=1 discovery-call.whole=2 "request-rejected.no capacity"=3 start.serving=1 lines-dropped=0`,
			`level=INFO msg=counters client-closed.idle=1 list.whole=2 "request-refused.no room at caches"=3 start.serving=1 lines-left-out=0`},
		{"counters that change places",
			`level=INFO msg=counters attempt-ended.lost=1 discovery-call.failed=2 "request-failed.deadline exceeded"=3 request-failed.overloaded=4 lines-dropped=5`,
			`level=INFO msg=counters attempt-ended.lost=1 list.failed=2 "request-failed.more than caches serve"=4 "request-failed.out of time"=3 lines-left-out=5`},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := Wording(c.line); got != c.want {
				t.Errorf("Wording(%q) = %q, want %q", c.line, got, c.want)
			}
		})
	}
}
