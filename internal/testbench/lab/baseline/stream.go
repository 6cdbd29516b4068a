// Connections, and RESP as this router reads it.

package baseline

import (
	"bytes"
	"strconv"

	"starlingwinch/internal/machine"
)

// stream is a connection with what has come on it.
type stream struct {
	conn    machine.Conn
	in, out []byte
	closed  bool
}

// fill reads what has come and reports whether more can come.
func (c *stream) fill() bool {
	var b [2048]byte
	for {
		k, err := c.conn.Read(b[:])
		c.in = append(c.in, b[:k]...)
		if err == machine.ErrWait {
			return true
		}
		if err != nil {
			return false
		}
	}
}

func (c *stream) write(b []byte) {
	if c.closed {
		return
	}
	c.out = append(c.out, b...)
	k, _ := c.conn.Write(c.out)
	c.out = c.out[k:]
}

// Writable implements machine.Handler.
func (c *stream) Writable() { c.write(nil) }

func (c *stream) close() {
	c.closed = true
	c.conn.Close()
}

// reply finds out how long the first whole thing in b is: 0 for not there yet, below 0 for what can't be read.
func reply(b []byte, deep bool) int {
	end := bytes.Index(b, []byte("\r\n"))
	if end < 0 {
		if len(b) > 256 {
			return -1
		}
		return 0
	}
	if end == 0 {
		return -1
	}
	k, err := strconv.Atoi(string(b[1:end]))
	used := end + 2
	switch b[0] {
	case '+', '-':
		return used
	case '$':
		if err != nil || k < -1 || k > 64<<10 {
			return -1
		}
		if k < 0 {
			return used
		}
		if len(b) < used+k+2 {
			return 0
		}
		if b[used+k] != '\r' {
			return -1
		}
		return used + k + 2
	case '*':
		if err != nil || k < 1 || k > 16 || deep {
			return -1
		}
		for range k {
			m := reply(b[used:], true)
			if m <= 0 {
				return m
			}
			used += m
		}
		return used
	}
	return -1
}

// words are the parts of an array.
func words(b []byte) (all []string) {
	for b = b[bytes.IndexByte(b, '\n')+1:]; len(b) > 0; {
		k := reply(b, true)
		text, _ := bytes.CutSuffix(b[:k], []byte("\r\n"))
		all = append(all, string(text[bytes.IndexByte(text, '\n')+1:]))
		b = b[k:]
	}
	return all
}
