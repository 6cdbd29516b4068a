package httpclient

import (
	"errors"
	"io"

	"starlingwinch/internal/machine"
)

const (
	readSize        = 32 << 10 // bytes of one read
	maxReadsPerTurn = 64       // of one connection, as each read may return as little as a byte
)

// connection is a connection to the server. It implements machine.Handler.
type connection struct {
	client  *Client
	conn    machine.Conn    // nil until it is established
	dialing machine.Dialing // nil once it is established or has failed
	used    bool            // a response was received on it
}

// dial begins to establish the connection.
func (n *connection) dial() {
	c := n.client
	n.dialing = c.m.Dial(c.address, c.options.DialTimeout, n.onDialed)
}

// onDialed handles the result of the dialling.
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

// close gives the connection up.
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

// Readable implements machine.Handler. Without a call, the server has closed the connection or sent something unrequested:
// either way, the next call takes another connection.
func (n *connection) Readable() {
	k := n.client.call
	if k == nil {
		if !n.conn.Quiet() {
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

// readInNextTurn lets other work come between the reads of a server that sends on and on.
func (n *connection) readInNextTurn() {
	n.client.m.Post(func() {
		if n.conn != nil && n.client.connection == n {
			n.Readable()
		}
	})
}
