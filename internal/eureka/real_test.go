package eureka

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"starlingwinch/internal/endpoints"
	"starlingwinch/internal/machine"
)

// TestFollowOnRealMachine runs a client on the real machine, where responses are parsed outside the event loop, and stops it.
func TestFollowOnRealMachine(t *testing.T) {
	body := list(1, newScriptedFleet("a", "bb").nodes, newScriptedFleet("a", "bb").nodes)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/eureka/apps" {
			http.NotFound(w, r)
			return
		}
		fmt.Fprint(w, body)
	}))
	defer server.Close()
	m, err := machine.New(machine.Options{})
	if err != nil {
		t.Fatal(err)
	}
	o := Default().Options("eureka")
	u, err := ParseURL(server.URL + "/eureka")
	if err != nil {
		t.Fatal(err)
	}
	o.Servers, o.PollInterval, o.Timeout = []URL{u}, 50*millisecond, 20*second
	var got string
	var status Status
	m.Post(func() {
		var c *Client
		calls := 0
		c = Follow(m, o, func(e endpoints.Event) {
			if update, ok := e.(*endpoints.SourceUpdate); ok && update.Full && got == "" {
				got = claimTexts(update.Claims)
			}
			if calls++; calls == 3 {
				status = c.Status()
				c.Stop()
				m.Stop()
			}
		})
	})
	m.Run()
	if got != "a up, bb up" || status.Failures != 0 || status.Calls < 3 {
		t.Errorf("reported %q, status %+v", got, status)
	}
}
