package httpserver

import (
	"bytes"
	"net/http"
	"strconv"
)

// Bounds of the framing of a chunked body, in bytes.
const (
	maxChunkLine    = 256     // of a chunk's size and extensions, or of one trailer
	maxTrailerBytes = 4 << 10 // after the last chunk
)

// chunkedReader decodes a chunked body (RFC 9112, 7.1). Extensions and trailers are skipped.
type chunkedReader struct {
	maxBytes     int // of the body
	body         []byte
	chunkLeft    int  // bytes of the chunk that have not arrived, with its CRLF; 0 before a chunk's first line
	lastSeen     bool // the last chunk has arrived: trailers follow
	trailerBytes int  // so far
	done         bool // the body is whole
}

// take decodes b and returns how many bytes of it were used. It is called again with the unused bytes and those that
// arrived since, until done is set.
func (c *chunkedReader) take(b []byte) (used int, err error) {
	for !c.done {
		if c.chunkLeft > 0 {
			n, err := c.data(b[used:])
			used += n
			if err != nil || c.chunkLeft > 0 {
				return used, err
			}
			continue
		}
		rest := b[used:]
		end := bytes.IndexByte(rest, '\n')
		if end > maxChunkLine || end < 0 && len(rest) > maxChunkLine {
			return used, badRequest("a chunk's line is too long")
		}
		if end < 0 {
			return used, nil
		}
		if end == 0 || rest[end-1] != '\r' {
			return used, badRequest("a chunk's line ends without CR")
		}
		if bytes.IndexByte(rest[:end-1], '\r') >= 0 {
			return used, badRequest("a CR stands within a chunk's line")
		}
		used += end + 1
		if err := c.header(rest[:end-1]); err != nil {
			return used, err
		}
	}
	return used, nil
}

// data takes bytes of a chunk and the CRLF after them.
func (c *chunkedReader) data(b []byte) (used int, err error) {
	const crlf = "\r\n"
	if c.chunkLeft > len(crlf) {
		used = min(len(b), c.chunkLeft-len(crlf))
		c.body = append(c.body, b[:used]...)
		c.chunkLeft -= used
	}
	for c.chunkLeft <= len(crlf) && c.chunkLeft > 0 && used < len(b) {
		if b[used] != crlf[len(crlf)-c.chunkLeft] {
			return used, badRequest("a chunk is longer than it says")
		}
		used++
		c.chunkLeft--
	}
	return used, nil
}

// header takes the first line of a chunk, or a trailer.
func (c *chunkedReader) header(line []byte) error {
	if c.lastSeen {
		c.trailerBytes += len(line) + 2
		if c.trailerBytes > maxTrailerBytes {
			return badRequest("the trailers are too long")
		}
		c.done = len(line) == 0
		return nil
	}
	digits, _, _ := bytes.Cut(line, []byte(";"))
	digits = bytes.TrimRight(digits, " \t")
	size, err := strconv.ParseUint(string(digits), 16, 32)
	if err != nil {
		return badRequest("a chunk's size can't be read: %.40q", digits)
	}
	if size > uint64(c.maxBytes-len(c.body)) {
		return rejectWith(http.StatusRequestEntityTooLarge, "the body is longer than %d bytes", c.maxBytes)
	}
	c.lastSeen = size == 0
	if !c.lastSeen {
		c.chunkLeft = int(size) + 2
	}
	return nil
}
