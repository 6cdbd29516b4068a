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

// methods are the methods that are served.
var methods = []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodDelete}

// rejection is the error of an invalid request, with the status that it is answered with.
type rejection struct {
	status int
	reason string
}

// Error returns the reason, which is the body of the answer.
func (r *rejection) Error() string { return r.reason }

// rejectWith returns a rejection with a status and a formatted reason.
func rejectWith(status int, format string, args ...any) error {
	return &rejection{status, fmt.Sprintf(format, args...)}
}

func badRequest(why string, args ...any) error {
	return rejectWith(http.StatusBadRequest, why, args...)
}

// request is a head that was read, with the framing of its body.
type request struct {
	*http.Request
	length         int  // of the body, where it is not chunked
	chunked        bool // the body is chunked
	awaitsContinue bool // the client waits for status 100 before it sends the body
}

// readHead parses a whole head, with its empty line.
func readHead(head []byte, maxBody int) (*request, error) {
	if err := checkStrict(head); err != nil {
		return nil, err
	}
	hr, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		return nil, badRequest("the head can't be read: %.200s", err)
	}
	r := &request{Request: hr}
	if !hr.ProtoAtLeast(1, 1) || hr.ProtoMajor != 1 {
		return nil, rejectWith(http.StatusHTTPVersionNotSupported, "HTTP/1.1 is spoken here")
	}
	if !slices.Contains(methods, hr.Method) {
		return nil, rejectWith(http.StatusNotImplemented, "method %.20q is not served", hr.Method)
	}
	if !strings.HasPrefix(hr.URL.Path, "/") {
		return nil, badRequest("the target names no path")
	}
	return r, r.parseFraming(head, maxBody)
}

// checkStrict rejects heads that other readers may understand differently.
func checkStrict(head []byte) error {
	for i, b := range head {
		switch {
		case b == '\n' && (i == 0 || head[i-1] != '\r'):
			return badRequest("a line ends without CR")
		case b == '\r' && (i+1 == len(head) || head[i+1] != '\n'):
			return badRequest("a CR stands within a line")
		case (b == ' ' || b == '\t') && i > 0 && head[i-1] == '\n':
			return badRequest("a header line is folded")
		case b < ' ' && b != '\r' && b != '\n' && b != '\t' || b == 0x7f:
			return badRequest("a control character stands in the head")
		}
	}
	return nil
}

// parseFraming finds out how the body is framed (RFC 9112, 6.3).
func (r *request) parseFraming(head []byte, maxBody int) error {
	_, lines, _ := bytes.Cut(head, []byte("\r\n"))
	for line := range bytes.Lines(lines) {
		// A proxy that drops the space in "Content-Length :" would see a length that this server does not.
		name, _, _ := bytes.Cut(line, []byte(":"))
		if bytes.ContainsAny(name, " \t") {
			return badRequest("a header's name holds a space")
		}
	}
	h, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(lines))).ReadMIMEHeader()
	if err != nil {
		return badRequest("the header can't be read: %.200s", err)
	}
	hosts, lengths, codings := h["Host"], h["Content-Length"], h["Transfer-Encoding"]
	if len(hosts) != 1 {
		return badRequest("the header holds %d Host lines", len(hosts))
	}
	if len(codings) > 0 {
		// With both, a proxy in front may have used the other one.
		if len(lengths) > 0 {
			return badRequest("the body has a Content-Length and a Transfer-Encoding")
		}
		if len(codings) > 1 || !strings.EqualFold(codings[0], "chunked") {
			return badRequest("transfer coding %.40q is not known here", strings.Join(codings, ", "))
		}
		r.chunked = true
	}
	if len(lengths) > 1 {
		return badRequest("the header holds %d Content-Length lines", len(lengths))
	}
	if r.ContentLength > int64(maxBody) {
		return rejectWith(http.StatusRequestEntityTooLarge, "the body is longer than %d bytes", maxBody)
	}
	r.length = int(max(r.ContentLength, 0))
	if expect := h.Get("Expect"); expect != "" {
		if !strings.EqualFold(expect, "100-continue") {
			return rejectWith(http.StatusExpectationFailed, "expectation %.40q is not known here", expect)
		}
		r.awaitsContinue = r.chunked || r.length > 0
	}
	return nil
}
