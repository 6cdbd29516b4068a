package eureka

import (
	"log/slog"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"

	"starlingwinch/internal/httpclient"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/structuredlog"
)

const (
	maxRegistrationResponse = 64 << 10   // bytes; the body is not read
	predecessorPollInterval = second     // between heartbeats while the predecessor may still deregister itself
	firstBackoff            = second / 2 // base of the backoff after a round of failed calls to all servers
)

// RegisterOptions are the parameters of a Registration.
type RegisterOptions struct {
	Servers           []URL
	Login             Login
	Application       string
	Instance          string         // id of the instance
	VIP               string         // "" for the application's name in lower case
	Address           netip.AddrPort // that clients connect to
	Renewal           Time           // between heartbeats
	Duration          Time           // of a lease
	Timeout           Time           // of a call, and of the deregistration with all its calls
	MaxBackoff        Time           // longest time between failing calls
	PredecessorWindow Time           // period in which the previous process with the same id may still deregister itself
}

// phase is a stage in the lifecycle of a registration.
type phase uint8

const (
	phaseServing       phase = iota // registered as UP, or being registered
	phaseDraining                   // Drain was called; the status is or becomes OUT_OF_SERVICE
	phaseDeregistering              // Cancel was called
	phaseEnded
)

// Registration keeps the router registered, with one call at a time. It logs and retries a failed call; failures don't delay
// the rest of the router. Use Register.
type Registration struct {
	m       machine.Machine
	options RegisterOptions
	logger  *slog.Logger
	login   Login
	clients []*httpclient.Client // by server
	current int                  // index of the server in use

	phase             phase
	unregistered      bool  // the registry does not know the router
	isOutOfService    bool  // the registry lists the router as OUT_OF_SERVICE
	failures          int   // consecutive failed calls
	dirtyTimestamp    int64 // time of the last change of the registered data; Unix time in milliseconds
	predecessorEndsAt Time  // the predecessor may deregister itself until this time

	nextCall      machine.Timer
	cancelTimeout machine.Timer // nil before Cancel
	onCancelled   func()        // nil before Cancel
}

// Register registers the router, and registers it again whenever the registry no longer knows it, until Stop or Cancel.
func Register(m machine.Machine, o RegisterOptions) *Registration {
	r := &Registration{
		m:                 m,
		options:           o,
		logger:            structuredlog.New(m),
		login:             o.Login,
		unregistered:      true,
		dirtyTimestamp:    m.Wall() / millisecond,
		predecessorEndsAt: m.Now() + o.PredecessorWindow,
	}
	if r.options.VIP == "" {
		r.options.VIP = strings.ToLower(o.Application)
	}
	bounds := httpclient.Options{DialTimeout: min(maxDialTime, o.Timeout), MaxBodyBytes: maxRegistrationResponse}
	for _, u := range o.Servers {
		r.clients = append(r.clients, httpclient.New(m, u.address, bounds))
	}
	if err := r.login.readPasswordFile(m); err != nil {
		r.logger.Warn("router registration password unreadable", "cause", err)
	}
	r.callAt(m.Now())
	return r
}

// Drain reports to the registry that the router is out of service.
func (r *Registration) Drain() {
	if r.phase == phaseServing {
		r.unregistered = false // a call in flight may have registered the router
		r.enter(phaseDraining)
	}
}

// Cancel deregisters the router and ends the registration. It calls done once, in a later turn of the event loop, after the
// registry's response or after Timeout at the latest.
func (r *Registration) Cancel(done func()) {
	if r.phase >= phaseDeregistering {
		r.m.Post(done)
		return
	}
	r.onCancelled = done
	r.cancelTimeout = r.m.At(r.m.Now()+r.options.Timeout, func() {
		r.logger.Warn("router deregistration timed out")
		r.end()
	})
	r.enter(phaseDeregistering)
}

// Stop ends the registration without a call to the registry, where the lease then expires.
func (r *Registration) Stop() {
	if r.phase == phaseEnded {
		return
	}
	r.phase = phaseEnded
	for _, timer := range []machine.Timer{r.nextCall, r.cancelTimeout} {
		if timer != nil {
			timer.Stop()
		}
	}
	for _, client := range r.clients {
		client.Close()
	}
}

// enter begins a phase: it cancels the call in flight and makes the phase's first call at once.
func (r *Registration) enter(next phase) {
	r.phase, r.failures = next, 0
	for _, client := range r.clients {
		client.Cancel()
	}
	r.callAt(r.m.Now())
}

// end stops the registration and notifies the caller of Cancel.
func (r *Registration) end() {
	r.Stop()
	if r.onCancelled != nil {
		r.onCancelled()
	}
}

// callAt schedules the next call.
func (r *Registration) callAt(at Time) {
	if r.nextCall != nil {
		r.nextCall.Stop()
	}
	r.nextCall = r.m.At(at, r.callNext)
}

