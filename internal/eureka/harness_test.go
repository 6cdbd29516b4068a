package eureka

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"

	"starlingwinch/decide"
	"starlingwinch/internal/endpoints"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/sim"
)

// fixture is a simulated network with a client's host and scripted registries.
type fixture struct {
	*testing.T
	*sim.World
	client     *sim.Host
	log        []string
	events     []endpoints.Event
	eventTimes []Time // the time of each event
}

func newFixture(t *testing.T) *fixture {
	w := sim.New(1)
	w.Near = sim.Link{Latency: millisecond / 2, Split: 0.3}
	f := &fixture{T: t, World: w}
	f.client = w.Host("client", "10.0.0.9", sim.HostOptions{Zone: "a"})
	f.client.Logged = func(line string) { f.log = append(f.log, line) }
	return f
}

// request is a request that a registry received.
type request struct {
	at     Time
	method string
	path   string
	header http.Header
	body   string
}

func (a request) String() string { return a.method + " " + a.path }

// response is a registry's scripted response.
type response struct {
	status int
	body   string
	header string // lines, each with its line end
	raw    string // sent unchanged in place of status, header and body; "" for none
	delay  Time
	silent bool // no response is sent
	open   bool // the body has no declared length and never ends
}

// registry is a scripted server.
type registry struct {
	f      *fixture
	host   *sim.Host
	m      machine.Machine
	calls  []request
	answer func(a request) response
}

func (f *fixture) registry(name, ip string, script func(a request) response) *registry {
	r := &registry{f: f, answer: script}
	r.host = f.World.Host(name, ip, sim.HostOptions{Zone: "a"})
	r.m = r.host.Machine()
	_, err := r.m.Listen(ip+":8761", func(c machine.Conn) machine.Handler { return &registryConn{r: r, conn: c} })
	if err != nil {
		f.Fatal(err)
	}
	return r
}

func (r *registry) url() URL {
	u, err := ParseURL("http://" + r.host.IP() + ":8761/eureka/")
	if err != nil {
		panic(err)
	}
	return u
}

// paths returns the paths of the requests so far.
func (r *registry) paths() []string {
	var all []string
	for _, a := range r.calls {
		all = append(all, a.path)
	}
	return all
}

// registryConn is one connection of a registry.
type registryConn struct {
	r    *registry
	conn machine.Conn
	in   []byte
	out  []byte
	more bool // the response never ends
}

