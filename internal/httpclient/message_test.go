package httpclient

import (
	"bytes"
	"compress/gzip"
	"errors"
	"net/http"
	"strings"
	"testing"
)

func TestRequestEncode(t *testing.T) {
	for _, c := range []struct {
		name    string
		request Request
		want    string
	}{
		{"get", Request{Method: "GET", Path: "/a?b=c"}, "GET /a?b=c HTTP/1.1\r\nHost: h:1\r\nUser-Agent: starlingwinch\r\n\r\n"},
		{"header", Request{Method: "GET", Path: "/", Headers: []Header{{"Accept", "text/plain"}}},
			"GET / HTTP/1.1\r\nHost: h:1\r\nUser-Agent: starlingwinch\r\nAccept: text/plain\r\n\r\n"},
		{"empty body", Request{Method: "PUT", Path: "/"},
			"PUT / HTTP/1.1\r\nHost: h:1\r\nUser-Agent: starlingwinch\r\nContent-Length: 0\r\n\r\n"},
		{"body", Request{Method: "POST", Path: "/", Body: []byte("xy")},
			"POST / HTTP/1.1\r\nHost: h:1\r\nUser-Agent: starlingwinch\r\nContent-Length: 2\r\n\r\nxy"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := string(c.request.encode("h:1")); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

func compress(t *testing.T, text string) []byte {
	t.Helper()
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if _, err := z.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	if err := z.Close(); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

func TestDecodedBody(t *testing.T) {
	const maxBytes = 10
	compressed := func(text string) *Response {
		return &Response{Header: http.Header{"Content-Encoding": {"GZIP"}}, Body: compress(t, text)}
	}
	for _, c := range []struct {
		name     string
		response *Response
	}{
		{"without a coding", &Response{Body: []byte("0123456789")}},
		{"identity", &Response{Header: http.Header{"Content-Encoding": {"identity"}}, Body: []byte("0123456789")}},
		{"gzip", compressed("0123456789")},
	} {
		t.Run(c.name, func(t *testing.T) {
			body, err := c.response.DecodedBody(maxBytes)
			if err != nil || string(body) != "0123456789" {
				t.Errorf("got %q and error %v, want %q", body, err, "0123456789")
			}
		})
	}
	t.Run("too long", func(t *testing.T) {
		if _, err := compressed(strings.Repeat("x", maxBytes+1)).DecodedBody(maxBytes); !errors.Is(err, ErrTooLong) {
			t.Errorf("got %v, want %v", err, ErrTooLong)
		}
	})
	t.Run("unsupported coding", func(t *testing.T) {
		r := &Response{Header: http.Header{"Content-Encoding": {"br"}}}
		var unsupported *UnsupportedCodingError
		if _, err := r.DecodedBody(maxBytes); !errors.As(err, &unsupported) || unsupported.Coding != "br" {
			t.Errorf("got error %v, want an UnsupportedCodingError for br", err)
		}
	})
}
