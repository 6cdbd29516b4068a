package httpclient

import (
	"errors"
	"io"

	"starlingwinch/internal/machine"
)

const (
	readSize        = 32 << 10 // buffer size of one read, in bytes
	maxReadsPerTurn = 64       // limit for one connection, because a read may return only one byte
)

// connection is a connection to the server. It implements machine.Handler.
type connection struct {
	client  *Client
	conn    machine.Conn    // nil until the connection is established
	dialing machine.Dialing // nil after the dial has succeeded or failed
	used    bool            // a complete response was received on the connection
}

// dial starts to establish the connection.
func (n *connection) dial() {
	c := n.client
	n.dialing = c.m.Dial(c.address, c.options.DialTimeout, n.onDialed)
}

// onDialed handles the result of the dial.
func (n *connection) onDialed(conn machine.Conn, err error) machine.Handler {
	n.dialing = nil
	k := n.client.call
	if err != nil {
		k.fail(err)
		return nil
	}
	n.conn = conn
	if !k.send() {
		k.onConnectionLost(machine.ErrReset)
	}
	return n
}

// close cancels the dial or closes the established connection, and detaches the connection from the client.
func (n *connection) close() {
	if n.dialing != nil {
		n.dialing.Cancel()
		n.dialing = nil
	}
	if n.conn != nil {
		n.conn.Close()
	}
	if n.client.connection == n {
		n.client.connection = nil
	}
}

// Writable implements machine.Handler.
func (n *connection) Writable() {
	k := n.client.call
	if k == nil || k.connection != n || len(k.unsent) == 0 {
		return
	}
	if !k.send() {
		k.onConnectionLost(machine.ErrReset)
	}
}

// Readable implements machine.Handler. If no call is in flight, the server has closed the connection or sent unrequested bytes.
// In both cases, the next call uses a new connection.
func (n *connection) Readable() {
	k := n.client.call
	if k == nil {
		if !n.conn.HasNothingUnread() {
			n.close()
		}
		return
	}
	buffer := make([]byte, readSize)
	for range maxReadsPerTurn {
		got, err := n.conn.Read(buffer)
		if errors.Is(err, machine.ErrWait) {
			return
		}
		if err != nil && !errors.Is(err, io.EOF) {
			k.onConnectionLost(err)
			return
		}
		k.received = append(k.received, buffer[:got]...)
		if k.parse(err != nil) {
			return
		}
	}
	n.readInNextTurn()
}

// readInNextTurn continues reading in the next turn of the loop, so that a server that sends without a pause doesn't block other work.
func (n *connection) readInNextTurn() {
	n.client.m.Post(func() {
		if n.conn != nil && n.client.connection == n {
			n.Readable()
		}
	})
}
