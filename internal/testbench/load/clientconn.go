package load

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/tidwall/redcon"

	"starlingwinch/internal/machine"
)

// clientConn is one connection of Clients.
type clientConn struct {
	clients        *Clients
	nc             machine.Conn // nil before the connection is established and after it is closed
	in             []byte
	unparsed       []byte // part of a line
	out            []byte
	outstanding    []Time // start of each unanswered request, in order
	idle           bool
	valueBytesLeft int // bytes of a value that are still to arrive
	answersDue     int // answers that one read may hold: the number of unanswered requests before the read
}

// sendRequest sends a request whose latency counts from since.
func (k *clientConn) sendRequest(since Time) {
	c := k.clients
	if k.nc == nil {
		return
	}
	key := uint64(0)
	if c.options.HotFraction == 0 || float64(c.random()>>11)/(1<<53) >= c.options.HotFraction {
		key = 1 + c.random()%uint64(max(1, c.options.Keys))
	}
	c.requestsSent++
	if since >= c.from && since < c.until {
		c.Asked++
	}
	name := "key" + strconv.FormatUint(key, 10)
	if c.options.Plain {
		k.out = redcon.AppendBulkString(append(k.out, "*2\r\n$3\r\nGET\r\n"...), name)
	} else {
		k.out = c.appendCommand(k.out, name)
	}
	k.outstanding = append(k.outstanding, since)
	k.Writable()
}

// appendCommand appends the C.GET or C.SET of the latest request. Classes share a router, which requires unique ids, so the id
// starts with the first letter of the class.
func (c *Clients) appendCommand(out []byte, key string) []byte {
	verb, words := "C.GET", 4
	id := c.options.Class[:1] + strconv.FormatInt(c.requestsSent, 16)
	meta := fmt.Sprintf("c=%s,d=%d", c.options.Class, c.options.Wait/1000)
	if c.options.Write {
		verb, words = "C.SET", 5
		meta += ",k=" + id
	}
	out = redcon.AppendBulkString(redcon.AppendArray(out, words), verb)
	for _, word := range []string{key, id, meta} {
		out = redcon.AppendBulkString(out, word)
	}
	if c.options.Write {
		out = redcon.AppendBulkString(out, "a value to set")
	}
	return out
}

// Writable implements machine.Handler: it sends the rest of the requests.
func (k *clientConn) Writable() {
	n, err := k.nc.Write(k.out)
	if err != nil {
		k.clients.Broken++
		k.close()
		return
	}
	k.out = append(k.out[:0], k.out[n:]...)
}

// Readable implements machine.Handler: it reads answers, each a line, or a line and a value behind it.
func (k *clientConn) Readable() {
	c := k.clients
	for {
		n, err := k.nc.Read(k.in)
		if errors.Is(err, machine.ErrWait) {
			return
		}
		if err != nil {
			c.Broken++
			k.close()
			return
		}
		if k.idle {
			c.idleAnswers++
			c.dialIdle()
		} else {
			k.parse(k.in[:n])
		}
		if k.nc == nil {
			return
		}
	}
}

// parse handles the bytes of one read.
func (k *clientConn) parse(b []byte) {
	k.answersDue = len(k.outstanding)
	for len(b) > 0 && k.nc != nil {
		if k.valueBytesLeft > 0 {
			n := min(k.valueBytesLeft, len(b))
			b = b[n:]
			if k.valueBytesLeft -= n; k.valueBytesLeft == 0 {
				k.answered(&k.clients.Served)
			}
			continue
		}
		end := 0
		for end < len(b) && b[end] != '\n' {
			end++
		}
		if end == len(b) {
			k.unparsed = append(k.unparsed, b...)
			return
		}
		line := b[:end+1]
		if len(k.unparsed) > 0 {
			k.unparsed = append(k.unparsed, line...)
			line = k.unparsed
		}
		b = b[end+1:]
		switch {
		case line[0] == '$':
			size, _ := strconv.Atoi(string(line[1 : len(line)-2]))
			k.valueBytesLeft = size + 2
		case len(line) > 4 && string(line[:5]) == "-BUSY":
			k.answered(&k.clients.Refused)
		default:
			k.answered(&k.clients.Failed)
		}
		k.unparsed = k.unparsed[:0]
	}
}

// close closes the connection, which then sends no further requests.
func (k *clientConn) close() {
	k.nc.Close()
	k.nc = nil
}

// answered counts an answer and, in a closed loop, sends the next request.
func (k *clientConn) answered(count *int64) {
	c := k.clients
	now := c.machine.Now()
	if k.answersDue == 0 {
		// A surplus answer closes the connection: each surplus answer would trigger one more request, and the load would grow
		// without bound.
		c.Failed++
		c.Surplus++
		k.close()
		return
	}
	k.answersDue--
	since := k.outstanding[0]
	k.outstanding = append(k.outstanding[:0], k.outstanding[1:]...)
	if since >= c.from && since < c.until {
		c.Done++
		if now-since <= c.options.LatencyObjective {
			c.InTime++
		}
		if now-since > c.options.Wait+overdueSlack {
			c.Overdue++
		}
	}
	if now >= c.from && now < c.until {
		*count++
		c.Latency.Add(now - since)
	}
	if c.options.Rate == 0 && now < c.until {
		k.sendRequest(now)
	}
}
