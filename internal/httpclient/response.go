package httpclient

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
)

// errInvalidHeader is the error of a response without a complete header, or with one that is too long.
var errInvalidHeader = errors.New("no HTTP header that can be read")

// headerEnd ends a header. A chunked body ends with it too, after its last chunk.
var headerEnd = []byte("\r\n\r\n")

// bodyFraming is how the end of a response's body is marked (RFC 9112, 6.3).
type bodyFraming uint8

const (
	framingUnknown bodyFraming = iota // the header was not parsed yet
	framedByLength                    // by its length
	framedByChunks                    // by its last chunk
	framedByClose                     // by the end of the connection
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

func isChunked(response *http.Response) bool { return len(response.TransferEncoding) > 0 }

// parse parses what was received so far. closed says that the server has closed the connection. It reports whether the call is
// over.
func (k *call) parse(closed bool) (over bool) {
	if k.headerLength == 0 {
		k.headerLength = headerLength(k.received)
	}
	if k.headerLength == 0 {
		return k.failWithoutHeader(closed)
	}
	// Small chunks take more bytes than the body that they hold.
	limits := &k.client.options
	if len(k.received)-k.headerLength > 2*limits.MaxBodyBytes+limits.MaxHeaderBytes {
		k.fail(ErrTooLong)
		return true
	}
	// The header is parsed once, not with each piece of the body: a piece may be as small as a byte.
	if k.framing != framingUnknown && !closed && !k.mayBeComplete() {
		return false
	}
	return k.parseResponse(closed)
}

// headerLength is the length of a response's header; 0 where it is not complete.
func headerLength(received []byte) int {
	i := bytes.Index(received, headerEnd)
	if i < 0 {
		return 0
	}
	return i + len(headerEnd)
}

// failWithoutHeader fails the call where its response can have no valid header any more. It reports whether it did.
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

// parseResponse parses a response whose header is complete. It reports whether the call is over.
func (k *call) parseResponse(closed bool) (over bool) {
	var request *http.Request
	if k.bodiless {
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
		return false // the bytes received look like the end of the last chunk, but are part of one
	case err != nil:
		k.fail(err)
	case int64(len(body)) > maxBody:
		k.fail(ErrTooLong)
	default:
		// Bytes behind the response would be taken for the response to the next call.
		hasMore := reader.Buffered()+source.Len() > 0
		k.succeed(response, body, closed || hasMore)
	}
	return true
}

// skipInterim skips a response that another one follows, such as 100. It reports whether the call is over.
func (k *call) skipInterim(closed bool) (over bool) {
	k.received = append([]byte(nil), k.received[k.headerLength:]...)
	k.headerLength, k.framing = 0, framingUnknown
	if len(k.received) == 0 && !closed {
		return false
	}
	return k.parse(closed)
}
