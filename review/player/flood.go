package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"
)

// Sizes of a play with a long queue.
const (
	queueMemoryMB     = 64
	queueConnections  = 100
	queueCommands     = 500 // on each connection, all at once
	ordinaryClients   = 10  // one command at a time
	ordinaryTimeoutMS = 1500
	ordinarySpan      = 10 * time.Second
	lostAfter         = 550 * time.Millisecond // after the client's time: half a second, and 50 ms as for each limit on sockets
)

// playLongQueue has clients send many commands at once, and checks that the requests of other clients are answered. With TROUBLE=0
// there are only the other clients.
func playLongQueue(p *play) ([]string, error) {
	counts := newEffects()
	var entries []entry
	for i := range writeCaches {
		c, err := startCache(p, cacheOptions{name: fmt.Sprintf("s-%d", i+1), slots: 24, leastWork: 130 * time.Millisecond,
			mostWork: 230 * time.Millisecond}, counts)
		if err != nil {
			return nil, err
		}
		entries = append(entries, c.entry())
	}
	d, err := startDiscovery(p, entries)
	if err != nil {
		return nil, err
	}
	router, err := startRouter(p, routerConfig(d.address, queueMemoryMB, entries, pipelineClasses))
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var breaches []string
	sent := 0
	var all sync.WaitGroup
	for range ordinaryClients {
		all.Go(func() {
			lost, count := ordinaryClient(p, router)
			mu.Lock()
			defer mu.Unlock()
			breaches, sent = append(breaches, lost...), sent+count
		})
	}
	time.Sleep(2 * time.Second)
	if p.trouble {
		for range queueConnections {
			all.Go(func() { floodOnce(p, router) })
		}
	}
	all.Wait()
	p.say("requests of the other clients %d, of these lost %d", sent, len(breaches))
	return breaches, nil
}

// ordinaryClient sends reads one at a time, and returns those that got no answer within their time and lostAfter.
func ordinaryClient(p *play, router string) (lost []string, sent int) {
	const timeout = ordinaryTimeoutMS * time.Millisecond
	for until := time.Now().Add(ordinarySpan); time.Now().Before(until); {
		conn, err := net.DialTimeout("tcp", router, time.Second)
		if err != nil {
			continue
		}
		reader := bufio.NewReader(conn)
		for err == nil && time.Now().Before(until) {
			id := newID()
			sent++
			conn.SetDeadline(time.Now().Add(timeout + lostAfter))
			p.record.line("client", "sends %s", id)
			conn.Write(command("C.GET", newID()[:16], id, fmt.Sprintf("c=log-page,t=acme,d=%d", ordinaryTimeoutMS)))
			var answer string
			answer, err = readReply(reader)
			p.record.line("client", "got for %s %.40q %v", id, answer, err)
			if err != nil {
				lost = append(lost, fmt.Sprintf("%s got no answer %v after its time: %v", id, lostAfter, err))
			}
			time.Sleep(50 * time.Millisecond)
		}
		conn.Close()
	}
	return lost, sent
}

// floodOnce sends many commands at once on one connection, and reads the answers.
func floodOnce(p *play, router string) {
	conn, err := net.DialTimeout("tcp", router, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	var wire []byte
	for range queueCommands {
		wire = append(wire, command("C.GET", newID()[:16], newID(), "c=log-page,t=acme,d=3000")...)
	}
	conn.SetDeadline(time.Now().Add(ordinarySpan))
	go conn.Write(wire)
	reader := bufio.NewReader(conn)
	answered := 0
	for answered < queueCommands {
		if _, err := readReply(reader); err != nil {
			break
		}
		answered++
	}
	p.record.line("flood", "%d of %d commands answered", answered, queueCommands)
}
