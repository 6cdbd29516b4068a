package registry

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"starlingwinch/internal/httpclient"
	"starlingwinch/internal/testbench/sim"
)

// field is a registry on one host of a virtual network, and a client of it on another.
type field struct {
	*testing.T
	world *sim.World
	host  *sim.Host
	r     *Registry
	calls *httpclient.Client
	marks []string
}

func newField(t *testing.T, o Options) *field {
	t.Helper()
	world := sim.New(1)
	world.Host("client", "10.0.0.2", sim.HostOptions{})
	return newReplica(t, world, 1, o)
}

// newReplica is the n-th registry of a world, on a host of its own.
func newReplica(t *testing.T, world *sim.World, n int, o Options) *field {
	t.Helper()
	f := &field{T: t, world: world}
	ip := fmt.Sprintf("10.0.1.%d", n)
	f.host = world.Host(fmt.Sprintf("registry-%d", n), ip, sim.HostOptions{})
	o.OnMark = func(id, status string, at Time) {
		if at != world.Now() {
			t.Errorf("a mark for %d is told at %d", at, world.Now())
		}
		f.marks = append(f.marks, id+" "+status)
	}
	f.r = New(f.host.Machine(), o)
	addr, err := f.r.Open(ip + ":8761")
	if err != nil {
		t.Fatal(err)
	}
	client := world.Host(fmt.Sprintf("client-%d", n), fmt.Sprintf("10.0.2.%d", n), sim.HostOptions{})
	f.calls = httpclient.New(client.Machine(), addr, httpclient.Options{DialTimeout: Second, MaxBodyBytes: 4 << 20})
	return f
}

func (f *field) after(d Time) { f.world.Run(f.world.Now() + d) }

// reply is what a call came to.
type reply struct {
	status int
	body   string
	header map[string][]string
	err    error
	took   Time
}

const most = 20 * Second // that a call may take

// call makes a call below the base. Its headers are name and value by turns.
func (f *field) call(method, path, body string, headers ...string) (got reply) {
	f.Helper()
	q := httpclient.Request{Method: method, Path: "/eureka" + path, Body: []byte(body)}
	for i := 0; i+1 < len(headers); i += 2 {
		q.Headers = append(q.Headers, httpclient.Header{Name: headers[i], Value: headers[i+1]})
	}
	if body != "" && len(headers) == 0 {
		q.Headers = []httpclient.Header{{Name: "Content-Type", Value: "application/json"}}
	}
	start, over := f.world.Now(), false
	f.calls.Do(q, most, func(resp *httpclient.Response, err error) {
		over = true
		got.took, got.err = f.world.Now()-start, err
		if err != nil {
			return
		}
		plain, err := resp.DecodedBody(4 << 20)
		got.status, got.body, got.header, got.err = resp.Status, string(plain), resp.Header, err
	})
	for f.world.Now() < start+most+Second && !over {
		f.after(10 * Millisecond)
	}
	if !over {
		f.Fatalf("%s %s never ended", method, path)
	}
	return got
}

// does makes a call and fails where its status is another one.
func (f *field) does(status int, method, path, body string, headers ...string) reply {
	f.Helper()
	got := f.call(method, path, body, headers...)
	if got.status != status || got.err != nil {
		f.Fatalf("%s %s: %d %.200q, %v; want %d", method, path, got.status, got.body, got.err, status)
	}
	return got
}

// list is a list of applications as a client reads it.
type list struct {
	Applications struct {
		Version string `json:"versions__delta"`
		Hash    string `json:"apps__hashcode"`
		App     []struct {
			Name     string
			Instance []map[string]any
		} `json:"application"`
	}
}

// fetch is a list, as "id status action" with the action in deltas only, and its hash.
func (f *field) fetch(path string) (lines, hash string) {
	f.Helper()
	got := f.does(200, "GET", path, "")
	var l list
	if err := json.Unmarshal([]byte(got.body), &l); err != nil {
		f.Fatalf("%s: %v in %.300s", path, err, got.body)
	}
	var all []string
	for _, app := range l.Applications.App {
		for _, in := range app.Instance {
			line := fmt.Sprint(in["instanceId"], " ", in["status"])
			if path == "/apps/delta" {
				line += fmt.Sprint(" ", in["actionType"])
			}
			all = append(all, line)
		}
	}
	return strings.Join(all, ", "), l.Applications.Hash
}

// shows fails where a list is another one.
func (f *field) shows(path, lines, hash string) {
	f.Helper()
	if got, h := f.fetch(path); got != lines || h != hash {
		f.Errorf("%s shows %q with %q; want %q with %q", path, got, h, lines, hash)
	}
}

// body is a registration's body; more is JSON that goes before the rest.
func body(id, more string) string {
	return `{"instance":{` + more + `"instanceId":"` + id + `","app":"LOG-CACHE","hostName":"h","ipAddr":"10.9.0.1",` +
		`"vipAddress":"log-cache","dataCenterInfo":{"@class":"c","name":"MyOwn"},"port":{"$":6379,"@enabled":"true"}}}`
}

func (f *field) register(ids ...string) {
	f.Helper()
	for _, id := range ids {
		f.does(204, "POST", "/apps/LOG-CACHE", body(id, ""))
	}
}

// renew renews leases without calls over the network.
func (f *field) renew(ids ...string) {
	f.Helper()
	for _, id := range ids {
		if err := f.r.Renew(id); err != nil {
			f.Fatalf("%s: %v", id, err)
		}
	}
}
