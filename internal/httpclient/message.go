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

// Request is a request. Host, Content-Length and User-Agent are added to its header.
type Request struct {
	Method  string
	Path    string // with its query; it must hold no space or control character
	Headers []Header
	Body    []byte
}

// wire returns the bytes of a request to this host.
func (r *Request) wire(host string) []byte {
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

// isIdempotent reports whether a call may be repeated where its connection turns out to be closed (RFC 9110, 9.2.2).
func isIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// Response is a complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// DecodedBody returns the body without its content coding, up to maxBytes. Decoding a large body takes long, and is then for
// Machine.Work.
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

// UnsupportedCodingError is the error of a body with a content coding that this package can't decode.
type UnsupportedCodingError struct{ Coding string }

// Error implements error.
func (e *UnsupportedCodingError) Error() string { return fmt.Sprintf("content coding %.40q", e.Coding) }

// gunzip decompresses a body, up to maxBytes: a few bytes can decompress to any number of them.
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
