package eureka

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
	"strings"

	"starlingwinch/internal/httpclient"
	"starlingwinch/internal/machine"
)

// mostAnswer is the size of an answer to a registration, of which nothing is read.
const mostAnswer = 64 << 10

// RegisterOptions are what Register is told.
type RegisterOptions struct {
	Servers     []URL
	Login       Login
	Application string
	Instance    string // its id
	VIP         string // "" for the application's name in lower case
	Addr        netip.AddrPort
	Renewal     Time // between heartbeats
	Duration    Time // how long one holds
	Timeout     Time // of a call, and of the whole end
	BackoffMost Time // between calls while they fail
	Predecessor Time // for so long the process before, which has the same id, may still take itself off the registry
}

// phase is how far a registration has come.
type phase uint8

const (
	serving phase = iota
	draining
	leaving
	ended
)

// Registration keeps the router registered. Use Register. It has a client of its own, and makes one call at a time;
// what fails is logged and tried again, and holds nothing up.
type Registration struct {
	m     machine.Machine
	o     RegisterOptions
	login Login
	http  []*httpclient.Client
	at    int // the server in use
	timer machine.Timer
	limit machine.Timer // the end may take no longer
	done  func()

	phase   phase
	absent  bool // the registry does not know the router
	outside bool // it knows that the router drains
	fails   int
	dirty   int64 // ms: when what is registered came to be so
	settled Time  // from then on only this process speaks for its id
}

// Register registers the router, and again where the registry has forgotten it, until Stop or Cancel.
func Register(m machine.Machine, o RegisterOptions) *Registration {
	r := &Registration{m: m, o: o, login: o.Login, absent: true, dirty: m.Wall() / 1000, settled: m.Now() + o.Predecessor}
	if r.o.VIP == "" {
		r.o.VIP = strings.ToLower(o.Application)
	}
	for _, u := range o.Servers {
		dial := min(dialTime, o.Timeout)
		r.http = append(r.http, httpclient.New(m, u.addr, httpclient.Options{DialTime: dial, MaxBodyBytes: mostAnswer}))
	}
	if err := r.login.read(m); err != nil {
		m.Log("eureka registration: " + err.Error())
	}
	r.wake(m.Now())
	return r
}

// Drain tells the registry that the router is out of service.
func (r *Registration) Drain() {
	if r.phase == serving {
		r.turnTo(draining)
	}
}

// Cancel takes the router off the registry and ends the registration. done is called once, in a later turn, when that
// was answered, or failed, or took too long.
func (r *Registration) Cancel(done func()) {
	if r.phase >= leaving {
		r.m.Post(done)
		return
	}
	r.done = done
	r.limit = r.m.At(r.m.Now()+r.o.Timeout, func() {
		r.m.Log("eureka registration: no time was left to cancel it")
		r.end()
	})
	r.turnTo(leaving)
}

// Stop ends the registration without a word to the registry, where the lease runs out.
func (r *Registration) Stop() {
	if r.phase == ended {
		return
	}
	r.phase = ended
	r.quiet()
}

// turnTo gives up what is under way for what is more urgent.
func (r *Registration) turnTo(p phase) {
	if r.phase, r.fails = p, 0; p == draining {
		r.absent = false // a call that was under way may have registered it
	}
	for _, h := range r.http {
		h.Cancel()
	}
	r.wake(r.m.Now())
}

func (r *Registration) end() {
	done := r.done
	r.Stop()
	if done != nil {
		done()
	}
}

// quiet gives all back.
func (r *Registration) quiet() {
	for _, t := range []machine.Timer{r.timer, r.limit} {
		if t != nil {
			t.Stop()
		}
	}
	for _, h := range r.http {
		h.Close()
	}
}

func (r *Registration) wake(t Time) {
	if r.timer != nil {
		r.timer.Stop()
	}
	r.timer = r.m.At(t, r.next)
}

