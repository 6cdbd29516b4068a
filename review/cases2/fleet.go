package main

import (
	"errors"
	"fmt"
	"time"
)

// fleet is a small deployment: one router, its caches and discovery.
type fleet struct {
	router    *router
	caches    []*cache
	discovery *discovery
}

// startFleet starts caches, discovery with all of them in service, and a router.
func (l *lab) startFleet(caches int, s settings, limits map[string]any) (*fleet, error) {
	f := &fleet{}
	var hosts []host
	zones := []string{"ahmedabad", "rajkot", "surat"}
	for i := range caches {
		c, err := l.startCache(fmt.Sprintf("s-%02d", i), "127.0.0.1")
		if err != nil {
			return nil, err
		}
		f.caches = append(f.caches, c)
		hosts = append(hosts, host{c.name, c.addr, zones[i%len(zones)], "std-6", i / 6, "in_service", 1, 0})
	}
	var err error
	if f.discovery, err = l.startDiscovery(hosts); err != nil {
		return nil, err
	}
	f.router, err = l.startRouter(routerConfig{Name: "n1", Discovery: f.discovery.addr, Seed: "8c1f30d27a5be964", Limits: limits,
		Known: hostList{9, true, hosts}, Settings: s})
	return f, err
}

// cores is the number of requests that a cache works on at a time.
const cores = 6

// work gives all caches a time that a request takes on one of their cores. Each of before is called as a request's work begins.
func (f *fleet) work(took time.Duration, before ...func(*command)) {
	for _, c := range f.caches {
		busy := make(chan bool, cores)
		c.setHandle(func(cmd *command) {
			busy <- true
			for _, call := range before {
				call(cmd)
			}
			time.Sleep(took)
			<-busy
			cmd.serve()
		})
	}
}

// errCannotJudge is returned if a case sees too few requests to judge.
var errCannotJudge = errors.New("too few requests to judge")

// lateAfter is the time after a request's own time from which an answer counts as lost: half a second, and the slack of real
// sockets.
const lateAfter = 500*time.Millisecond + 50*time.Millisecond

// judgeAnswers records each request of a usual client without a final answer within its time and lateAfter. A request whose
// connection the router has shut within that time is excused if shutIsExcused is set: it may have been shut unread.
func (v *verdict) judgeAnswers(l *lab, all []*asked, shutIsExcused bool) {
	count := map[outcome]int{}
	late, worst := 0, time.Duration(0)
	for _, a := range all {
		count[a.reply.outcome]++
		worst = max(worst, a.took())
		switch {
		case a.took() > a.d+lateAfter:
			late++
			v.addf("request %s (%s, %d ms) had no final answer within %d ms: %s after %d ms", a.id, a.class, a.d.Milliseconds(),
				(a.d + lateAfter).Milliseconds(), a.reply.outcome, a.took().Milliseconds())
		case a.reply.outcome == lost && !shutIsExcused:
			v.addf("request %s (%s) lost: its connection ended after %d ms", a.id, a.class, a.took().Milliseconds())
		}
	}
	l.notef("usual clients: %d requests: %v; %d without an answer in time; slowest %d ms", len(all), count, late, worst.Milliseconds())
	fmt.Printf("usual clients: %d requests: %v; %d without an answer in time; slowest %d ms\n", len(all), count, late, worst.Milliseconds())
}
