package httpclient

import (
	"fmt"
	"net/http"

	"starlingwinch/internal/machine"
)

// call is a call in flight.
type call struct {
	client      *Client
	connection  *connection
	request     []byte // encoded request
	unsent      []byte // remainder of request that is not written yet
	retriable   bool   // the call may be sent a second time if the server has closed the idle connection
	withoutBody bool   // the response has no body, regardless of its header
	timer       machine.Timer
	done        func(*Response, error)

	received     []byte // received bytes of the response
	headerLength int    // length of the response's header; 0 until the header is complete
	framing      bodyFraming
	bodyLength   int // set if framing is framedByLength
}

// start sends the call on the open connection, or dials a new one.
func (k *call) start() {
	c := k.client
	k.unsent = k.request
	if c.connection == nil {
		k.retriable = false
		k.connection = &connection{client: c}
		c.connection = k.connection
		k.connection.dial()
		return
	}
	k.connection = c.connection
	k.retriable = k.retriable && c.connection.used
	if !k.send() {
		c.m.Post(func() { k.onConnectionLost(machine.ErrReset) }) // a call must not fail within Do
	}
}

// send writes as many bytes as the connection accepts. It reports whether the connection is still open.
func (k *call) send() bool {
	n, err := k.connection.conn.Write(k.unsent)
	k.unsent = k.unsent[n:]
	return err == nil
}

// onConnectionLost handles the end of the connection before the end of the response. The server may have closed an idle
// connection: a retriable call is sent a second time, on a new connection.
func (k *call) onConnectionLost(err error) {
	if k.client.call != k {
		return // the call has ended or was canceled
	}
	if k.retriable && len(k.received) == 0 {
		k.connection.close()
		k.start()
		return
	}
	k.fail(fmt.Errorf("the connection ended before an answer: %w", err))
}

// succeed ends the call with a complete response. If closeConnection is set, the connection is not reused.
func (k *call) succeed(response *http.Response, body []byte, closeConnection bool) {
	n := k.connection
	k.end()
	n.used = true
	if closeConnection || response.Close || len(k.unsent) > 0 {
		n.close()
	}
	k.done(&Response{Status: response.StatusCode, Header: response.Header, Body: body}, nil)
}

// fail ends the call with an error and closes its connection.
func (k *call) fail(err error) {
	k.end()
	k.connection.close()
	k.done(nil, err)
}

// end stops the call's timer and releases the client for the next call.
func (k *call) end() {
	k.timer.Stop()
	if k.client.call == k {
		k.client.call = nil
	}
}