// next makes the call that is due.
func (r *Registration) next() {
	app, id := url.PathEscape(r.o.Application), url.PathEscape(r.o.Instance)
	own := "/apps/" + app + "/" + id
	since := "lastDirtyTimestamp=" + strconv.FormatInt(r.dirty, 10)
	switch {
	case r.phase == leaving:
		r.call("DELETE", own, nil, func(status int) bool {
			if status < 300 || status == 404 {
				r.end()
				return true
			}
			return false
		})
	case r.phase == draining && r.absent:
		// The danger: to register now would have new work sent here.
	case r.phase == draining && !r.outside:
		r.call("PUT", own+"/status?value="+statusOut+"&"+since, nil, func(status int) bool {
			r.outside, r.absent = status < 300, status == 404
			return r.outside || r.absent
		})
	case r.phase == draining:
		r.call("PUT", own+"?status="+statusOut+"&"+since, nil, func(status int) bool {
			r.absent = status == 404
			return status < 300 || r.absent
		})
	case r.absent:
		r.call("POST", "/apps/"+app, r.body(), func(status int) bool {
			r.absent = status >= 300
			return !r.absent
		})
	default:
		r.call("PUT", own+"?status="+statusUp+"&"+since, nil, func(status int) bool {
			r.absent = status == 404 // it has forgotten the router, or has never known it
			return status < 300 || r.absent
		})
	}
}

// call makes a call and then sets the time of the next one. good takes an answer's status and tells whether it will do.
func (r *Registration) call(method, path string, body []byte, good func(status int) bool) {
	u := r.o.Servers[r.at]
	s := server{url: u}
	q := httpclient.Request{Method: method, Path: u.path + path, Headers: s.headers(r.login), Body: body}
	if body != nil {
		q.Headers = append(q.Headers, httpclient.Header{Name: "Content-Type", Value: "application/json"})
	}
	r.http[r.at].Do(q, r.o.Timeout, func(resp *httpclient.Response, err error) {
		if err == nil && resp.Status == 401 {
			r.login.read(r.m)
		}
		if err == nil && !good(resp.Status) {
			err = errors.New("HTTP " + strconv.Itoa(resp.Status))
		}
		if r.phase == ended {
			return
		}
		if err != nil {
			r.failed(u, method, err)
			return
		}
		if r.fails > 0 {
			r.m.Log(fmt.Sprintf("eureka registration: %s answers again", u))
		}
		r.fails = 0
		if r.absent {
			r.wake(r.m.Now())
			return
		}
		r.wake(r.m.Now() + r.pause())
	})
}

// pause is until the next heartbeat. While the process before may still take itself off the registry, which takes this one off
// too as they have one id, heartbeats come each second: only they tell that it has happened.
func (r *Registration) pause() Time {
	if r.m.Now() < r.settled {
		return min(second, r.o.Renewal)
	}
	return jitterDown(r.m, r.o.Renewal)
}

// failed turns to the next server, at once where there is one that was not tried in this round.
func (r *Registration) failed(u URL, method string, err error) {
	if r.fails++; r.fails == 1 {
		r.m.Log(fmt.Sprintf("eureka registration: %s: %s: %v", u, method, err))
	}
	r.http[r.at].Close()
	r.at = (r.at + 1) % len(r.o.Servers)
	if r.fails%len(r.o.Servers) != 0 {
		r.wake(r.m.Now())
		return
	}
	r.wake(r.m.Now() + backoff(r.m, second/2, min(r.o.BackoffMost, r.o.Renewal), r.fails/len(r.o.Servers)))
}

// jitterDown is a span, or up to a tenth less: a heartbeat may come early but not late.
func jitterDown(m machine.Machine, span Time) Time { return Time(float64(span) * (1 - 0.1*chance(m))) }

// body is the router as an instance.
func (r *Registration) body() []byte {
	type values = map[string]any
	ip := r.o.Addr.Addr().String()
	instance := values{
		"instanceId": r.o.Instance, "app": r.o.Application, "hostName": ip, "ipAddr": ip,
		"vipAddress": r.o.VIP, "status": statusUp, "overriddenstatus": statusUnknown,
		"port":       values{"$": r.o.Addr.Port(), "@enabled": "true"},
		"securePort": values{"$": 443, "@enabled": "false"},
		"countryId":  1,
		"dataCenterInfo": values{
			"@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo",
			"name":   "MyOwn",
		},
		"leaseInfo": values{
			"renewalIntervalInSecs": r.o.Renewal / second,
			"durationInSecs":        r.o.Duration / second,
		},
		"metadata":             values{},
		"lastDirtyTimestamp":   strconv.FormatInt(r.dirty, 10),
		"lastUpdatedTimestamp": strconv.FormatInt(r.dirty, 10),
	}
	raw, _ := json.Marshal(values{"instance": instance}) // it holds nothing that can't be written
	return raw
}
