package machine

import (
	"io"
	"net"
	"testing"
)

// awaitDelivery waits until all bytes written have reached the peer's machine.
func awaitDelivery(r *loopRig, conn Conn) {
	r.t.Helper()
	const interval = 1000 // microseconds between two looks
	delivered := make(chan struct{})
	var look func()
	look = func() {
		if conn.HasUndelivered() {
			r.At(r.Now()+interval, look)
			return
		}
		close(delivered)
	}
	r.Post(look)
	await(r.t, "delivery of all bytes", delivered)
}

// TestAbortDropsUndeliveredBytes guards against the kernel sending the rest of an attempt that was given up, once a peer that hung
// reads again. Bytes that have reached the peer's machine count as delivered, and the end is in order then.
func TestAbortDropsUndeliveredBytes(t *testing.T) {
	const size = 64 << 20 // more than the sockets buffer
	for _, test := range []struct {
		name  string
		close func(Conn)
		size  int
		want  bool // whether the peer receives all that the socket accepted
	}{
		{"abort with undelivered bytes", Conn.Abort, size, false},
		{"close with undelivered bytes", Conn.Close, size, true},
		{"abort after delivery", Conn.Abort, 10, true},
	} {
		r := startLoop(t, Options{})
		accepted := make(chan Conn, 1)
		addr, _ := r.listen(func(c Conn) Handler {
			accepted <- c
			return &arrivalReader{c, make(chan [2]Time, 100)}
		})
		peer, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer peer.Close()
		conn := await(t, "a connection", accepted)
		written := 0
		r.runInLoop(func() {
			written, err = conn.Write(make([]byte, test.size))
		})
		if err != nil || test.size == size && written == size {
			t.Fatalf("%s: the socket accepted %d bytes: %v", test.name, written, err)
		}
		if test.size < size {
			awaitDelivery(r, conn)
		}
		r.runInLoop(func() {
			if got := conn.HasUndelivered(); got != (test.size == size) {
				t.Errorf("%s: got %v for undelivered bytes", test.name, got)
			}
			test.close(conn)
		})
		received, err := io.Copy(io.Discard, peer)
		if got := received == int64(written) && err == nil; got != test.want {
			t.Errorf("%s: the peer received %d of %d bytes (%v), want all: %v", test.name, received, written, err, test.want)
		}
	}
}
