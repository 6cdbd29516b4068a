package standin

import (
	"bytes"
	"errors"
	"net/url"
	"strconv"
	"strings"
)

// mostHead bounds the head of an HTTP request.
const mostHead = 8 << 10

// httpGet is what discovery takes from a request.
type httpGet struct {
	path  string
	query url.Values
	close bool // the caller wants the connection ended after the answer
}

// errMethod says that a request is no GET.
var errMethod = errors.New("only GET is answered")

// readGet takes one request without a body off b, as RFC 9112 has it. used is 0 while it is not whole.
func readGet(b []byte) (g httpGet, used int, err error) {
	end := bytes.Index(b, []byte("\r\n\r\n"))
	if end < 0 {
		if len(b) >= mostHead {
			err = errors.New("the head is too long")
		}
		return g, 0, err
	}
	lines := strings.Split(string(b[:end]), "\r\n")
	words := strings.Split(lines[0], " ")
	if len(words) != 3 || words[2] != "HTTP/1.1" || !strings.HasPrefix(words[1], "/") {
		return g, 0, errors.New("bad request line")
	}
	if words[0] != "GET" {
		return g, 0, errMethod
	}
	host := false
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t\r\n") {
			return g, 0, errors.New("bad header line")
		}
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "host":
			host = true
		case "connection":
			g.close = strings.EqualFold(value, "close")
		case "content-length", "transfer-encoding":
			if value != "0" {
				return g, 0, errors.New("a body comes with a GET")
			}
		}
	}
	if !host {
		return g, 0, errors.New("no Host")
	}
	path, query, _ := strings.Cut(words[1], "?")
	g.path = path
	if g.query, err = url.ParseQuery(query); err != nil {
		return g, 0, errors.New("bad query")
	}
	return g, end + 4, nil
}

// httpAnswer is a whole answer with its body.
func httpAnswer(status string, body []byte, end bool) []byte {
	head := "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(body))
	if end {
		head += "\r\nConnection: close"
	}
	return append([]byte(head+"\r\n\r\n"), body...)
}
