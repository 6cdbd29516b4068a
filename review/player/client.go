package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// answers counts the clients' answers.
type answers struct {
	mu     sync.Mutex
	served map[string]string // the value or receipt, by id
	other  map[string]string // any other answer, or how the connection ended, by id
	sent   int
}

// newAnswers returns empty counts.
func newAnswers() *answers { return &answers{served: map[string]string{}, other: map[string]string{}} }

// add records the answer to a request.
func (a *answers) add(id, answer string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(answer) > 0 && answer[0] == '$' {
		a.served[id] = answer[1:]
	} else {
		a.other[id] = answer
	}
}

// newID returns a new id of a request.
func newID() string { return fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64()) }

// The popularity of the key of rank i is in proportion to (keyOffset + i) to the power of -keyExponent: of 1,000 keys, the first gets some
// 3 of 100 requests.
const (
	keyExponent = 1.1
	keyOffset   = 10
)

// load describes clients that send writes one by one, and make no retries.
type load struct {
	router    string
	clients   int
	class     string
	timeoutMS int
	keys      int           // the first are far more popular than the rest
	think     time.Duration // mean time between an answer and the next request
	span      time.Duration
}

// run runs all clients until the span is over and their last answers have come.
func (l *load) run(p *play, a *answers) {
	var all sync.WaitGroup
	until := time.Now().Add(l.span)
	for range l.clients {
		all.Go(func() { l.client(p, a, until) })
	}
	all.Wait()
}

// client sends requests on one connection, one at a time, and opens a new connection where the router has closed it.
func (l *load) client(p *play, a *answers, until time.Time) {
	keys := rand.NewZipf(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), keyExponent, keyOffset, uint64(l.keys-1))
	var conn net.Conn
	var reader *bufio.Reader
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for time.Now().Before(until) {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(l.think)))
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", l.router, time.Second); err != nil {
				conn = nil
				continue
			}
			reader = bufio.NewReader(conn)
		}
		id := newID()
		key := fmt.Sprintf("%016x", keys.Uint64())
		a.mu.Lock()
		a.sent++
		a.mu.Unlock()
		p.record.line("client", "sends %s %s", id, key)
		conn.SetDeadline(time.Now().Add(time.Duration(l.timeoutMS)*time.Millisecond + time.Second))
		conn.Write(command("C.SET", key, id, fmt.Sprintf("c=%s,t=acme,d=%d", l.class, l.timeoutMS), "a new contact"))
		answer, err := readReply(reader)
		if err != nil {
			answer = "no answer: " + err.Error()
			conn.Close()
			conn = nil
		}
		p.record.line("client", "got for %s %q", id, answer)
		a.add(id, answer)
	}
}
