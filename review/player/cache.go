package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// cacheOptions describe a cache.
type cacheOptions struct {
	name        string
	slots       int           // requests that run at the same time; further ones are refused
	leastWork   time.Duration // of a request
	mostWork    time.Duration
	repeatShare float64                  // of the answers that repeats selects: a second copy follows
	repeats     func(answer string) bool // which answers may be followed by a second copy
	leastLate   time.Duration            // of the second copy
	mostLate    time.Duration            //
}

// cache is a stand-in for a cache server. It answers the commands of a connection in their order.
type cache struct {
	cacheOptions
	p       *play
	effects *effects
	address string

	mu      sync.Mutex
	running int
}

// effects counts how often each request was run, and which receipts were made for it.
type effects struct {
	mu       sync.Mutex
	runs     map[string][]string // caches that ran the request, by id
	receipts map[string][]string // receipts made for the request, by id
	refused  int                 // commands that were refused
	repeated int                 // second copies of answers
}

// newEffects returns empty counts.
func newEffects() *effects {
	return &effects{runs: map[string][]string{}, receipts: map[string][]string{}}
}

// startCache serves on a free port.
func startCache(p *play, o cacheOptions, counts *effects) (*cache, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &cache{cacheOptions: o, p: p, effects: counts, address: listener.Addr().String()}
	p.atEnd(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go c.serve(conn)
		}
	}()
	return c, nil
}

// entry returns the cache's entry in discovery's list.
func (c *cache) entry() entry {
	return entry{Name: c.name, Address: c.address, Zone: "rajkot", Type: "std-6", Group: 1, Status: "in_service", Weight: 1}
}

// serve reads the commands of a connection and answers each in turn.
func (c *cache) serve(conn net.Conn) {
	defer conn.Close()
	var writing sync.Mutex
	reader := bufio.NewReader(conn)
	for {
		args, err := readCommand(reader)
		if err != nil {
			return
		}
		answer, id := c.answer(args)
		if !c.write(conn, &writing, answer) {
			return
		}
		c.p.record.line(c.name, "answered %s %.40q", id, answer)
		c.maybeRepeat(conn, &writing, id, answer)
	}
}

// write writes an answer and reports whether the connection accepted it.
func (c *cache) write(conn net.Conn, writing *sync.Mutex, answer string) bool {
	writing.Lock()
	defer writing.Unlock()
	_, err := conn.Write([]byte(answer))
	return err == nil
}

// maybeRepeat writes a second copy of an answer some milliseconds later, for a share of the answers.
func (c *cache) maybeRepeat(conn net.Conn, writing *sync.Mutex, id, answer string) {
	if !c.p.trouble || c.repeats == nil || !c.repeats(answer) || rand.Float64() >= c.repeatShare {
		return
	}
	late := c.leastLate + time.Duration(rand.Int64N(int64(c.mostLate-c.leastLate)+1))
	time.AfterFunc(late, func() {
		if c.write(conn, writing, answer) {
			c.effects.mu.Lock()
			c.effects.repeated++
			c.effects.mu.Unlock()
			c.p.record.line(c.name, "answered %s a second time, %d us after the first %.40q", id, late.Microseconds(), answer)
		}
	})
}

// answer runs a command, or refuses it, and returns the answer and the command's id.
func (c *cache) answer(args []string) (answer, id string) {
	switch verb := strings.ToUpper(args[0]); {
	case verb == "PING":
		return "+PONG\r\n", "PING"
	case (verb != "C.GET" || len(args) != 4) && (verb != "C.SET" || len(args) != 5):
		return "-ERR unknown command\r\n", verb
	}
	id = args[2]
	c.mu.Lock()
	if c.running >= c.slots {
		c.mu.Unlock()
		c.effects.mu.Lock()
		c.effects.refused++
		c.effects.mu.Unlock()
		return "-BUSY\r\n", id
	}
	c.running++
	c.mu.Unlock()
	c.p.record.line(c.name, "begins %s %s %s", id, args[0], args[1])
	time.Sleep(c.leastWork + time.Duration(rand.Int64N(int64(c.mostWork-c.leastWork)+1)))
	c.mu.Lock()
	c.running--
	c.mu.Unlock()
	receipt := "receipt of " + id + " by " + c.name
	c.effects.mu.Lock()
	c.effects.runs[id] = append(c.effects.runs[id], c.name)
	c.effects.receipts[id] = append(c.effects.receipts[id], receipt)
	c.effects.mu.Unlock()
	c.p.record.line(c.name, "has run %s", id)
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(receipt), receipt), id
}
