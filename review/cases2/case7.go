package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

func init() { cases["7"] = floodedMemory }

// Figures of case 7.
const (
	floodMemoryMB = 48
	floodClients  = 300
	floodBurst    = 300
	floodTime     = 12 * time.Second
)

// floodedMemory has bad clients send hundreds of reads at once, and the same again as soon as they are answered. The router
// must stay within its memory limit, and answer the usual clients.
func floodedMemory(l *lab, trouble bool) (verdict, error) {
	var v verdict
	classes := rajkotClasses()
	f, err := l.startFleet(9, rajkotSettings(classes), map[string]any{"cores": 1.0, "memory_mb": floodMemoryMB, "sockets": 1024})
	if err != nil {
		return v, err
	}
	f.work(20 * time.Millisecond)
	stop := time.Now().Add(floodTime)
	load := &steadyLoad{lab: l, addr: f.router.addr, class: classes[0], pause: 200 * time.Millisecond, until: stop}
	load.start(40)
	time.Sleep(2 * time.Second)
	l.notef("resident memory before: %d KiB of %d MiB", f.router.status("VmRSS"), floodMemoryMB)
	if trouble {
		l.notef("%d bad clients begin to send %d reads at once", floodClients, floodBurst)
		for range floodClients {
			go flood(f.router.addr, stop)
		}
	}
	over, peak := 0, 0
	for time.Now().Before(stop) {
		time.Sleep(50 * time.Millisecond)
		rss := f.router.status("VmRSS")
		if rss > floodMemoryMB<<10 {
			over++
		}
		if rss > peak {
			peak = rss
			l.notef("resident memory: %d KiB", rss)
		}
		if f.router.hasExited() {
			v.addf("the router has ended: %v", f.router.err)
			break
		}
	}
	all := load.wait()
	fmt.Printf("resident memory: at most %d KiB of %d, over the limit in %d samples\n", peak, floodMemoryMB<<10, over)
	l.notef("resident memory: at most %d KiB of %d, over the limit in %d samples", peak, floodMemoryMB<<10, over)
	if over > 0 {
		v.addf("the router held %d KiB of resident memory, over its limit of %d MiB: the platform kills it", peak, floodMemoryMB)
	}
	if len(all) < 50 {
		return v, errCannotJudge
	}
	v.judgeAnswers(l, all, false)
	return v, nil
}

// flood is a bad client: it sends floodBurst reads at once, reads all that it is sent, and sends the same again.
func flood(addr string, stop time.Time) {
	for time.Now().Before(stop) {
		c, err := dial(addr)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		c.SetDeadline(stop.Add(time.Second))
		for err == nil && time.Now().Before(stop) {
			var b []byte
			for range floodBurst {
				b = append(b, get(fmt.Sprintf("call%d", rand.IntN(20000)), newID(), "log-page", 3000)...)
			}
			_, err = c.Write(b)
			for i := 0; i < floodBurst && err == nil; i++ {
				_, err = readReply(c.in)
			}
		}
		c.Close()
	}
}
