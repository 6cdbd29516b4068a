package eureka

import (
	"encoding/json"
	"net/netip"
	"slices"
	"strings"
	"testing"
)

// scriptedRegistration scripts a registry that holds the registration of one router.
type scriptedRegistration struct {
	status string // "" while the router is not registered
	down   bool
	silent bool
}

func (s *scriptedRegistration) script(a request) response {
	const own = "/apps/ROUTER/r%201"
	path, query, _ := strings.Cut(a.path, "?")
	switch {
	case s.silent:
		return response{silent: true}
	case s.down:
		return response{status: 503}
	case a.method == "POST" && path == "/apps/ROUTER":
		s.status = "UP"
		return response{status: 204}
	case s.status == "":
		return response{status: 404}
	case a.method == "PUT" && path == own+"/status" && strings.HasPrefix(query, "value=OUT_OF_SERVICE&lastDirtyTimestamp="):
		s.status = "OUT_OF_SERVICE"
	case a.method == "PUT" && path == own && strings.HasPrefix(query, "status="+s.status+"&lastDirtyTimestamp="):
	case a.method == "DELETE" && path == own:
		s.status = ""
	default:
		return response{status: 400}
	}
	return response{status: 200}
}

func registration(servers ...*registry) RegisterOptions {
	c := Default()
	c.Register.Application, c.Register.Instance, c.Register.IP, c.Register.Port = "router", "r 1", "10.0.0.9", 7000
	o := c.Registration()
	o.Servers = options(servers...).Servers
	return o
}

// methods returns the methods of the calls from this index on, as in "POST PUT".
func (r *registry) methods(from int) string {
	var all []string
	for _, a := range r.calls[from:] {
		all = append(all, a.method)
	}
	return strings.Join(all, " ")
}

func TestRegistrationLifecycle(t *testing.T) {
	f, scripted := newFixture(t), &scriptedRegistration{}
	r := f.registry("r", "10.0.0.1", scripted.script)
	reg := Register(f.client.Machine(), registration(r))
	f.after(second)
	var sent struct {
		Instance struct {
			InstanceID, App, IPAddr, VIPAddress, Status, LastDirtyTimestamp string
			Port                                                            struct {
				Number  int    `json:"$"`
				Enabled string `json:"@enabled"`
			}
			LeaseInfo struct{ RenewalIntervalInSecs, DurationInSecs int }
		}
	}
	if err := json.Unmarshal([]byte(r.calls[0].body), &sent); err != nil {
		t.Fatal(err)
	}
	if i := sent.Instance; i.InstanceID != "r 1" || i.App != "ROUTER" || i.IPAddr != "10.0.0.9" || i.VIPAddress != "router" ||
		i.Status != "UP" || i.Port.Number != 7000 || i.Port.Enabled != "true" || i.LeaseInfo.RenewalIntervalInSecs != 30 ||
		i.LeaseInfo.DurationInSecs != 90 || i.LastDirtyTimestamp != "1750000000000" {
		t.Errorf("registered as %+v", i)
	}
	bare := strings.TrimSuffix(strings.TrimPrefix(r.calls[0].body, `{"instance":`), "}")
	l, err := Parse([]byte(`{"application":{"name":"ROUTER","instance":`+bare+`}}`), defaultKeys)
	if err != nil || len(l.Faults) > 0 || l.Instances[0].Address != "10.0.0.9:7000" {
		t.Errorf("the registered instance parses as %+v, error %v", l, err)
	}
	f.after(5 * minute)
	if n := len(r.calls); n < 11 || n > 13 || scripted.status != "UP" {
		t.Errorf("status %s, %d calls in 5 min, want 11 to 13: %s", scripted.status, n, r.methods(0))
	}
	scripted.status = "" // the registry has restarted
	from := len(r.calls)
	f.after(31 * second)
	if got := r.methods(from); !strings.HasPrefix(got, "PUT POST") || scripted.status != "UP" {
		t.Errorf("after the registry's restart: status %q, calls %s", scripted.status, got)
	}
	reg.Drain()
	f.after(100 * millisecond)
	if scripted.status != "OUT_OF_SERVICE" {
		t.Errorf("draining router has status %q, want OUT_OF_SERVICE", scripted.status)
	}
	f.after(minute)
	ended := 0
	reg.Cancel(func() { ended++ })
	if ended > 0 {
		t.Error("done was called from within Cancel")
	}
	f.after(100 * millisecond)
	if scripted.status != "" || ended != 1 || f.client.Pending() != 0 || f.client.Descriptors() != 0 {
		t.Errorf("status %q, ended %d times, %d timers, %d descriptors", scripted.status, ended, f.client.Pending(), f.client.Descriptors())
	}
	for _, a := range r.calls {
		if a.path == "" {
			t.Errorf("%v", a)
		}
	}
	if len(f.log) > 0 {
		t.Errorf("log %q", f.log)
	}
}

func TestDrainingRouterIsNotRegisteredAgain(t *testing.T) {
	f, scripted := newFixture(t), &scriptedRegistration{}
	r := f.registry("r", "10.0.0.1", scripted.script)
	reg := Register(f.client.Machine(), registration(r))
	f.after(second)
	reg.Drain()
	f.after(second)
	scripted.status = ""
	from := len(r.calls)
	f.after(5 * minute)
	if got := r.methods(from); got != "PUT" || scripted.status != "" {
		t.Errorf("calls %s, status %q, want one PUT and no registration", got, scripted.status)
	}
	ended := false
	reg.Cancel(func() { ended = true })
	f.after(second)
	if got := r.methods(from); got != "PUT DELETE" || !ended {
		t.Errorf("calls %s, ended %v", got, ended)
	}
}

