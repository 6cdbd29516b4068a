package httpserver

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"net/textproto"
	"slices"
	"strings"
)

// methods are those that are served.
var methods = []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodDelete}

// rejection is a request that is not let through, with the status that it is answered.
type rejection struct {
	status int
	why    string
}

func (r *rejection) Error() string { return r.why }

func reject(status int, why string, args ...any) error {
	return &rejection{status, fmt.Sprintf(why, args...)}
}

func bad(why string, args ...any) error { return reject(http.StatusBadRequest, why, args...) }

// request is a head that was read, with how its body comes.
type request struct {
	*http.Request
	length    int  // of the body, where it does not come in chunks
	chunked   bool // it does
	continues bool // the client waits for a word before it sends the body
}

// readHead reads a head that is whole, with its empty line.
func readHead(head []byte, mostBody int) (*request, error) {
	if err := strict(head); err != nil {
		return nil, err
	}
	hr, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		return nil, bad("the head can't be read: %.200s", err)
	}
	r := &request{Request: hr}
	if !hr.ProtoAtLeast(1, 1) || hr.ProtoMajor != 1 {
		return nil, reject(http.StatusHTTPVersionNotSupported, "HTTP/1.1 is spoken here")
	}
	if !slices.Contains(methods, hr.Method) {
		return nil, reject(http.StatusNotImplemented, "method %.20q is not served", hr.Method)
	}
	if !strings.HasPrefix(hr.URL.Path, "/") {
		return nil, bad("the target names no path")
	}
	return r, r.frame(head, mostBody)
}

// strict refuses what readers take differently.
func strict(head []byte) error {
	for i, b := range head {
		switch {
		case b == '\n' && (i == 0 || head[i-1] != '\r'):
			return bad("a line ends without CR")
		case b == '\r' && (i+1 == len(head) || head[i+1] != '\n'):
			return bad("a CR stands within a line")
		case (b == ' ' || b == '\t') && i > 0 && head[i-1] == '\n':
			return bad("a header line is folded")
		case b < ' ' && b != '\r' && b != '\n' && b != '\t' || b == 0x7f:
			return bad("a control character stands in the head")
		}
	}
	return nil
}

// frame finds out how the body comes (RFC 9112, 6.3).
func (r *request) frame(head []byte, mostBody int) error {
	_, lines, _ := bytes.Cut(head, []byte("\r\n"))
	for line := range bytes.Lines(lines) {
		// The danger: a proxy that drops the space in "Content-Length :" sees a length that we don't.
		name, _, _ := bytes.Cut(line, []byte(":"))
		if bytes.ContainsAny(name, " \t") {
			return bad("a header's name holds a space")
		}
	}
	h, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(lines))).ReadMIMEHeader()
	if err != nil {
		return bad("the header can't be read: %.200s", err)
	}
	hosts, lengths, codings := h["Host"], h["Content-Length"], h["Transfer-Encoding"]
	if len(hosts) != 1 {
		return bad("the header holds %d Host lines", len(hosts))
	}
	if len(codings) > 0 {
		// The danger: with both, a proxy in front may have gone by the other one.
		if len(lengths) > 0 {
			return bad("the body has a Content-Length and a Transfer-Encoding")
		}
		if len(codings) > 1 || !strings.EqualFold(codings[0], "chunked") {
			return bad("transfer coding %.40q is not known here", strings.Join(codings, ", "))
		}
		r.chunked = true
	}
	if len(lengths) > 1 {
		return bad("the header holds %d Content-Length lines", len(lengths))
	}
	if r.ContentLength > int64(mostBody) {
		return reject(http.StatusRequestEntityTooLarge, "the body is longer than %d bytes", mostBody)
	}
	r.length = int(max(r.ContentLength, 0))
	if expect := h.Get("Expect"); expect != "" {
		if !strings.EqualFold(expect, "100-continue") {
			return reject(http.StatusExpectationFailed, "expectation %.40q is not known here", expect)
		}
		r.continues = r.chunked || r.length > 0
	}
	return nil
}
