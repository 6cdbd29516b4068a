package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["6"] = writeFinishedTooLate }

// Figures of case 6.
const (
	lateRounds  = 6
	lateCaches  = 12
	lateHung    = 2                       // of the caches at a time: 17 in 100
	lateHang    = 5300 * time.Millisecond // how long they hang
	lateWrites  = 3                       // to each hung cache in a round
	lateResume  = 1050 * time.Millisecond // from the write to the end of the hang
	lateWindow  = 600 * time.Millisecond
	lateValue   = 65000
	lateMSS     = 536
	lateReceive = 8192
)

// gate holds a hung cache's reads.
type gate struct {
	mu   sync.Mutex
	open chan struct{} // closed while the cache does not hang
}

func newGate() *gate {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	return g
}

// shut begins a hang.
func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = make(chan struct{})
}

// lift ends a hang.
func (g *gate) lift() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.open)
}

// wait waits while the cache hangs.
func (g *gate) wait() {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	<-open
}

// gatedConn is a connection whose reads wait at a gate.
type gatedConn struct {
	net.Conn
	gate *gate
}

// Read implements net.Conn.
func (c *gatedConn) Read(b []byte) (int, error) {
	c.gate.wait()
	return c.Conn.Read(b)
}

// startSmallCache starts a cache on a network with small segments, which reads at its gate.
func (l *lab) startSmallCache(name string) (*cache, *gate, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, lateMSS)
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, lateReceive)
		})
	}}
	ln, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	c := &cache{lab: l, name: name, addr: ln.Addr().String(), conns: map[*cacheConn]bool{}, listener: ln}
	g := newGate()
	l.atEnd(c.stop)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			gated := &gatedConn{conn, g}
			cc := &cacheConn{cache: c, Conn: conn, in: bufio.NewReaderSize(gated, 512)}
			c.mu.Lock()
			c.conns[cc] = true
			c.mu.Unlock()
			go cc.run()
		}
	}()
	return c, g, nil
}

// writeFinishedTooLate has caches hang for a while, and the answers of one cache to writes get lost. No write may be carried out twice.
func writeFinishedTooLate(l *lab, trouble bool) (verdict, error) {
	var v verdict
	classes := rajkotClasses()
	classes[2].KeyTTL = lateWindow.Microseconds()
	s := rajkotSettings(classes)
	s["limits"].(map[string]any)["probes"] = false
	f := &fleet{}
	gates := map[string]*gate{}
	var hosts []host
	for i := range lateCaches {
		c, g, err := l.startSmallCache(fmt.Sprintf("s-%02d", i))
		if err != nil {
			return v, err
		}
		gates[c.name] = g
		f.caches = append(f.caches, c)
		hosts = append(hosts, host{c.name, c.addr, "rajkot", "std-6", i / 6, "in_service", 1, 0})
	}
	var err error
	if f.discovery, err = l.startDiscovery(hosts); err != nil {
		return v, err
	}
	f.router, err = l.startRouter(routerConfig{Name: "n1", Discovery: f.discovery.addr, Seed: "8c1f30d27a5be964",
		Limits: map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, Known: hostList{9, true, hosts}, Settings: s})
	if err != nil {
		return v, err
	}
	memory := newEffects(lateWindow)
	var mu sync.Mutex
	home := map[string]string{} // the cache of a key
	loses := map[string]bool{}  // idempotency keys whose first answer gets lost
	for _, c := range f.caches {
		c.setHandle(func(cmd *command) {
			if cmd.verb() == "C.GET" {
				mu.Lock()
				if home[cmd.key()] == "" {
					home[cmd.key()] = c.name
				}
				mu.Unlock()
				cmd.serve()
				return
			}
			memory.apply(cmd)
			mu.Lock()
			lost := loses[cmd.meta("k")]
			delete(loses, cmd.meta("k"))
			mu.Unlock()
			if lost {
				l.notef("cache %s: the answer to %s gets lost", c.name, cmd.id())
				return
			}
			cmd.serve()
		})
	}
	// A read of each key shows which cache it belongs to.
	for i := range 200 {
		ask(f.router.addr, get(fmt.Sprintf("call%d", i), newID(), "call-lookup", 1200))
	}
	ids := map[string][]string{}
	var wg sync.WaitGroup
	sent := 0
	for round := range lateRounds {
		var hung []*cache
		for i := range lateHung {
			hung = append(hung, f.caches[(round*lateHung+i)%lateCaches])
		}
		began := time.Now()
		if trouble {
			for _, c := range hung {
				l.notef("cache %s: hangs", c.name)
				gates[c.name].shut()
			}
		}
		time.Sleep(lateHang - lateResume)
		value := strings.Repeat("x", lateValue)
		for _, c := range hung {
			for _, key := range keysOf(home, &mu, c.name, lateWrites) {
				k, id := newID(), newID()
				mu.Lock()
				loses[k] = trouble
				ids[k] = append(ids[k], id)
				mu.Unlock()
				sent++
				wg.Go(func() {
					r := ask(f.router.addr, setKeyed(key, id, "add-contact", 1200, k, value))
					l.notef("client: write %s of %s: %s %q", id, k, r.outcome, r.text)
				})
			}
		}
		time.Sleep(time.Until(began.Add(lateHang)))
		if trouble {
			for _, c := range hung {
				l.notef("cache %s: goes on", c.name)
				gates[c.name].lift()
			}
		}
		wg.Wait()
		time.Sleep(300 * time.Millisecond)
	}
	memory.mu.Lock()
	defer memory.mu.Unlock()
	for k, runs := range memory.byKey {
		if len(runs) > 1 {
			v.addf("write %s (request %s, sent once by its client) was carried out twice: at %s, and at %s %d ms later, past the window of %d ms",
				k, runs[0].id, runs[0].cache, runs[1].cache, runs[1].at.Sub(runs[0].at).Milliseconds(), lateWindow.Milliseconds())
		}
	}
	fmt.Printf("%d writes, %d carried out, %d twice\n", sent, len(memory.byKey), len(v.broken))
	l.notef("%d writes, %d carried out, %d twice", sent, len(memory.byKey), len(v.broken))
	if len(memory.byKey) < sent/2 {
		return v, errCannotJudge
	}
	return v, nil
}

// keysOf returns up to n keys that belong to a cache, and forgets them.
func keysOf(home map[string]string, mu *sync.Mutex, cache string, n int) []string {
	mu.Lock()
	defer mu.Unlock()
	var keys []string
	for key, name := range home {
		if name == cache && len(keys) < n {
			keys = append(keys, key)
			delete(home, key)
		}
	}
	return keys
}

// ask sends one request on a connection of its own and returns the answer.
func ask(addr string, request []byte) reply {
	c, err := dial(addr)
	if err != nil {
		return reply{outcome: lost, at: time.Now()}
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	c.Write(request)
	r, _ := readReply(c.in)
	return r
}
