package pressure

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/redcon"
)

// Figures of the usual clients.
const (
	usualClients = 20
	usualPause   = 150 * time.Millisecond // longest pause between an answer and the next request
	usualTimeout = 1200 * time.Millisecond
)

// words returns a command as an array of bulk strings.
func words(args ...string) string {
	wire := redcon.AppendArray(nil, len(args))
	for _, arg := range args {
		wire = redcon.AppendBulkString(wire, arg)
	}
	return string(wire)
}

// newID returns an id that no other request has.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// startUsualClients starts clients that send one request at a time: reads, and a keyed write or a write that must not run twice in
// ten.
func (p *play) startUsualClients() {
	for i := range usualClients {
		p.wait.Go(func() { p.usualClient(i) })
	}
}

// usualClient is one usual client. It sends a request again on a new connection if its old one has ended without an answer.
func (p *play) usualClient(number int) {
	var c *client
	for sent := 0; time.Now().Before(p.stop); sent++ {
		time.Sleep(rand.N(usualPause))
		id, key := newID(), fmt.Sprintf("usual%d", rand.IntN(400))
		command, isRead := words("C.GET", key, id, "c=read,d=1200"), true
		switch (number + sent) % 10 {
		case 0:
			command, isRead = words("C.SET", key, id, "c=put,d=1200,k="+id, "value"), false
		case 5:
			command, isRead = words("C.SET", key, id, "c=once,d=1200", "value"), false
		}
		var reply string
		var err error
		start := time.Now()
		for try := range 2 {
			isFresh := c == nil
			if isFresh {
				if c, err = p.dial(); err != nil {
					break
				}
			}
			start = time.Now()
			p.watch(id, start.Add(usualTimeout))
			if reply, err = c.request(command, start.Add(usualTimeout+2*time.Second)); err == nil {
				break
			}
			c.Close()
			c = nil
			if isFresh || try == 1 || time.Since(start) > usualTimeout {
				break
			}
		}
		p.judge(id, reply, err, time.Since(start), isRead)
	}
	if c != nil {
		c.Close()
	}
}

// judge counts an answer. A new connection that was shut in time counts as refused: the router's descriptors may be in use.
func (p *play) judge(id, reply string, err error, took time.Duration, isRead bool) {
	isServed := err == nil && !strings.HasPrefix(reply, "-")
	if isServed && isRead {
		p.noteServed(time.Now())
	}
	p.mu.Lock()
	p.result.Sent++
	p.result.Slowest = max(p.result.Slowest, took)
	switch {
	case isServed:
		p.result.Served++
	case err != nil && took < usualTimeout+answerSlack, strings.HasPrefix(reply, "-BUSY"):
		p.result.Refused++
	}
	p.mu.Unlock()
	if took > usualTimeout+answerSlack {
		p.breakf("usual request %s had no answer within %d ms: %.20q %v after %d ms", id, (usualTimeout + answerSlack).Milliseconds(), reply, err,
			took.Milliseconds())
	}
}

// client is a connection to the router.
type client struct {
	net.Conn
	in *bufio.Reader
}

// dial connects to the router.
func (p *play) dial() (*client, error) {
	conn, err := net.DialTimeout("tcp", p.addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn, bufio.NewReaderSize(conn, 64<<10)}, nil
}

// request sends a command and returns the first line of its reply.
func (c *client) request(command string, deadline time.Time) (string, error) {
	c.SetDeadline(deadline)
	if _, err := io.WriteString(c, command); err != nil {
		return "", err
	}
	return c.reply()
}

// reply reads a reply and returns its first line.
func (c *client) reply() (string, error) {
	line, err := c.in.ReadString('\n')
	if err != nil {
		return "", err
	}
	if line[0] != '$' {
		return strings.TrimSpace(line), nil
	}
	size, err := strconv.Atoi(strings.TrimSpace(line[1:]))
	if err != nil {
		return "", err
	}
	if _, err := c.in.Discard(size + len("\r\n")); err != nil {
		return "", err
	}
	return strings.TrimSpace(line), nil
}