func TestDrainDuringRegisterCallIsReported(t *testing.T) {
	f, scripted := newFixture(t), &scriptedRegistration{}
	r := f.registry("r", "10.0.0.1", func(a request) response {
		got := scripted.script(a)
		if a.method == "POST" {
			got.delay = 500 * millisecond
		}
		return got
	})
	reg := Register(f.client.Machine(), registration(r))
	f.after(100 * millisecond)
	reg.Drain()
	f.after(100 * millisecond)
	if scripted.status != "OUT_OF_SERVICE" {
		t.Errorf("status %q, want OUT_OF_SERVICE; calls %s", scripted.status, r.methods(0))
	}
}

func TestCancelIsBoundedByTimeout(t *testing.T) {
	for name, breakRegistry := range map[string]func(r *registry, s *scriptedRegistration){
		"is silent":   func(_ *registry, s *scriptedRegistration) { s.silent = true },
		"answers 503": func(_ *registry, s *scriptedRegistration) { s.down = true },
		"vanishes":    func(r *registry, _ *scriptedRegistration) { r.host.Vanish() },
		"refuses":     func(r *registry, _ *scriptedRegistration) { r.host.RefuseAll(true); r.host.DropIdleConns(false) },
	} {
		t.Run(name, func(t *testing.T) {
			f, scripted := newFixture(t), &scriptedRegistration{}
			r := f.registry("r", "10.0.0.1", scripted.script)
			reg := Register(f.client.Machine(), registration(r))
			f.after(second)
			breakRegistry(r, scripted)
			reg.Drain()
			f.after(minute)
			at := f.Now()
			ended := 0
			reg.Cancel(func() { ended++ })
			reg.Cancel(func() { ended += 10 })
			f.wait(second+millisecond, "the end of the registration, if the registry "+name, func() bool { return ended == 11 })
			if f.client.Pending() != 0 || f.client.Descriptors() != 0 || f.Now()-at > second {
				t.Errorf("%s: after %d ms, %d timers and %d descriptors", name, (f.Now()-at)/1000, f.client.Pending(), f.client.Descriptors())
			}
			if len(r.calls) > 60 || len(f.log) == 0 || len(f.log) > 3 {
				t.Errorf("%s: %d calls, log %q", name, len(r.calls), f.log)
			}
		})
	}
}

func TestRegistrationFailsOver(t *testing.T) {
	f, scripted := newFixture(t), &scriptedRegistration{}
	other := &scriptedRegistration{down: true}
	r1, r2 := f.registry("r1", "10.0.0.1", other.script), f.registry("r2", "10.0.0.2", scripted.script)
	Register(f.client.Machine(), registration(r1, r2))
	f.after(second)
	if scripted.status != "UP" || len(r1.calls) != 1 {
		t.Errorf("status %q, calls to the first server %v", scripted.status, r1.calls)
	}
	f.after(10 * minute)
	if slices.ContainsFunc(r2.calls[1:], func(a request) bool { return a.method != "PUT" }) {
		t.Errorf("calls %v", r2.calls)
	}
}

func TestRegistrationStopReleasesEverything(t *testing.T) {
	for step := range 100 {
		f, scripted := newFixture(t), &scriptedRegistration{}
		r := f.registry("r", "10.0.0.1", scripted.script)
		reg := Register(f.client.Machine(), registration(r))
		for range step {
			f.Step()
		}
		if step%2 == 0 {
			reg.Cancel(func() { t.Error("done was called after Stop") })
		}
		reg.Stop()
		reg.Stop()
		reg.Drain()
		if d, p := f.client.Descriptors(), f.client.Pending(); d != 0 || p != 0 {
			t.Fatalf("after %d events, %d descriptors and %d timers are left", step, d, p)
		}
		f.after(minute)
	}
}

func TestDefaultInstanceIDHoldsAddress(t *testing.T) {
	c := Default()
	c.Register.IP, c.Register.Port = "::1", 80
	if o := c.Registration(); o.Instance != "starlingwinch:[::1]:80" || o.Address != netip.MustParseAddrPort("[::1]:80") {
		t.Errorf("%+v", o)
	}
}

// TestLateDeregistrationOfPredecessorIsNoticedWithinASecond covers a previous process with the same id that deregisters after
// this process has registered. At the usual interval, a heartbeat would detect that half a minute later.
func TestLateDeregistrationOfPredecessorIsNoticedWithinASecond(t *testing.T) {
	f, scripted := newFixture(t), &scriptedRegistration{}
	reg := f.registry("eureka", "10.0.0.2", scripted.script)
	o := registration(reg)
	o.PredecessorWindow = 5 * second
	r := Register(f.client.Machine(), o)
	defer r.Stop()
	f.wait(second, "the registration", func() bool { return scripted.status == "UP" })
	for _, at := range []Time{300_000, 2 * second, second} {
		f.after(at)
		scripted.status = "" // the DELETE call of the previous process
		f.wait(second+second/10, "the new registration", func() bool { return scripted.status == "UP" })
	}
	f.after(10 * second)
	calls := len(reg.calls)
	f.after(second * 5)
	if n := len(reg.calls) - calls; n > 1 {
		t.Errorf("%d calls in 5 s after the predecessor's time is over, want at most 1", n)
	}
}
