package discovery

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"starlingwinch/internal/machine"
)

// HTTP/1.1 (RFC 9112) over the machine's connections: one GET at a time, answers read by net/http
// from what has come. The library's own client starts goroutines, which the machine's loop has no place for.

const (
	mostHeader = 64 << 10 // bytes of the header of an answer
	readSize   = 32 << 10
)

// conn is a connection to discovery.
type conn struct {
	w       *Watch
	nc      machine.Conn // nil until it is up
	dialing machine.Dialing
	used    bool // an answer has come on it
}

// call is one request that is out.
type call struct {
	w      *Watch
	conn   *conn
	path   string
	unsent []byte
	came   []byte
	head   int // length of the header, once it is there
	timer  machine.Timer
	reused bool // it went out on a connection that may have been closed before
}

// get makes a call that is given up after wait.
func (w *Watch) get(path string, wait Time) {
	k := &call{w: w, path: path}
	w.call = k
	k.timer = w.m.At(w.m.Now()+wait, func() {
		k.fail(fmt.Errorf("discovery: no answer within %d ms", wait/1000))
	})
	k.start()
}

// start sends the call, on the connection of the one before where there is one.
func (k *call) start() {
	w := k.w
	k.unsent = fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\nUser-Agent: starlingwinch\r\nAccept: application/json\r\n\r\n",
		k.path, w.addr)
	if c := w.conn; c != nil {
		k.conn, k.reused = c, c.used
		k.send()
		return
	}
	c := &conn{w: w}
	w.conn, k.conn, k.reused = c, c, false
	// A machine that has vanished must not hold the call for as long as a watch may take.
	c.dialing = w.m.Dial(w.addr, w.bounds.AnswerTime.Microseconds(), c.dialed)
}

func (c *conn) dialed(nc machine.Conn, err error) machine.Handler {
	c.dialing = nil
	if err != nil {
		c.w.call.fail(fmt.Errorf("discovery at %s: %w", c.w.addr, err))
		return nil
	}
	c.nc = nc
	c.w.call.send()
	return c
}

func (c *conn) close() {
	if c.dialing != nil {
		c.dialing.Cancel()
		c.dialing = nil
	}
	if c.nc != nil {
		c.nc.Close()
	}
	if c.w.conn == c {
		c.w.conn = nil
	}
}

// send writes what the connection takes.
func (k *call) send() {
	n, err := k.conn.nc.Write(k.unsent)
	k.unsent = k.unsent[n:]
	if err != nil {
		k.lost(err)
	}
}

// Writable implements machine.Handler.
func (c *conn) Writable() {
	if k := c.w.call; k != nil {
		k.send()
	}
}

// Readable implements machine.Handler.
func (c *conn) Readable() {
	k := c.w.call
	if k == nil {
		if !c.nc.Quiet() {
			c.close() // the end, or something that nobody asked for: the next call takes another connection
		}
		return
	}
	buf := make([]byte, readSize)
	for {
		n, err := c.nc.Read(buf)
		if errors.Is(err, machine.ErrWait) {
			return
		}
		if err != nil && !errors.Is(err, io.EOF) {
			k.lost(err)
			return
		}
		k.came = append(k.came, buf[:n]...)
		if k.read(err != nil) {
			return
		}
	}
}

// read looks whether the answer is whole. It reports whether the call is over.
func (k *call) read(ended bool) bool {
	if k.head == 0 {
		i := bytes.Index(k.came, []byte("\r\n\r\n"))
		switch {
		case i >= 0:
			k.head = i + 4
		case ended && len(k.came) == 0:
			k.lost(io.ErrUnexpectedEOF)
			return true
		case ended || len(k.came) > mostHeader:
			k.fail(errors.New("discovery: no HTTP header that can be read"))
			return true
		default:
			return false
		}
	}
	most := int(k.w.bounds.ListSize)
	if len(k.came)-k.head > 2*most+mostHeader { // a body in small chunks takes more room than it holds
		k.fail(errors.New("discovery's answer is too long"))
		return true
	}
	whole := bytes.NewReader(k.came)
	came := bufio.NewReader(whole)
	resp, err := http.ReadResponse(came, nil)
	if err != nil {
		k.fail(fmt.Errorf("discovery: %w", err))
		return true
	}
	defer resp.Body.Close()
	if resp.ContentLength > int64(most) {
		k.fail(errors.New("discovery's answer is too long"))
		return true
	}
	chunked := len(resp.TransferEncoding) > 0
	switch {
	case ended:
	case resp.ContentLength >= 0 && len(k.came) < k.head+int(resp.ContentLength):
		return false
	case chunked && !bytes.HasSuffix(k.came, []byte("\r\n\r\n")): // its last chunk ends so
		return false
	case !chunked && resp.ContentLength < 0:
		return false // it lasts until the connection ends
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(most)+1))
	switch {
	case err != nil && !ended && chunked:
		return false // the bytes looked like the end of it
	case err != nil:
		k.fail(fmt.Errorf("discovery: %w", err))
	case len(body) > most:
		k.fail(errors.New("discovery's answer is too long"))
	default:
		// The danger: what stands behind an answer is taken for the answer to the next call.
		behind := came.Buffered() + whole.Len()
		k.done(resp, body, ended || behind > 0)
	}
	return true
}

// done ends a call that was answered. last says that the connection is of no further use.
func (k *call) done(resp *http.Response, body []byte, last bool) {
	c := k.conn
	k.end()
	if c.used = true; last || resp.Close || strings.EqualFold(resp.Header.Get("Connection"), "close") {
		c.close()
	}
	k.w.answered(resp.StatusCode, body, nil)
}

// lost takes the end of a connection before any answer. One that stood idle may have been closed by the
// other side in the meantime: the call, which changes nothing, is made once more on a new one.
func (k *call) lost(err error) {
	if k.reused && len(k.came) == 0 {
		k.conn.close()
		k.start()
		return
	}
	k.fail(fmt.Errorf("discovery at %s: %w", k.w.addr, err))
}

func (k *call) fail(err error) {
	c := k.conn
	k.end()
	c.close()
	k.w.answered(0, nil, err)
}

// end lets go of a call.
func (k *call) end() {
	k.timer.Stop()
	if k.w.call == k {
		k.w.call = nil
	}
}
