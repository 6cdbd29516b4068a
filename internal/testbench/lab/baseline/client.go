// The side of the clients.

package baseline

import (
	"hash/fnv"
	"strconv"
	"strings"

	"starlingwinch/decide"
)

// client is a connection of a client.
type client struct {
	stream
	n     *node
	slots []*slot
}

// slot is the place of an answer.
type slot struct {
	client  *client
	request *request
	answer  []byte
}

// Readable implements machine.Handler.
func (c *client) Readable() {
	if c.closed {
		return
	}
	on := c.fill()
	for !c.closed {
		k := reply(c.in, false)
		if k == 0 {
			break
		}
		if k < 0 || c.in[0] != '*' {
			c.write([]byte("-ERR what is that\r\n"))
			c.drop()
			return
		}
		raw := append([]byte(nil), c.in[:k]...)
		c.in = c.in[k:]
		c.command(raw)
	}
	if !on {
		c.drop()
	}
}

func (c *client) drop() {
	if c.closed {
		return
	}
	c.close()
	c.n.conns--
	for i, x := range c.n.clients {
		if x == c {
			c.n.clients = append(c.n.clients[:i], c.n.clients[i+1:]...)
			break
		}
	}
	for _, s := range c.slots {
		if r := s.request; r != nil && !r.over {
			r.over = true
			c.n.tell(&decide.ClientGone{ID: r.id})
			r.forget()
		}
	}
}

func (s *slot) say(b []byte) {
	s.answer = b
	c := s.client
	for len(c.slots) > 0 && c.slots[0].answer != nil {
		c.write(c.slots[0].answer)
		c.slots = c.slots[1:]
	}
	if len(c.slots) == 0 && c.n.ending && !c.closed {
		c.drop()
	}
}

func (c *client) command(raw []byte) {
	n, s, args := c.n, &slot{client: c}, words(raw)
	c.slots = append(c.slots, s)
	switch {
	case args[0] == "PING" && len(n.addrs) > 0:
		s.say([]byte("+PONG\r\n"))
		return
	case len(args) < 4:
		s.say([]byte("-ERR not now\r\n"))
		return
	}
	n.lastID++
	r := &request{n: n, id: n.lastID, raw: raw, slot: s}
	s.request = r
	ev := &decide.Request{ID: r.id, HasKey: true, Write: args[0] == "C.SET"}
	hash := fnv.New64a()
	hash.Write([]byte(args[1]))
	ev.Key = hash.Sum64()
	for _, pair := range strings.Split(args[3], ",") {
		name, value, _ := strings.Cut(pair, "=")
		switch name {
		case "c":
			ev.Class = value
		case "t":
			ev.Tenant = value
		case "d":
			ms, _ := strconv.ParseInt(value, 10, 64)
			r.deadline = n.m.Now() + ms*1000
		}
	}
	ev.Deadline = r.deadline
	n.requests[r.id] = r
	n.tell(ev)
}
