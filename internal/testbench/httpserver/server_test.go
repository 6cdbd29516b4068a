package httpserver

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
	"strings"
	"testing"
)

const get = "GET /a?b=c HTTP/1.1\r\nHost: h\r\n\r\n"

func TestPipelinedRequestsAnsweredInOrder(t *testing.T) {
	f := newField(t, Options{})
	f.handle = nil
	c := f.dial()
	c.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n" +
		"PUT /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc" +
		"DELETE /3 HTTP/1.1\r\nHost: h\r\n\r\n")
	if len(f.calls) != 1 {
		t.Fatalf("%d exchanges are out at a time", len(f.calls))
	}
	for i := range 3 {
		echo(f.calls[i])
		f.after(second)
	}
	got := c.take()
	var bodies []string
	for _, line := range strings.Split(got, "\r\n") {
		if strings.Contains(line, "\n") {
			bodies = append(bodies, strings.Split(line, "\n")[0])
		}
	}
	if want := "GET /1 ,PUT /2 abc,DELETE /3 "; strings.Join(bodies, ",") != want {
		t.Errorf("answers %q, want %s", bodies, want)
	}
	if c.end != nil || f.server.Connections() != 1 {
		t.Error("the connection is not kept")
	}
}

func TestManyPipelinedRequestsAreAnswered(t *testing.T) {
	f := newField(t, Options{})
	c := f.dial()
	const many = 5 * maxStepsPerTurn
	c.send(strings.Repeat(get, many))
	f.after(second)
	if n := strings.Count(c.take(), "HTTP/1.1 200 OK\r\n"); n != many {
		t.Errorf("%d of %d are answered", n, many)
	}
}

func TestChunkedBodies(t *testing.T) {
	f := newField(t, Options{RequestTime: 60 * second})
	c := f.dial()
	head := "POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	text := head + "3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\nTrailer: t\r\n\r\n"
	for _, b := range text {
		c.send(string(b))
	}
	c.says("HTTP/1.1 200 OK\r\n", "POST /p abc0123456789\n")
	c.send(text + get)
	c.says("HTTP/1.1 200 OK\r\n", "POST /p abc0123456789\n", "GET /a?b=c")
}

