// Package httpclient is a small HTTP/1.1 client (RFC 9112) that runs on a machine's event loop. A router uses it to poll discovery
// and registries. A Client calls one address, with one call at a time, over one connection that stays open between calls.
//
// The package parses responses with net/http, as strictly as net/http does. It does not use the net/http client, which starts
// goroutines: all code runs on the event loop. The client does not follow redirects; it returns them like other responses.
package httpclient

import (
	"errors"
	"fmt"
	"net/http"

	"starlingwinch/internal/machine"
)

// Time is an instant or a span in microseconds.
type Time = machine.Time

// defaultMaxHeaderBytes is the default of Options.MaxHeaderBytes.
const defaultMaxHeaderBytes = 64 << 10

// ErrTooLong is returned for a response that exceeds the limits in Options.
var ErrTooLong = errors.New("the answer is too long")

// ErrTimeout is returned for a call that was not answered in time.
var ErrTimeout = errors.New("no answer")

// Options are the limits of a client.
type Options struct {
	DialTimeout    Time // limit for establishing a connection, so that an unreachable host can't use up the time of a long call
	MaxHeaderBytes int  // limit for a response's header; 0 for 64 KiB
	MaxBodyBytes   int  // limit for a response's body
}

// Client calls the server at one address. Use New.
type Client struct {
	m          machine.Machine
	address    string
	options    Options
	call       *call       // the call in flight; nil if there is none
	connection *connection // open or being dialed; nil if there is none
}

// New returns a client for an address, which is an IP address and a port. The client dials the address at the first call.
func New(m machine.Machine, address string, o Options) *Client {
	if o.MaxHeaderBytes == 0 {
		o.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	return &Client{m: m, address: address, options: o}
}

// Busy reports whether a call is in flight.
func (c *Client) Busy() bool { return c.call != nil }

// Connected reports whether a connection is open or being dialed.
func (c *Client) Connected() bool { return c.connection != nil }

// NothingUnread reports whether neither bytes nor the end of the connection wait to be read.
func (c *Client) NothingUnread() bool {
	return c.connection == nil || c.connection.conn == nil || c.connection.conn.HasNothingUnread()
}

// ReceivedBytes returns the number of received bytes of the response to the call in flight.
func (c *Client) ReceivedBytes() int {
	if c.call == nil {
		return 0
	}
	return len(c.call.received)
}

// Do makes a call that fails after a timeout. The client calls done once, in a later turn of the loop, unless Cancel or Close is
// called before. The next call may be made from within done. Do panics if another call is in flight.
func (c *Client) Do(r Request, timeout Time, done func(*Response, error)) {
	if c.call != nil {
		panic("httpclient: another call is in flight")
	}
	k := &call{
		client:      c,
		request:     r.encode(c.address),
		retriable:   isIdempotent(r.Method),
		withoutBody: r.Method == http.MethodHead,
		done:        done,
	}
	c.call = k
	k.timer = c.m.At(c.m.Now()+timeout, func() {
		k.fail(fmt.Errorf("%w within %d ms", ErrTimeout, timeout/1000))
	})
	k.start()
}

// Cancel ends the call in flight, if there is one, without calling done, and closes its connection.
func (c *Client) Cancel() {
	if k := c.call; k != nil {
		k.end()
		k.connection.close()
	}
}

// Close ends the call in flight, if there is one, without calling done, and closes the connection.
func (c *Client) Close() {
	c.Cancel()
	if c.connection != nil {
		c.connection.close()
	}
}
