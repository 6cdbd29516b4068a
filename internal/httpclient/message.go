package httpclient

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// Header is one field of a request's header.
type Header struct{ Name, Value string }

// Request is an HTTP request. The client adds Host, Content-Length and User-Agent to its header.
type Request struct {
	Method  string
	Path    string // path with the query; must contain no space or control character
	Headers []Header
	Body    []byte
}

// encode returns the bytes of the request to a host.
func (r *Request) encode(host string) []byte {
	b := fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\nUser-Agent: starlingwinch\r\n", r.Method, r.Path, host)
	for _, header := range r.Headers {
		b = fmt.Appendf(b, "%s: %s\r\n", header.Name, header.Value)
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		b = fmt.Appendf(b, "Content-Length: %d\r\n", len(r.Body))
	}
	b = append(b, "\r\n"...)
	return append(b, r.Body...)
}

// isIdempotent reports whether a call with this method may be repeated after the server has closed its connection (RFC 9110, 9.2.2).
func isIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// Response is a complete HTTP response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// DecodedBody returns the body without its content coding. It returns ErrTooLong if a compressed body decodes to more than maxBytes.
// Decoding a large body is slow and should run in Machine.Work.
func (r *Response) DecodedBody(maxBytes int) ([]byte, error) {
	coding := strings.ToLower(r.Header.Get("Content-Encoding"))
	switch coding {
	case "", "identity":
		return r.Body, nil
	case "gzip":
		return gunzip(r.Body, maxBytes)
	}
	return nil, &UnsupportedCodingError{coding}
}

// UnsupportedCodingError is returned for a body with a content coding that this package can't decode.
type UnsupportedCodingError struct{ Coding string }

// Error implements error.
func (e *UnsupportedCodingError) Error() string { return fmt.Sprintf("content coding %.40q", e.Coding) }

// gunzip decompresses a body to at most maxBytes. The limit is necessary because a few bytes can decompress to any number of bytes.
func gunzip(body []byte, maxBytes int) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	decoded, err := io.ReadAll(io.LimitReader(reader, int64(maxBytes)+1))
	if err == nil && len(decoded) > maxBytes {
		err = ErrTooLong
	}
	return decoded, err
}