func TestExpectContinue(t *testing.T) {
	f := newField(t, Options{})
	c := f.dial()
	c.send("POST /p HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	c.says("HTTP/1.1 100 Continue\r\n\r\n")
	c.send("ab")
	c.says("HTTP/1.1 200 OK\r\n", "POST /p ab")
}

func TestHeadRequest(t *testing.T) {
	f := newField(t, Options{})
	c := f.dial()
	c.send("HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n")
	got := c.take()
	if !strings.Contains(got, "Content-Length: 9\r\n") || !strings.HasSuffix(got, "\r\n\r\n") {
		t.Errorf("got %q", got)
	}
}

func TestLastAnswerIsReadBeforeClose(t *testing.T) {
	f := newField(t, Options{})
	c := f.dial()
	c.send("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n")
	c.says("HTTP/1.1 200 OK\r\n", "Connection: close\r\n", "GET /a")
	if !errors.Is(c.end, io.EOF) || len(f.calls) != 1 {
		t.Errorf("the connection ended with %v after %d calls", c.end, len(f.calls))
	}
	f.after(2 * second)
	if f.server.Connections() != 0 {
		t.Error("a client that does not end its side keeps its connection")
	}
}

func TestHalfClosedClientIsAnswered(t *testing.T) {
	f := newField(t, Options{})
	f.handle = nil
	c := f.dial()
	c.send(get)
	c.conn.CloseWrite()
	ended := false
	f.calls[0].Ended = func() { ended = true }
	f.after(second)
	if !ended {
		t.Error("the end is not told")
	}
	echo(f.calls[0])
	f.after(second)
	c.says("HTTP/1.1 200 OK\r\n", "GET /a?b=c")
	if f.server.Connections() != 0 {
		t.Error("the connection stays")
	}
}

func TestExchangeEndsWithItsClient(t *testing.T) {
	f := newField(t, Options{IdleTime: second})
	f.handle = nil
	c := f.dial()
	c.send(get)
	gone := false
	f.calls[0].Gone = func() { gone = true }
	c.conn.Close()
	f.after(2 * second)
	if !gone || f.calls[0].Open() || f.server.Connections() != 0 {
		t.Error("an exchange that nobody answers holds a connection whose client has left")
	}
	echo(f.calls[0]) // does nothing
}

func TestBadRequestsAreRejected(t *testing.T) {
	host := "Host: h\r\n"
	for _, c := range []struct{ in, want string }{
		{"GET /a HTTP/1.1\r\n\r\n", "400"},
		{"GET /a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "400"},
		{"GET /a HTTP/1.1\nHost: h\r\n\r\n", "400"},
		{"GET /a HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n\r\n", "400"},
		{"GET /a HTTP/1.1\r\nHost: h\r\nA: \x01\r\n\r\n", "400"},
		{"GET /a HTTP/1.1\r\nHost: h\r\nA : b\r\n\r\n", "400"},
		{"GET /a b HTTP/1.1\r\n" + host + "\r\n", "400"},
		{"GET a HTTP/1.1\r\n" + host + "\r\n", "400"},
		{"GET /a HTTP/1.0\r\n" + host + "\r\n", "505"},
		{"GET /a HTTP/2.0\r\n" + host + "\r\n", "505"},
		{"PATCH /a HTTP/1.1\r\n" + host + "\r\n", "501"},
		{"POST /a HTTP/1.1\r\n" + host + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na", "400"},
		{"POST /a HTTP/1.1\r\n" + host + "Content-Length: -1\r\n\r\na", "400"},
		{"POST /a HTTP/1.1\r\n" + host + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
		{"POST /a HTTP/1.1\r\n" + host + "Transfer-Encoding: gzip\r\n\r\n", "400"},
		{"POST /a HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\nx\r\n", "400"},
		{"POST /a HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", "400"},
		{"POST /a HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n1\nabc\r\n", "400"},
		{"POST /a HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("0", 300), "400"},
		{"POST /a HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("A: b\r\n", 1000), "400"},
		{"POST /a HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\nFFFF\r\n", "413"},
		{"POST /a HTTP/1.1\r\n" + host + "Content-Length: 1001\r\n\r\n", "413"},
		{"POST /a HTTP/1.1\r\n" + host + "Expect: much\r\n\r\n", "417"},
		{"GET /" + strings.Repeat("a", 600), "431"},
		{"GET /" + strings.Repeat("a", 600) + " HTTP/1.1\r\n" + host + "\r\n", "431"},
	} {
		f := newField(t, Options{MaxHeadBytes: 500, MaxBodyBytes: 1000})
		w := f.dial()
		w.send(c.in)
		f.after(2 * second)
		got := w.take()
		if !strings.HasPrefix(got, "HTTP/1.1 "+c.want+" ") || w.end == nil || len(f.calls) != 0 {
			t.Errorf("%.60q got %.60q (end %v, %d calls), want %s and the end", c.in, got, w.end, len(f.calls), c.want)
		}
	}
}

func TestRequestAndIdleTimeouts(t *testing.T) {
	f := newField(t, Options{RequestTime: 2 * second, IdleTime: 5 * second})
	slow, idle, kept := f.dial(), f.dial(), f.dial()
	slow.send("GET")
	for range 3 {
		slow.send("x") // it goes on, but not fast enough
		f.after(second / 2)
	}
	f.after(second)
	slow.says("HTTP/1.1 408 ")
	if idle.end != nil {
		t.Error("an idle connection ended early")
	}
	kept.send(get)
	f.after(3 * second)
	if idle.end == nil || kept.end != nil {
		t.Errorf("idle ended with %v, kept with %v", idle.end, kept.end)
	}
}

func TestConnectionLimit(t *testing.T) {
	f := newField(t, Options{Connections: 2})
	first, _, third := f.dial(), f.dial(), f.dial()
	third.says("HTTP/1.1 503 ")
	first.send(get)
	first.says("HTTP/1.1 200 ")
	for range 5 {
		f.dial()
	}
	if n := f.server.Connections(); n > 3 {
		t.Errorf("%d connections are open", n)
	}
}

func TestStreamFollowsReader(t *testing.T) {
	f := newField(t, Options{WriteTime: 5 * second})
	made := 0
	f.handle = func(x *Exchange) {
		x.Stream(Answer{Status: 200}, func() []byte {
			if made == 100 {
				return nil
			}
			made++
			return bytes.Repeat([]byte("a"), 10_000)
		})
	}
	deaf := f.dial()
	deaf.deaf = true
	deaf.send(get)
	f.after(second)
	if made == 0 || made > 10 {
		t.Errorf("%d pieces were made for a client that reads nothing", made)
	}
	f.after(6 * second)
	if f.server.Connections() != 0 {
		t.Error("a client that reads nothing keeps its connection")
	}
	made = 0
	c := f.dial()
	c.send(get)
	f.after(5 * second)
	head, body, _ := strings.Cut(c.got.String(), "\r\n\r\n")
	plain, err := io.ReadAll(httputil.NewChunkedReader(strings.NewReader(body)))
	if err != nil || len(plain) != 1_000_000 || !strings.Contains(head, "Transfer-Encoding: chunked") {
		t.Errorf("%d bytes came, with %v, after %q", len(plain), err, head)
	}
	c.take()
	f.handle = echo
	c.send(get)
	c.says("HTTP/1.1 200 ")
}

func TestRawClosesConnection(t *testing.T) {
	f := newField(t, Options{})
	f.handle = func(x *Exchange) { x.Raw([]byte("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc")) }
	c := f.dial()
	c.send(get)
	if got := c.take(); !strings.HasSuffix(got, "abc") || c.end == nil {
		t.Errorf("got %q, ended with %v", got, c.end)
	}
}

func TestRefuse(t *testing.T) {
	f := newField(t, Options{})
	old := f.dial()
	f.server.Refuse(true)
	next := f.dial()
	f.after(second)
	if old.end == nil || next.end == nil || old.read+next.read > 0 {
		t.Errorf("the old one ended with %v, the new one with %v", old.end, next.end)
	}
	f.server.Refuse(false)
	f.dial().send(get).says("HTTP/1.1 200 ")
}

func TestServerClose(t *testing.T) {
	f := newField(t, Options{})
	f.handle = nil
	idle, busy := f.dial(), f.dial()
	busy.send(get)
	f.server.Close()
	f.after(second)
	if idle.end == nil || busy.end == nil || f.server.Connections() != 0 {
		t.Error("connections stay open")
	}
}

func FuzzChunks(f *testing.F) {
	f.Add([]byte("3\r\nabc\r\n0\r\n\r\n"), 1)
	f.Add([]byte("3;a=b\r\nabc\r\nA\r\n0123456789\r\n0\r\nA: b\r\n\r\nrest"), 3)
	f.Add([]byte("1\r\nabc"), 2)
	f.Fuzz(func(t *testing.T, b []byte, step int) {
		step = max(1, step%64)
		whole := &chunkedReader{maxBytes: 1000}
		_, err := whole.take(b)
		pieces := &chunkedReader{maxBytes: 1000}
		var in []byte
		var errPieces error
		for at := 0; at < len(b) && errPieces == nil && !pieces.done; at += step {
			in = append(in, b[at:min(at+step, len(b))]...)
			var used int
			used, errPieces = pieces.take(in)
			in = in[used:]
		}
		if fmt.Sprint(err) != fmt.Sprint(errPieces) || whole.done != pieces.done || !bytes.Equal(whole.body, pieces.body) {
			t.Errorf("at once: %v %t %q; in pieces: %v %t %q", err, whole.done, whole.body, errPieces, pieces.done, pieces.body)
		}
		if len(whole.body) > 1000 {
			t.Errorf("%d bytes", len(whole.body))
		}
		if whole.done {
			want, err := io.ReadAll(httputil.NewChunkedReader(bytes.NewReader(b)))
			if err == nil && !bytes.Equal(want, whole.body) { // it refuses more: chunks with little in them
				t.Errorf("took %q, the library took %q, %v", whole.body, want, err)
			}
		}
	})
}

func FuzzReadHead(f *testing.F) {
	f.Add([]byte(get))
	f.Add([]byte("POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := readHead(b, 1000)
		if err == nil && (r.length < 0 || r.length > 1000 || r.URL.Path[0] != '/') {
			t.Errorf("%q became %+v", b, r)
		}
		var known *rejection
		if err != nil && !errors.As(err, &known) {
			t.Errorf("%q: no status goes with %v", b, err)
		}
	})
}
