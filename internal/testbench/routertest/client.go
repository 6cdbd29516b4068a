package routertest

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// Client is a client's connection.
type Client struct {
	*net.TCPConn
	t testing.TB
	r *bufio.Reader
}

// Dial connects to a router.
func Dial(t testing.TB, addr string) *Client {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(Patience))
	return &Client{nc.(*net.TCPConn), t, bufio.NewReader(nc)}
}

// Send writes bytes to the router.
func (c *Client) Send(wire string) {
	c.t.Helper()
	if _, err := io.WriteString(c.TCPConn, wire); err != nil {
		c.t.Fatalf("sending: %v", err)
	}
}

// Line reads a line of an answer; of a bulk string it returns the content.
func (c *Client) Line() string {
	c.t.Helper()
	s, err := c.r.ReadString('\n')
	if err != nil {
		c.t.Fatalf("no answer: %v", err)
	}
	if s = strings.TrimSuffix(s, "\r\n"); strings.HasPrefix(s, "$") {
		return c.Line()
	}
	return s
}

// Want reads a line and fails the test unless it is answer.
func (c *Client) Want(answer string) {
	c.t.Helper()
	if got := c.Line(); got != answer {
		c.t.Fatalf("answer %q, want %q", got, answer)
	}
}

// WantClosed fails the test unless the end of the connection comes next.
func (c *Client) WantClosed() {
	c.t.Helper()
	if b, err := c.r.ReadByte(); err == nil {
		c.t.Fatalf("got %q, want the end of the connection", b)
	}
}
