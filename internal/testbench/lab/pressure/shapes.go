package pressure

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"time"
)

// Shapes are the kinds of hostile clients, by name.
var Shapes = map[string]func(*play){
	"stop-in-write":     func(p *play) { p.startHostile(300, stopInWrite) },
	"slow-write":        func(p *play) { p.startHostile(300, slowWrite) },
	"short-fields":      func(p *play) { p.startHostile(400, shortFields) },
	"flood-of-reads":    func(p *play) { p.startHostile(300, floodOfReads) },
	"flood-of-writes":   func(p *play) { p.startHostile(200, floodOfWrites) },
	"unread-values":     func(p *play) { p.startHostile(200, unreadValues) },
	"pings-behind-read": func(p *play) { p.startHostile(400, pingsBehindRead) },
	"half-commands":     func(p *play) { p.startHostile(500, halfCommand) },
	"unsound-commands":  func(p *play) { p.startHostile(1, endless(unsoundCommand)) },
	"endless-pings":     func(p *play) { p.startHostile(1, endless(func() string { return words("PING") })) },
	"empty-commands":    func(p *play) { p.startHostile(1, endless(func() string { return "*0\r\n\r\n" })) },
	"new-names":         func(p *play) { p.startHostile(1, endless(newNames)) },
	"new-names-unread":  func(p *play) { p.startHostile(2, endlessUnread(newNames)) },
	"no-time":           func(p *play) { p.startHostile(1, endless(noTime)) },
	"little-time":       func(p *play) { p.startHostile(1, endless(littleTime)) },
	"close-unread":      func(p *play) { p.startHostile(20, closeUnread) },
	"same-id-again":     func(p *play) { p.startHostile(20, sameIDAgain) },
}

// startHostile starts half to all of a number of hostile clients, drawn by the seed. Each repeats its act until the play ends.
func (p *play) startHostile(most int, act func(*play, *rand.Rand)) {
	p.result.Hostile = most - p.random.IntN(most/2+1)
	for range p.result.Hostile {
		random := rand.New(rand.NewPCG(p.random.Uint64(), 2))
		p.wait.Go(func() {
			for time.Now().Before(p.stop) {
				act(p, random)
			}
		})
	}
}

// connect connects a hostile client, whose reads and writes end with the play. It returns nil if it can't.
func (p *play) connect() *client {
	c, err := p.dial()
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return nil
	}
	c.SetDeadline(p.stop)
	return c
}

// send writes bytes and counts them.
func (p *play) send(c *client, wire string) error {
	n, err := io.WriteString(c, wire)
	p.mu.Lock()
	p.result.HostileBytes += int64(n)
	p.mu.Unlock()
	return err
}

// readAll reads replies until the router ends the connection.
func (c *client) readAll() {
	defer c.Close()
	_, _ = io.Copy(io.Discard, c.in)
}

// longWrite returns a write of 60 KB.
func longWrite() string {
	return words("C.SET", "k"+newID(), newID(), "c=put,d=1200,k="+newID(), strings.Repeat("v", 60<<10))
}

func stopInWrite(p *play, random *rand.Rand) {
	if c := p.connect(); c != nil {
		_ = p.send(c, longWrite()[:(20+random.IntN(40))<<10])
		c.readAll()
	}
}

func slowWrite(p *play, random *rand.Rand) {
	c := p.connect()
	if c == nil {
		return
	}
	defer c.Close()
	wire := longWrite()
	for len(wire) > 0 && time.Now().Before(p.stop) {
		n := min(len(wire), 1+random.IntN(4<<10))
		if p.send(c, wire[:n]) != nil {
			return
		}
		wire = wire[n:]
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	}
	_, _ = c.reply()
}

func shortFields(p *play, random *rand.Rand) {
	c := p.connect()
	if c == nil {
		return
	}
	switch random.IntN(3) {
	case 0: // an inline line of many fields
		_ = p.send(c, strings.Repeat("a ", 500)+"\r\n"+strings.Repeat("b ", 500))
	case 1: // many arguments of one byte, again and again, and a command in part
		_ = p.send(c, strings.Repeat("*16\r\n"+strings.Repeat("$1\r\nx\r\n", 16), 200)+"*16\r\n"+strings.Repeat("$1\r\nx\r\n", 15))
	default: // metadata of many short pairs
		list := "c=read,d=1200," + strings.Repeat("a=,", 330)
		_ = p.send(c, strings.Repeat(words("C.GET", "k", newID(), list), 100)+"*5\r\n$5\r\nC.SET\r\n")
	}
	c.readAll()
}

