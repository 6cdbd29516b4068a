package httpclient

import (
	"fmt"
	"net/http"

	"starlingwinch/internal/machine"
)

// call is one call that is out.
type call struct {
	client     *Client
	connection *connection
	request    []byte // as sent
	unsent     []byte // the rest of request
	repeatable bool   // it may be sent once more where a connection that stayed open turns out to be closed
	bodiless   bool   // its response has no body, whatever the header says
	timer      machine.Timer
	done       func(*Response, error)

	received     []byte // of the response
	headerLength int    // of the response; 0 until the header is complete
	framing      bodyFraming
	bodyLength   int // where framing is framedByLength
}

// start sends the call, on the open connection if there is one.
func (k *call) start() {
	c := k.client
	k.unsent = k.request
	if c.connection == nil {
		k.repeatable = false
		k.connection = &connection{client: c}
		c.connection = k.connection
		k.connection.dial()
		return
	}
	k.connection = c.connection
	k.repeatable = k.repeatable && c.connection.used
	if !k.send() {
		c.m.Post(func() { k.onConnectionLost(machine.ErrReset) }) // a call must not fail within Do
	}
}

// send writes what the connection accepts. It reports whether the connection is still open.
func (k *call) send() bool {
	n, err := k.connection.conn.Write(k.unsent)
	k.unsent = k.unsent[n:]
	return err == nil
}

// onConnectionLost handles the end of the connection before the end of the response. The server may have closed a connection
// that was idle: a call that may be sent twice is sent once more, on a new one.
func (k *call) onConnectionLost(err error) {
	if k.client.call != k {
		return // it was given up meanwhile
	}
	if k.repeatable && len(k.received) == 0 {
		k.connection.close()
		k.start()
		return
	}
	k.fail(fmt.Errorf("the connection ended before an answer: %w", err))
}

// succeed ends the call with a complete response. connectionOver says that the connection is of no further use.
func (k *call) succeed(response *http.Response, body []byte, connectionOver bool) {
	n := k.connection
	k.end()
	n.used = true
	if connectionOver || response.Close || len(k.unsent) > 0 {
		n.close()
	}
	k.done(&Response{Status: response.StatusCode, Header: response.Header, Body: body}, nil)
}

// fail ends the call and its connection.
func (k *call) fail(err error) {
	k.end()
	k.connection.close()
	k.done(nil, err)
}

// end makes the client free for the next call.
func (k *call) end() {
	k.timer.Stop()
	if k.client.call == k {
		k.client.call = nil
	}
}
