package recordedlog

import "testing"

// TestWordingOfListLines covers the lines of the endpoint list and of the registry that no recorded run has.
func TestWordingOfListLines(t *testing.T) {
	const server = "http://10.0.0.1:8761/eureka"
	for _, c := range []struct{ line, want string }{
		{`level=WARN msg="endpoint list has a fault" fault="endpoints[0].name: stands twice"`,
			`list of caches: endpoints[0].name: stands twice`},
		{`level=WARN msg="endpoint list has more faults" faults=3`, `list of caches: 3 more faults`},
		{`level=WARN msg="endpoint update from unknown source" source=nobody`,
			`list of caches: "nobody" is no source of the list of caches`},
		{`level=INFO msg="endpoint source available" source=eureka unavailable_for=6.25s`,
			`list of caches: eureka answers again, after 6.2 s`},
		{`level=WARN msg="endpoint source unavailable" source=eureka retained=4 cause="HTTP 503"`,
			`list of caches: eureka can't be reached, its word on 4 caches stays: HTTP 503`},
		{`level=WARN msg="endpoints beyond limit ignored" source=file ignored=2 limit=10`,
			`list of caches: file: 2 caches past the first 10 are not used`},
		{`level=WARN msg="endpoint mass removal awaits confirmation" source=eureka omitted=6 known=10`,
			`list of caches: eureka leaves out 6 of 10 caches at once: it is asked again`},
		{`level=WARN msg="endpoint mass removal accepted unconfirmed" source=eureka removed=6`,
			`list of caches: eureka has not said again whether 6 caches have gone: they are taken for gone`},
		{`level=INFO msg="endpoint status changed" endpoint=c1 status=draining source=eureka reason="UP (old list)"`,
			`list of caches: c1 drains (eureka: UP (old list))`},
		{`level=INFO msg="endpoint status changed" endpoint=c1 status=draining suppressed_for=15.04s flaps=3`,
			`list of caches: c1 drains (held down for 15.0 s more after 3 flaps)`},
		{`level=INFO msg="endpoint status changes in total" serving=30 draining=1 removed=2`,
			`list of caches: in all 30 caches take work, 1 drain, 2 have gone`},
		{`level=WARN msg="registry password unreadable" source=eureka cause="password_file: no such file"`,
			`eureka: password_file: no such file`},
		{`level=INFO msg="registry rejects deltas" source=eureka server=` + server + ` status=403`,
			`eureka: ` + server + ` answers 403 to /apps/delta: whole lists are fetched`},
		{`level=WARN msg="registry deltas do not match hash code" source=eureka server=` + server + ` hash=UP_1_ computed=UP_2_`,
			`eureka: deltas of ` + server + ` do not add up (their hash code is "UP_1_", wanted "UP_2_"): whole lists are fetched for a while`},
		{`level=WARN msg="registry deltas are older than the list" source=eureka server=` + server,
			`eureka: deltas of ` + server + ` do not add up (they are older than what it told before): whole lists are fetched for a while`},
		{`level=WARN msg="registry list has faults" source=eureka server=` + server + ` faults="instance 0: not an object"`,
			`eureka: ` + server + `: instance 0: not an object`},
		{`level=INFO msg="registry server selected" source=eureka server=` + server, `eureka: ` + server + ` is asked from now on`},
		{`level=INFO msg="registry available" source=eureka server=` + server, `eureka: ` + server + ` answers again`},
		{`level=WARN msg="registry call failed" source=eureka server=` + server + ` cause="HTTP 500"`, `eureka: ` + server + `: HTTP 500`},
		{`level=WARN msg="router registration password unreadable" cause="password_file: no such file"`,
			`eureka registration: password_file: no such file`},
		{`level=WARN msg="router deregistration timed out"`, `eureka registration: no time was left to cancel it`},
		{`level=INFO msg="router registration server available" server=` + server, `eureka registration: ` + server + ` answers again`},
		{`level=WARN msg="router registration call failed" server=` + server + ` method=PUT cause="HTTP 500"`,
			`eureka registration: ` + server + `: PUT: HTTP 500`},
	} {
		if got := Wording(c.line); got != c.want {
			t.Errorf("Wording(%s)\n is %q,\nwant %q", c.line, got, c.want)
		}
	}
}