func (p *registryConn) Readable() {
	var b [4096]byte
	for {
		n, err := p.conn.Read(b[:])
		p.in = append(p.in, b[:n]...)
		if err == machine.ErrWait {
			break
		}
		if err != nil {
			p.conn.Close()
			return
		}
	}
	src := bytes.NewReader(p.in)
	q, err := http.ReadRequest(bufio.NewReader(src))
	if err != nil {
		return // the request is incomplete
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	p.in = nil
	path := strings.TrimPrefix(q.URL.RequestURI(), "/eureka")
	a := request{at: p.r.f.Now(), method: q.Method, path: path, header: q.Header, body: string(body)}
	p.r.calls = append(p.r.calls, a)
	got := p.r.answer(a)
	if got.silent {
		return
	}
	p.r.m.At(p.r.m.Now()+got.delay, func() { p.send(got) })
}

func (p *registryConn) send(a response) {
	switch {
	case a.raw != "":
		p.out = append(p.out, a.raw...)
	case a.open:
		p.out = fmt.Appendf(p.out, "HTTP/1.1 %d X\r\n%s\r\n%s", a.status, a.header, a.body)
		p.more = true
	default:
		p.out = fmt.Appendf(p.out, "HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", a.status, a.header, len(a.body), a.body)
	}
	p.Writable()
}

func (p *registryConn) Writable() {
	for len(p.out) > 0 || p.more {
		if len(p.out) == 0 {
			p.out = bytes.Repeat([]byte("["), 64<<10)
		}
		n, err := p.conn.Write(p.out)
		p.out = p.out[n:]
		if err != nil || len(p.out) > 0 {
			return
		}
	}
}

// scriptedInstance is an instance of a scriptedFleet.
type scriptedInstance struct {
	id, status string
	updated    int64 // ms
	action     string
	app        string // "" for "CACHE"
}

func (n scriptedInstance) json() string {
	app := n.app
	if app == "" {
		app = "CACHE"
	}
	return fmt.Sprintf(`{"instanceId":%q,"hostName":"h","app":%q,"ipAddr":"10.1.0.%d","status":%q,`+
		`"overriddenStatus":"UNKNOWN","port":{"$":6379,"@enabled":"true"},"securePort":{"$":443,"@enabled":"false"},`+
		`"countryId":1,"dataCenterInfo":{"@class":"com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo","name":"MyOwn"},`+
		`"leaseInfo":{"renewalIntervalInSecs":30,"durationInSecs":90,"registrationTimestamp":1749999000000,`+
		`"lastRenewalTimestamp":1749999900000,"evictionTimestamp":0,"serviceUpTimestamp":1749999000000},`+
		`"metadata":{"zone":"z1","group":"3","weight":"1.5","management.port":"8080"},"homePageUrl":"http://h:6379/",`+
		`"statusPageUrl":"http://h:6379/info","healthCheckUrl":"http://h:6379/health","vipAddress":"cache",`+
		`"secureVipAddress":"cache","isCoordinatingDiscoveryServer":"false","lastUpdatedTimestamp":"%d",`+
		`"lastDirtyTimestamp":"%d","actionType":%q}`, n.id, app, len(n.id), n.status, n.updated, n.updated, n.action)
}

// list returns the body of a response with these nodes and with the hash code of the instances in counted.
func list(version int, counted, nodes []scriptedInstance) string {
	counts := map[string]int{}
	for _, n := range counted {
		counts[n.status]++
	}
	var apps, texts []string
	for _, n := range nodes {
		if n.app == "" {
			n.app = "CACHE"
		}
		if !slices.Contains(apps, n.app) {
			apps = append(apps, n.app)
		}
	}
	for _, app := range apps {
		var all []string
		for _, n := range nodes {
			if n.app == app || n.app == "" && app == "CACHE" {
				all = append(all, n.json())
			}
		}
		texts = append(texts, fmt.Sprintf(`{"name":%q,"instance":[%s]}`, app, strings.Join(all, ",")))
	}
	return fmt.Sprintf(`{"applications":{"versions__delta":"%d","apps__hashcode":%q,"application":[%s]}}`,
		version, hashCode(counts), strings.Join(texts, ","))
}

// scriptedFleet is the content of a registry, which a test modifies.
type scriptedFleet struct {
	nodes   []scriptedInstance
	changes []scriptedInstance
	version int
	clock   int64
}

func newScriptedFleet(ids ...string) *scriptedFleet {
	fleet := &scriptedFleet{version: 1, clock: 1_750_000_000_000}
	for _, id := range ids {
		fleet.nodes = append(fleet.nodes, scriptedInstance{id: id, status: "UP", updated: fleet.clock, action: "ADDED"})
	}
	return fleet
}

// set changes or adds an instance; status "" removes it.
func (fleet *scriptedFleet) set(id, status string) {
	fleet.clock++
	fleet.version++
	at := slices.IndexFunc(fleet.nodes, func(n scriptedInstance) bool { return n.id == id })
	n := scriptedInstance{id: id, status: status, updated: fleet.clock, action: "MODIFIED"}
	switch {
	case status == "":
		n.status, n.action = fleet.nodes[at].status, "DELETED"
		fleet.nodes = slices.Delete(fleet.nodes, at, at+1)
	case at < 0:
		n.action = "ADDED"
		fleet.nodes = append(fleet.nodes, n)
	default:
		fleet.nodes[at] = n
	}
	fleet.changes = append(fleet.changes, n)
}

// script responds to a request as a registry with the fleet's content.
func (fleet *scriptedFleet) script(a request) response {
	switch a.path {
	case "/apps/delta":
		return response{status: 200, body: list(fleet.version, fleet.nodes, fleet.changes)}
	case "/apps/CACHE":
		if len(fleet.nodes) == 0 {
			return response{status: 404}
		}
		var all []string
		for _, n := range fleet.nodes {
			all = append(all, n.json())
		}
		return response{status: 200, body: `{"application":{"name":"CACHE","instance":[` + strings.Join(all, ",") + `]}}`}
	case "/apps", "/vips/cache":
		return response{status: 200, body: list(1, fleet.nodes, fleet.nodes)}
	}
	return response{status: 404}
}

// options returns the default options with these registries as servers.
func options(servers ...*registry) Options {
	o := Default().Options("eureka")
	o.Servers = nil
	for _, r := range servers {
		o.Servers = append(o.Servers, r.url())
	}
	return o
}

// follow starts a client and records its events.
func (f *fixture) follow(o Options) *Client {
	return Follow(f.client.Machine(), o, func(e endpoints.Event) {
		f.events = append(f.events, e)
		f.eventTimes = append(f.eventTimes, f.Now())
	})
}

// after runs the simulation for a duration.
func (f *fixture) after(d Time) { f.World.Run(f.Now() + d) }

// wait runs the simulation until done returns true, and fails the test if that takes longer than a duration.
func (f *fixture) wait(d Time, condition string, done func() bool) {
	f.Helper()
	if !f.RunUntil(f.Now()+d, done) {
		f.Fatalf("not within %d ms: %s\nlog: %q", d/1000, condition, f.log)
	}
}

// waitUpdate waits for an update that matches and returns it.
func (f *fixture) waitUpdate(d Time, condition string, matches func(update *endpoints.SourceUpdate) bool) *endpoints.SourceUpdate {
	f.Helper()
	from := len(f.events)
	var found *endpoints.SourceUpdate
	f.wait(d, condition, func() bool {
		for ; from < len(f.events); from++ {
			if update, ok := f.events[from].(*endpoints.SourceUpdate); ok && matches(update) {
				found = update
				return true
			}
		}
		return false
	})
	return found
}

func isFull(update *endpoints.SourceUpdate) bool { return update.Full }

// claimTexts returns the claims as "id status", with the reason in parentheses if the endpoint does not serve.
func claimTexts(claims []endpoints.Claim) string {
	var all []string
	for _, c := range claims {
		text := c.Endpoint.ID + [...]string{" up", " draining", " removed"}[c.Endpoint.Status]
		if c.Endpoint.Status != decide.Serving {
			text += " (" + c.Reason + ")"
		}
		all = append(all, text)
	}
	return strings.Join(all, ", ")
}

// unavailableEvents returns the number of SourceUnavailable events.
func (f *fixture) unavailableEvents() int {
	n := 0
	for _, e := range f.events {
		if _, ok := e.(*endpoints.SourceUnavailable); ok {
			n++
		}
	}
	return n
}
