package httpclient

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
)

// errInvalidHeader is returned for a response whose header is incomplete or too long.
var errInvalidHeader = errors.New("incomplete or too long HTTP header")

// headerEnd terminates a header. A chunked body also ends with these bytes, after its last chunk.
var headerEnd = []byte("\r\n\r\n")

// bodyFraming is how the end of a response's body is marked (RFC 9112, 6.3).
type bodyFraming uint8

const (
	framingUnknown bodyFraming = iota // the header is not parsed yet
	framedByLength                    // the header declares the length
	framedByChunks                    // the last chunk ends the body
	framedByClose                     // the end of the connection ends the body
)

// framingOf returns the framing of a response's body.
func framingOf(response *http.Response) bodyFraming {
	switch {
	case isChunked(response):
		return framedByChunks
	case response.ContentLength >= 0:
		return framedByLength
	}
	return framedByClose
}

// isChunked reports whether a response's body has a transfer encoding. The only one that http.ReadResponse accepts is chunked.
func isChunked(response *http.Response) bool { return len(response.TransferEncoding) > 0 }

// parse parses the received bytes. closed is set if the server has closed the connection. parse reports whether the attempt has
// ended, that is, whether the call has ended or was sent a second time.
func (k *call) parse(closed bool) (finished bool) {
	if k.headerLength == 0 {
		k.headerLength = headerLength(k.received)
	}
	if k.headerLength == 0 {
		return k.failWithoutHeader(closed)
	}
	// Small chunks have more bytes than the body that they contain, so the limit is twice the body's.
	limits := &k.client.options
	if len(k.received)-k.headerLength > 2*limits.MaxBodyBytes+limits.MaxHeaderBytes {
		k.fail(ErrTooLong)
		return true
	}
	// The header is parsed once, not after each read of the body: a read may return only one byte.
	if k.framing != framingUnknown && !closed && !k.mayBeComplete() {
		return false
	}
	return k.parseResponse(closed)
}

// headerLength returns the length of a response's header, or 0 if the header is incomplete.
func headerLength(received []byte) int {
	i := bytes.Index(received, headerEnd)
	if i < 0 {
		return 0
	}
	return i + len(headerEnd)
}

// failWithoutHeader ends the attempt if its response can no longer have a valid header: the call fails or, if it is retriable and
// nothing was received, is sent a second time. failWithoutHeader reports whether the attempt has ended.
func (k *call) failWithoutHeader(closed bool) (failed bool) {
	switch {
	case closed && len(k.received) == 0:
		k.onConnectionLost(io.ErrUnexpectedEOF)
		return true
	case closed || len(k.received) > k.client.options.MaxHeaderBytes:
		k.fail(errInvalidHeader)
		return true
	}
	return false
}

// mayBeComplete reports whether the response may be complete while its connection is open.
func (k *call) mayBeComplete() bool {
	switch k.framing {
	case framedByLength:
		return len(k.received) >= k.headerLength+k.bodyLength
	case framedByChunks:
		return bytes.HasSuffix(k.received, headerEnd)
	}
	return false
}

// parseResponse parses a response whose header is complete. It reports whether the attempt has ended.
func (k *call) parseResponse(closed bool) (finished bool) {
	var request *http.Request
	if k.withoutBody {
		request = &http.Request{Method: http.MethodHead}
	}
	source := bytes.NewReader(k.received)
	reader := bufio.NewReader(source)
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		k.fail(err)
		return true
	}
	defer response.Body.Close()
	if response.StatusCode < http.StatusOK {
		return k.skipInterim(closed)
	}
	maxBody := int64(k.client.options.MaxBodyBytes)
	if response.ContentLength > maxBody {
		k.fail(ErrTooLong)
		return true
	}
	k.bodyLength, k.framing = int(response.ContentLength), framingOf(response)
	if !closed && !k.mayBeComplete() {
		return false
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBody+1))
	switch {
	case err != nil && !closed && isChunked(response):
		return false // the received bytes end with headerEnd inside a chunk, so the body is incomplete
	case err != nil:
		k.fail(err)
	case int64(len(body)) > maxBody:
		k.fail(ErrTooLong)
	default:
		// Bytes after the response would be parsed as the response to the next call.
		hasMore := reader.Buffered()+source.Len() > 0
		k.succeed(response, body, closed || hasMore)
	}
	return true
}

// skipInterim skips an interim response, such as 100, that the final response follows. It reports whether the attempt has
// ended.
func (k *call) skipInterim(closed bool) (finished bool) {
	k.received = append([]byte(nil), k.received[k.headerLength:]...)
	k.headerLength, k.framing = 0, framingUnknown
	if len(k.received) == 0 && !closed {
		return false
	}
	return k.parse(closed)
}