// callNext makes the call that the phase and the registry's state require. It doesn't register a draining router that the
// registry does not know, since a registered router would receive new requests.
func (r *Registration) callNext() {
	switch {
	case r.phase == phaseDeregistering:
		r.deregister()
	case r.phase == phaseDraining && r.unregistered:
	case r.phase == phaseDraining && !r.isOutOfService:
		r.markOutOfService()
	case r.phase == phaseDraining:
		r.renew(statusOutOfService)
	case r.unregistered:
		r.register()
	default:
		r.renew(statusUp)
	}
}

// instancePath returns the path of the router's own instance.
func (r *Registration) instancePath() string {
	return "/apps/" + url.PathEscape(r.options.Application) + "/" + url.PathEscape(r.options.Instance)
}

// dirtyQuery returns the query parameter by which a registry recognizes an outdated call.
func (r *Registration) dirtyQuery() string {
	return "lastDirtyTimestamp=" + strconv.FormatInt(r.dirtyTimestamp, 10)
}

func (r *Registration) register() {
	path := "/apps/" + url.PathEscape(r.options.Application)
	r.call(http.MethodPost, path, r.instanceBody(), func(status int) bool {
		r.unregistered = !isSuccess(status)
		return !r.unregistered
	})
}

// renew sends a heartbeat. A server that has restarted, or was never called, does not know the router and responds with 404.
func (r *Registration) renew(status string) {
	path := r.instancePath() + "?status=" + status + "&" + r.dirtyQuery()
	r.call(http.MethodPut, path, nil, func(status int) bool {
		r.unregistered = status == http.StatusNotFound
		return isSuccess(status) || r.unregistered
	})
}

func (r *Registration) markOutOfService() {
	path := r.instancePath() + "/status?value=" + statusOutOfService + "&" + r.dirtyQuery()
	r.call(http.MethodPut, path, nil, func(status int) bool {
		r.isOutOfService = isSuccess(status)
		r.unregistered = status == http.StatusNotFound
		return r.isOutOfService || r.unregistered
	})
}

func (r *Registration) deregister() {
	r.call(http.MethodDelete, r.instancePath(), nil, func(status int) bool {
		isGone := isSuccess(status) || status == http.StatusNotFound
		if isGone {
			r.end()
		}
		return isGone
	})
}

func isSuccess(status int) bool { return status < 300 }

// call makes a call and schedules the next one. accept receives the HTTP status of the response and reports whether the call
// succeeded.
func (r *Registration) call(method, path string, body []byte, accept func(status int) bool) {
	u := r.options.Servers[r.current]
	request := httpclient.Request{Method: method, Path: u.path + path, Headers: r.login.headers(u), Body: body}
	if body != nil {
		request.Headers = append(request.Headers, httpclient.Header{Name: "Content-Type", Value: "application/json"})
	}
	r.clients[r.current].Do(request, r.options.Timeout, func(response *httpclient.Response, err error) {
		if err == nil && response.Status == http.StatusUnauthorized {
			r.login.readPasswordFile(r.m) // the file may have changed; if it is unreadable, the old password stays in use
		}
		if err == nil && !accept(response.Status) {
			err = &statusError{status: response.Status}
		}
		switch {
		case r.phase == phaseEnded:
		case err != nil:
			r.fail(u, method, err)
		default:
			r.succeed(u)
		}
	})
}

// succeed schedules the call that follows a successful call. A router that the registry does not know is registered at once.
func (r *Registration) succeed(u URL) {
	if r.failures > 0 {
		r.logger.Info("router registration server available", "server", u.String())
	}
	r.failures = 0
	if r.unregistered {
		r.callAt(r.m.Now())
		return
	}
	r.callAt(r.m.Now() + r.heartbeatInterval())
}

// heartbeatInterval returns the time to the next heartbeat. While the predecessor may still deregister itself, heartbeats are
// sent every second: the two processes share an id, so the deregistration removes this process too, and only the response to a
// heartbeat shows that.
func (r *Registration) heartbeatInterval() Time {
	if r.m.Now() < r.predecessorEndsAt {
		return min(predecessorPollInterval, r.options.Renewal)
	}
	return jitteredDown(r.m, r.options.Renewal)
}

// fail switches to the next server and calls it at once, or after a backoff if the calls to all servers have failed in turn.
func (r *Registration) fail(u URL, method string, err error) {
	r.failures++
	if r.failures == 1 {
		r.logger.Warn("router registration call failed", "server", u.String(), "method", method, "cause", err)
	}
	servers := len(r.options.Servers)
	r.clients[r.current].Close()
	r.current = (r.current + 1) % servers
	if r.failures%servers != 0 {
		r.callAt(r.m.Now())
		return
	}
	limit := min(r.options.MaxBackoff, r.options.Renewal)
	r.callAt(r.m.Now() + backoff(r.m, firstBackoff, limit, r.failures/servers))
}
