// Package httpclient is a small HTTP/1.1 client (RFC 9112) on a machine's loop, for services that a router polls: discovery and
// registries. A Client calls one address, over one connection that stays open between calls, one call at a time.
//
// Responses are parsed by net/http from the bytes received, with its strictness; the library's own client starts goroutines,
// which the loop has no place for. Redirects are not followed: they are responses like others.
package httpclient

import (
	"errors"
	"fmt"
	"net/http"

	"starlingwinch/internal/machine"
)

// Time is an instant or a span in microseconds.
type Time = machine.Time

// defaultMaxHeaderBytes is the bound of a header where Options set none.
const defaultMaxHeaderBytes = 64 << 10

// ErrTooLong is the error of a response that exceeds its bounds.
var ErrTooLong = errors.New("the answer is too long")

// ErrTimeout is the error of a call that was not answered in time.
var ErrTimeout = errors.New("no answer")

// Options are the bounds of a client.
type Options struct {
	DialTimeout    Time // for a connection to be established: a machine that has vanished must not use up the time of a long call
	MaxHeaderBytes int  // of a response's header; 0 for 64 KiB
	MaxBodyBytes   int  // of a response's body
}

// Client calls the server at one address. Use New.
type Client struct {
	m          machine.Machine
	address    string
	options    Options
	call       *call       // the call that is out; nil while there is none
	connection *connection // open or being dialled; nil while there is none
}

// New returns a client for an address, which is an IP address and a port. It connects with the first call.
func New(m machine.Machine, address string, o Options) *Client {
	if o.MaxHeaderBytes == 0 {
		o.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	return &Client{m: m, address: address, options: o}
}

// Busy reports whether a call is out.
func (c *Client) Busy() bool { return c.call != nil }

// Connected reports whether a connection is open, or being dialled.
func (c *Client) Connected() bool { return c.connection != nil }

// NothingUnread reports whether nothing waits on the connection to be read.
func (c *Client) NothingUnread() bool {
	return c.connection == nil || c.connection.conn == nil || c.connection.conn.Quiet()
}

// ReceivedBytes is how many bytes of the response to the call that is out were received.
func (c *Client) ReceivedBytes() int {
	if c.call == nil {
		return 0
	}
	return len(c.call.received)
}

// Do makes a call that fails after a timeout. done is called once, in a later turn of the loop, unless Cancel or Close come
// first; the next call may be made from within it. There must be no other call out.
func (c *Client) Do(r Request, timeout Time, done func(*Response, error)) {
	if c.call != nil {
		panic("httpclient: a call is out already")
	}
	k := &call{
		client:     c,
		request:    r.wire(c.address),
		repeatable: isIdempotent(r.Method),
		bodiless:   r.Method == http.MethodHead,
		done:       done,
	}
	c.call = k
	k.timer = c.m.At(c.m.Now()+timeout, func() {
		k.fail(fmt.Errorf("%w within %d ms", ErrTimeout, timeout/1000))
	})
	k.start()
}

// Cancel gives up the call that is out, if there is one, and its connection.
func (c *Client) Cancel() {
	if k := c.call; k != nil {
		k.end()
		k.connection.close()
	}
}

// Close gives up the call that is out, if there is one, and the connection.
func (c *Client) Close() {
	c.Cancel()
	if c.connection != nil {
		c.connection.close()
	}
}
