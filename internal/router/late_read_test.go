package router

import (
	"fmt"
	"regexp"
	"strconv"
	"testing"
	"time"

	"starlingwinch/internal/testbench/routertest"
)

// TestRequestReadLateIsNotSent guards against a request that waited in the kernel past its client's time being sent to a cache: the
// client has tried again elsewhere, and the caches may have forgotten that.
func TestRequestReadLateIsNotSent(t *testing.T) {
	const wait = 400 * time.Millisecond
	cache := newFakeCache(t)
	r := start(t, testConfig(t, routertest.SilentDiscovery(t), nil, host("c1", cache.Addr(), "in_service")), nil, nil)
	sent := make(chan string, 10)
	cache.Saying(t, func(id string) string { sent <- id; return served })
	open := dial(t, r.addr)
	open.Send(get("before"))
	open.Want("value")
	receive(t, sent, "first request at the cache")

	busy, end := make(chan struct{}), make(chan struct{})
	r.Post(func() { close(busy); <-end })
	receive(t, busy, "busy loop")
	late := dial(t, r.addr)
	for i, c := range []*routertest.Client{open, late} {
		c.Send(words("C.SET", "k", fmt.Sprint("late", i), "c=put,d=200,k=5", "v"))
	}
	patient := dial(t, r.addr)
	patient.Send(get("patient"))
	time.Sleep(wait) // the loop must stand still for a time
	close(end)
	open.Want("-BUSY")
	late.Want("-BUSY")
	patient.Want("value")
	if id := receive(t, sent, "request at the cache"); id != "patient" {
		t.Errorf("the cache received request %s, whose time was over", id)
	}
}

// TestCommandBehindPipelineLimitKeepsItsTime guards against a command that waited behind others of its connection being told to its
// cache with its whole time.
func TestCommandBehindPipelineLimitKeepsItsTime(t *testing.T) {
	const wait, timeout, late = 300 * time.Millisecond, 20_000, 200
	cache := newFakeCache(t)
	cfg := testConfig(t, routertest.SilentDiscovery(t), nil, host("c1", cache.Addr(), "in_service"))
	cfg.OperatorLimits.Clients.MaxPipelined = 1
	r := start(t, cfg, nil, nil)
	c := dial(t, r.addr)
	c.Send(get("first") + words("C.GET", "k", "late", fmt.Sprintf("c=read,d=%d", late)) + get("second"))
	first := receive(t, cache.Commands, "first request at the cache")
	time.Sleep(wait) // the commands must wait for a time
	first.Reply(t, served)
	c.Want("value")
	c.Want("-BUSY")
	second := receive(t, cache.Commands, "second request at the cache")
	match := regexp.MustCompile(`d=(\d+)`).FindStringSubmatch(second.Args[3])
	if match == nil {
		t.Fatalf("got metadata %q without a time", second.Args[3])
	}
	if told, _ := strconv.Atoi(match[1]); told > timeout-int(wait/time.Millisecond) {
		t.Errorf("cache was told %d ms of %d, %v after the request", told, timeout, wait)
	}
	second.Reply(t, served)
	c.Want("value")
}