// exchange sends commands at once and reads their replies, again and again.
func (p *play) exchange(commands int, next func() string) {
	c := p.connect()
	if c == nil {
		return
	}
	defer c.Close()
	for time.Now().Before(p.stop) {
		var wire strings.Builder
		for range commands {
			wire.WriteString(next())
		}
		if p.send(c, wire.String()) != nil {
			return
		}
		for range commands {
			if _, err := c.reply(); err != nil {
				return
			}
		}
	}
}

func floodOfReads(p *play, random *rand.Rand) {
	p.exchange(100+random.IntN(300), func() string {
		return words("C.GET", fmt.Sprint("flood", random.IntN(20000)), newID(), "c=page,d=3000")
	})
}

func floodOfWrites(p *play, random *rand.Rand) { p.exchange(1+random.IntN(9), longWrite) }

func unreadValues(p *play, random *rand.Rand) {
	c := p.connect()
	if c == nil {
		return
	}
	defer c.Close()
	for time.Now().Before(p.stop) {
		if p.send(c, words("C.GET", fmt.Sprint("large", random.IntN(50)), newID(), "c=page,d=3000")) != nil {
			return
		}
		time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
	}
}

func pingsBehindRead(p *play, random *rand.Rand) {
	c := p.connect()
	if c == nil {
		return
	}
	_ = p.send(c, words("C.GET", fmt.Sprint("k", random.IntN(1000)), newID(), "c=page,d=3000")+strings.Repeat(words("PING", strings.Repeat("p", 50)), 600))
	c.readAll()
}

func halfCommand(p *play, _ *rand.Rand) {
	if c := p.connect(); c != nil {
		wire := words("C.GET", "k", newID(), "c=read,d=1200")
		_ = p.send(c, wire[:len(wire)/2])
		c.readAll()
	}
}

// endless returns an act that sends commands at full speed and reads the replies beside.
func endless(next func() string) func(*play, *rand.Rand) {
	return func(p *play, _ *rand.Rand) {
		c := p.connect()
		if c == nil {
			return
		}
		go c.readAll()
		p.sendEndless(c, next)
	}
}

// endlessUnread returns an act that sends commands at full speed and reads no reply.
func endlessUnread(next func() string) func(*play, *rand.Rand) {
	return func(p *play, _ *rand.Rand) {
		if c := p.connect(); c != nil {
			p.sendEndless(c, next)
		}
	}
}

func (p *play) sendEndless(c *client, next func() string) {
	defer c.Close()
	for time.Now().Before(p.stop) {
		var wire strings.Builder
		for range 200 {
			wire.WriteString(next())
		}
		if p.send(c, wire.String()) != nil {
			return
		}
	}
}

func unsoundCommand() string {
	return []string{words("X"), words("C.GET", "k"), "SOME WORDS\r\n", words("C.GET", "k", newID(), "c=none,d=1"), words("PING"),
		words("C.GET", "k", newID(), "c=read,d=x")}[rand.IntN(6)]
}

func newNames() string {
	return words("C.GET", newID(), newID(), fmt.Sprintf("c=read,d=1200,t=%s,z=%s", newID(), newID()))
}

func noTime() string { return words("C.GET", newID(), newID(), "c=read,d=1") }

func littleTime() string {
	return words("C.GET", newID(), newID(), fmt.Sprint("c=read,d=", 1+rand.IntN(30)))
}

// closeUnread sends hundreds of requests, waits a little, and closes its connection with most of them unread.
func closeUnread(p *play, random *rand.Rand) {
	c := p.connect()
	if c == nil {
		return
	}
	var ids []string
	var wire strings.Builder
	for range 100 + random.IntN(400) {
		id := newID()
		ids = append(ids, id)
		p.watch(id, time.Time{})
		wire.WriteString(words("C.GET", newID(), id, "c=page,d=3000"))
	}
	_ = p.send(c, wire.String())
	time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
	c.Close()
	p.clientGone(ids, time.Now())
	time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
}

// sameIDAgain sends a request that must not run twice, leaves while it runs, and sends it again under the same id.
func sameIDAgain(p *play, random *rand.Rand) {
	id := newID()
	command := words("C.SET", newID(), id, "c=once,d=1200", "value")
	for range 3 {
		c := p.connect()
		if c == nil {
			return
		}
		p.clientCame([]string{id}, time.Now().Add(usualTimeout))
		_ = p.send(c, command)
		time.Sleep(time.Duration(random.IntN(15)) * time.Millisecond)
		c.Close()
		p.clientGone([]string{id}, time.Now())
		time.Sleep(time.Duration(random.IntN(50)) * time.Millisecond)
	}
}
