package httpclient

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"

	"starlingwinch/internal/machine"
)

const readSize = 32 << 10

// readsATurn bounds the reads of one connection in one turn, as each may bring as little as a byte.
const readsATurn = 64

// conn is a connection to the server.
type conn struct {
	client  *Client
	nc      machine.Conn // nil until it is up
	dialing machine.Dialing
	used    bool // an answer has come on it
}

// call is one request that is out.
type call struct {
	client *Client
	conn   *conn
	wire   []byte
	unsent []byte
	came   []byte
	header int // length of the answer's header, once it is there
	form   form
	length int // of the body, where the form is sized
	timer  machine.Timer
	done   func(*Response, error)
	again  bool // it may be made once more where a kept connection turns out to be closed
	head   bool // its answer has no body
}

// start sends the call, on the connection of the one before where there is one.
func (k *call) start() {
	c := k.client
	k.unsent = k.wire
	if c.conn != nil {
		k.conn = c.conn
		if k.again = k.again && c.conn.used; k.send() {
			return
		}
		// It may not fail within Do.
		c.m.Post(func() { k.lost(machine.ErrReset) })
		return
	}
	k.conn, k.again = &conn{client: c}, false
	c.conn = k.conn
	k.conn.dialing = c.m.Dial(c.addr, c.o.DialTime, k.conn.dialed)
}

func (n *conn) dialed(nc machine.Conn, err error) machine.Handler {
	n.dialing = nil
	k := n.client.call
	if err != nil {
		k.fail(err)
		return nil
	}
	n.nc = nc
	if !k.send() {
		k.lost(machine.ErrReset)
	}
	return n
}

func (n *conn) close() {
	if n.dialing != nil {
		n.dialing.Cancel()
		n.dialing = nil
	}
	if n.nc != nil {
		n.nc.Close()
	}
	if n.client.conn == n {
		n.client.conn = nil
	}
}

// send writes what the connection takes. It reports whether the connection still stands.
func (k *call) send() bool {
	n, err := k.conn.nc.Write(k.unsent)
	k.unsent = k.unsent[n:]
	return err == nil
}

// Writable implements machine.Handler.
func (n *conn) Writable() {
	if k := n.client.call; k != nil && k.conn == n && len(k.unsent) > 0 && !k.send() {
		k.lost(machine.ErrReset)
	}
}

// Readable implements machine.Handler.
func (n *conn) Readable() {
	k := n.client.call
	if k == nil {
		if !n.nc.Quiet() {
			n.close() // the end, or something that nobody asked for: the next call takes another connection
		}
		return
	}
	buf := make([]byte, readSize)
	for reads := 0; ; reads++ {
		if reads == readsATurn {
			n.readOn()
			return
		}
		got, err := n.nc.Read(buf)
		if errors.Is(err, machine.ErrWait) {
			return
		}
		if err != nil && !errors.Is(err, io.EOF) {
			k.lost(err)
			return
		}
		k.came = append(k.came, buf[:got]...)
		if k.read(err != nil) {
			return
		}
	}
}

// readOn has the rest read in a turn of its own: a server may send on and on.
func (n *conn) readOn() {
	n.client.m.Post(func() {
		if n.nc != nil && n.client.conn == n {
			n.Readable()
		}
	})
}

// read looks whether the answer is whole. It reports whether the call is over.
func (k *call) read(ended bool) bool {
	if k.header == 0 {
		i := bytes.Index(k.came, []byte("\r\n\r\n"))
		switch {
		case i >= 0:
			k.header = i + 4
		case ended && len(k.came) == 0:
			k.lost(io.ErrUnexpectedEOF)
			return true
		case ended || len(k.came) > k.client.o.MaxHeaderBytes:
			k.fail(errors.New("no HTTP header that can be read"))
			return true
		default:
			return false
		}
	}
	most := k.client.o.MaxBodyBytes
	if len(k.came)-k.header > 2*most+k.client.o.MaxHeaderBytes { // a body in small chunks takes more room than it holds
		k.fail(ErrTooLong)
		return true
	}
	// The header is read once, not at each piece of the body: pieces may be as small as a byte.
	if k.form != unknownForm && !ended && !k.mayBeWhole() {
		return false
	}
	var asked *http.Request
	if k.head {
		asked = &http.Request{Method: http.MethodHead}
	}
	whole := bytes.NewReader(k.came)
	came := bufio.NewReader(whole)
	resp, err := http.ReadResponse(came, asked)
	if err != nil {
		k.fail(err)
		return true
	}
	defer resp.Body.Close()
	if resp.StatusCode < 200 {
		return k.interim(ended)
	}
	if resp.ContentLength > int64(most) {
		k.fail(ErrTooLong)
		return true
	}
	chunked := len(resp.TransferEncoding) > 0
	k.length, k.form = int(resp.ContentLength), formOf(chunked, resp.ContentLength)
	if !ended && !k.mayBeWhole() {
		return false
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(most)+1))
	switch {
	case err != nil && !ended && chunked:
		return false // the bytes looked like the end of it
	case err != nil:
		k.fail(err)
	case len(body) > most:
		k.fail(ErrTooLong)
	default:
		// The danger: what stands behind an answer is taken for the answer to the next call.
		behind := came.Buffered() + whole.Len()
		k.answered(resp, body, ended || behind > 0)
	}
	return true
}

// form is how the end of an answer's body is told.
type form uint8

const (
	unknownForm form = iota // its header has not been read
	sized                   // by its length
	chunkedForm             // by its last chunk
	unsized                 // by the end of the connection
)

func formOf(chunked bool, length int64) form {
	switch {
	case chunked:
		return chunkedForm
	case length >= 0:
		return sized
	}
	return unsized
}

// mayBeWhole reports whether what has come may be all of the answer, while its connection is open.
func (k *call) mayBeWhole() bool {
	switch k.form {
	case sized:
		return len(k.came) >= k.header+k.length
	case chunkedForm:
		return bytes.HasSuffix(k.came, []byte("\r\n\r\n")) // its last chunk ends so
	}
	return false
}

// interim skips an answer that says that another one follows, such as 100.
func (k *call) interim(ended bool) bool {
	k.came, k.header, k.form = append([]byte(nil), k.came[k.header:]...), 0, unknownForm
	if len(k.came) == 0 && !ended {
		return false
	}
	return k.read(ended)
}

// answered ends a call whose answer came whole. last says that the connection is of no further use.
func (k *call) answered(resp *http.Response, body []byte, last bool) {
	n := k.conn
	k.end()
	if n.used = true; last || resp.Close || len(k.unsent) > 0 {
		n.close()
	}
	k.done(&Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil)
}

// lost takes the end of a connection before any answer. One that stood idle may have been closed by the
// other side in the meantime: a call that may be made twice is made once more, on a new one.
func (k *call) lost(err error) {
	if k.client.call != k {
		return // it was given up meanwhile
	}
	if k.again && len(k.came) == 0 {
		k.conn.close()
		k.start()
		return
	}
	k.fail(fmt.Errorf("the connection ended before an answer: %w", err))
}

func (k *call) fail(err error) {
	k.end()
	k.conn.close()
	k.done(nil, err)
}

// end lets go of a call.
func (k *call) end() {
	k.timer.Stop()
	if k.client.call == k {
		k.client.call = nil
	}
}
