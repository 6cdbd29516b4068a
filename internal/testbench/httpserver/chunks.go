package httpserver

import (
	"bytes"
	"net/http"
	"strconv"
)

// Bounds of what surrounds the bytes of a body that comes in chunks.
const (
	mostChunkLine = 256     // of a chunk's size and extensions, or of one trailer
	mostTrailers  = 4 << 10 // after the last chunk
)

// chunks takes a body apart that comes in chunks (RFC 9112, 7.1). Extensions and trailers are skipped.
type chunks struct {
	most  int // bytes of the body
	body  []byte
	left  int  // bytes of the chunk that have not come, with its CRLF; 0 before a chunk's first line
	last  bool // the last chunk has come: trailers follow
	extra int  // bytes of trailers so far
	done  bool
}

// take reads on in b and tells how many bytes of it are done with. It is called again with what is left and
// what has come since.
func (c *chunks) take(b []byte) (used int, err error) {
	for !c.done {
		if c.left > 0 {
			n, err := c.data(b[used:])
			used += n
			if err != nil || c.left > 0 {
				return used, err
			}
			continue
		}
		rest := b[used:]
		end := bytes.IndexByte(rest, '\n')
		if end > mostChunkLine || end < 0 && len(rest) > mostChunkLine {
			return used, bad("a chunk's line is too long")
		}
		if end < 0 {
			return used, nil
		}
		if end == 0 || rest[end-1] != '\r' {
			return used, bad("a chunk's line ends without CR")
		}
		if bytes.IndexByte(rest[:end-1], '\r') >= 0 {
			return used, bad("a CR stands within a chunk's line")
		}
		used += end + 1
		if err := c.line(rest[:end-1]); err != nil {
			return used, err
		}
	}
	return used, nil
}

// data takes bytes of a chunk, and the CRLF behind them.
func (c *chunks) data(b []byte) (used int, err error) {
	const crlf = "\r\n"
	if c.left > len(crlf) {
		used = min(len(b), c.left-len(crlf))
		c.body = append(c.body, b[:used]...)
		c.left -= used
	}
	for c.left <= len(crlf) && c.left > 0 && used < len(b) {
		if b[used] != crlf[len(crlf)-c.left] {
			return used, bad("a chunk is longer than it says")
		}
		used++
		c.left--
	}
	return used, nil
}

// line takes a chunk's first line or a trailer.
func (c *chunks) line(line []byte) error {
	if c.last {
		c.extra += len(line) + 2
		if c.extra > mostTrailers {
			return bad("the trailers are too long")
		}
		c.done = len(line) == 0
		return nil
	}
	digits, _, _ := bytes.Cut(line, []byte(";"))
	digits = bytes.TrimRight(digits, " \t")
	size, err := strconv.ParseUint(string(digits), 16, 32)
	if err != nil {
		return bad("a chunk's size can't be read: %.40q", digits)
	}
	if size > uint64(c.most-len(c.body)) {
		return reject(http.StatusRequestEntityTooLarge, "the body is longer than %d bytes", c.most)
	}
	c.last = size == 0
	if !c.last {
		c.left = int(size) + 2
	}
	return nil
}
