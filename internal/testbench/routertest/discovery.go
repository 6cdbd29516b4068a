package routertest

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
)

// Call is one call of discovery by a router.
type Call struct {
	Query   string
	Reply   chan string     // receives a body from the test, or "" for 503
	Written chan struct{}   // closed when the answer is on its way, whole
	Gone    <-chan struct{} // closed when the caller's connection has ended, or the call is over
}

// Discovery starts a discovery server that hands each call to the test.
func Discovery(t testing.TB) (addr string, calls <-chan Call) {
	t.Helper()
	handed := make(chan Call)
	over := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := Call{r.URL.String(), make(chan string, 1), make(chan struct{}), r.Context().Done()}
		select {
		case handed <- c:
		case <-over:
			return
		}
		select {
		case body := <-c.Reply:
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
			if body == "" {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			fmt.Fprint(w, body)
			w.(http.Flusher).Flush()
			close(c.Written)
		case <-over:
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(func() {
		close(over)
		srv.CloseClientConnections()
		srv.Close()
	})
	return srv.Listener.Addr().String(), handed
}

// SilentDiscovery starts a discovery server that answers no watch until the end of the test.
func SilentDiscovery(t testing.TB) string {
	t.Helper()
	over := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-over:
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(func() {
		close(over)
		srv.CloseClientConnections()
		srv.Close()
	})
	return srv.Listener.Addr().String()
}
