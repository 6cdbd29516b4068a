package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// asked is a request of a usual client with the router's answer.
type asked struct {
	id, key, class string
	d              time.Duration
	sent           time.Time
	reply          reply
}

// steadyLoad are usual clients: each keeps a connection and sends one request after another.
type steadyLoad struct {
	lab   *lab
	addr  string
	class class
	pause time.Duration // mean time between an answer and the next request
	until time.Time

	mu  sync.Mutex
	all []*asked
	wg  sync.WaitGroup
}

// start starts a number of clients.
func (s *steadyLoad) start(clients int) {
	for range clients {
		s.wg.Go(s.run)
	}
}

// run is one client. A connection that the router closes between requests is replaced, and a request that crossed the close is
// sent once more.
func (s *steadyLoad) run() {
	var c *client
	for time.Now().Before(s.until) {
		time.Sleep(time.Duration(rand.Int64N(2 * int64(s.pause))))
		a := &asked{id: newID(), key: fmt.Sprintf("call%d", rand.IntN(400)), class: s.class.Name, d: time.Duration(s.class.HardLimit) * time.Microsecond}
		for try := range 2 {
			fresh := false
			if c == nil {
				var err error
				if c, err = dial(s.addr); err != nil {
					break
				}
				fresh = true
			}
			a.sent = time.Now()
			c.SetDeadline(a.sent.Add(a.d + 2*time.Second))
			if _, err := c.Write(get(a.key, a.id, a.class, int(a.d/time.Millisecond))); err == nil {
				var err error
				if a.reply, err = readReply(c.in); err == nil {
					break
				}
			}
			a.reply = reply{outcome: lost, at: time.Now()}
			c.Close()
			c = nil
			if fresh || try == 1 {
				break
			}
		}
		s.mu.Lock()
		s.all = append(s.all, a)
		s.mu.Unlock()
	}
	if c != nil {
		c.Close()
	}
}

// wait waits for all clients and returns the requests that were written.
func (s *steadyLoad) wait() []*asked {
	s.wg.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	var sent []*asked
	for _, a := range s.all {
		if !a.sent.IsZero() {
			sent = append(sent, a)
			s.lab.notef("client: %s %s: %s %q after %.0f ms", a.class, a.id, a.reply.outcome, a.reply.text, a.took().Seconds()*1000)
		}
	}
	return sent
}

func (a *asked) took() time.Duration { return a.reply.at.Sub(a.sent) }
