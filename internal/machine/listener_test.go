package machine

import (
	"errors"
	"syscall"
	"testing"
	"time"
)

func TestPausedListenerAcceptsNothingUntilResumed(t *testing.T) {
	r := startLoop(t, Options{})
	accepted := make(chan Conn, 8)
	addr, l := r.listen(func(c Conn) Handler {
		accepted <- c
		return &funcHandler{}
	})
	r.runInLoop(func() {
		l.Pause()
		l.Pause()
	})
	r.connect(addr) // the kernel completes the connection in the listener's backlog
	r.connect(addr)
	r.waitTurns()
	if len(accepted) != 0 {
		t.Fatal("a paused listener accepted a connection")
	}
	r.runInLoop(l.Resume)
	await(t, "the first queued connection", accepted)
	await(t, "the second queued connection", accepted)
	r.connect(addr)
	await(t, "a new connection", accepted)
}

func TestListenerPausedByAcceptAcceptsOneAtATime(t *testing.T) {
	r := startLoop(t, Options{})
	accepted := make(chan Conn, 8)
	var l Listener
	var addr string
	addr, l = r.listen(func(c Conn) Handler {
		l.Pause()
		accepted <- c
		return &funcHandler{}
	})
	r.runInLoop(func() {
		l.Pause()
	})
	for range 3 {
		r.connect(addr)
	}
	for i := range 3 {
		r.runInLoop(l.Resume)
		await(t, "a connection", accepted)
		r.waitTurns()
		if len(accepted) != 0 {
			t.Fatalf("Resume number %d: more than one connection was accepted, want one per Resume", i+1)
		}
	}
}

func TestListenerCloseResetsQueuedAndKeepsAccepted(t *testing.T) {
	r := startLoop(t, Options{})
	accepted := make(chan Conn, 8)
	addr, l := r.listen(func(c Conn) Handler {
		accepted <- c
		return &funcHandler{}
	})
	r.connect(addr)
	first := await(t, "the connection", accepted)
	r.runInLoop(l.Pause)
	queued := r.connect(addr)
	r.runInLoop(func() {
		l.Close()
		l.Close()
		l.Resume()
		l.Pause()
		if !first.HasNothingUnread() {
			t.Error("closing the listener ended an accepted connection")
		}
	})
	if _, err := queued.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("Read on a queued connection: got error %v, want ECONNRESET", err)
	}
	if _, err := r.dial(addr, 5_000_000); !errors.Is(err, ErrRefused) {
		t.Errorf("dial to a closed listener: got error %v, want ErrRefused", err)
	}
}

func TestListenerResumesOnceDescriptorsAreFree(t *testing.T) {
	r := startLoop(t, Options{Descriptors: 2})
	accepted := make(chan Conn, 8)
	addr, l := r.listen(func(c Conn) Handler {
		accepted <- c
		return &funcHandler{}
	})
	for range 4 {
		r.connect(addr)
	}
	first := await(t, "the first connection", accepted)
	await(t, "the second connection", accepted)
	// The two connections in the listener's backlog must not keep waking the event loop.
	end := time.Now().Add(eventTimeout)
	for waits := false; !waits; {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for the listener to pause for lack of descriptors")
		}
		r.runInLoop(func() {
			if waits = l.(*listener).waiting != nil; !waits {
				return
			}
			r.poll.poll()
			for i := range r.poll.n {
				if r.poll.owner(&r.poll.events[i]) == l.(watcher) {
					t.Error("the kernel reports the queued connections, want no event while the listener waits for descriptors")
				}
			}
			r.poll.n = 0
		})
	}
	done := make(chan struct{})
	r.runInLoop(func() { r.At(r.Now()+25_000, func() { close(done) }) })
	await(t, "the end of two pauses of the listener", done)
	if len(accepted) != 0 {
		t.Error("the listener accepted more connections than the descriptor limit allows")
	}
	r.runInLoop(first.Close)
	await(t, "the third connection", accepted)
}

func TestListenerPausedWithoutDescriptorsStaysPaused(t *testing.T) {
	r := startLoop(t, Options{Descriptors: 1})
	accepted := make(chan Conn, 8)
	paused := make(chan struct{})
	addr, l := r.listen(func(c Conn) Handler {
		accepted <- c
		return &funcHandler{}
	})
	r.runInLoop(l.Pause)
	r.connect(addr)
	r.connect(addr)
	r.runInLoop(l.Resume)
	first := await(t, "the first connection", accepted)
	r.runInLoop(func() {
		var checkWaiting func()
		checkWaiting = func() {
			if l.(*listener).waiting == nil {
				r.At(r.Now()+100, checkWaiting)
				return
			}
			l.Pause()
			first.Close()
			r.At(l.(*listener).waiting.at, func() { close(paused) }) // set after the listener's timer, so it fires after it
		}
		checkWaiting()
	})
	await(t, "the end of the wait", paused)
	r.runInLoop(func() {
		r.poll.poll()
		for i := range r.poll.n {
			if r.poll.owner(&r.poll.events[i]) == l.(watcher) {
				t.Error("the kernel reports events for a paused listener")
			}
		}
		r.poll.n = 0
		if len(accepted) != 0 {
			t.Error("a paused listener accepted a connection")
		}
		l.Resume()
	})
	await(t, "the second connection", accepted)
}

func TestProcessOutOfDescriptorsNeitherEndsNorSpinsAndAcceptsLater(t *testing.T) {
	r := startLoop(t, Options{})
	accepted := make(chan Conn, 8)
	addr, l := r.listen(func(c Conn) Handler {
		accepted <- c
		return &funcHandler{}
	})
	waiting := make(chan struct{})
	var old syscall.Rlimit
	var dialErr error
	failed := make(chan struct{})
	r.runInLoop(l.Pause)
	r.connect(addr)
	r.runInLoop(func() {
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &old); err != nil {
			t.Error(err)
			return
		}
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: 3, Max: old.Max}); err != nil {
			t.Error(err)
			return
		}
		l.Resume()
		r.Dial(addr, 5_000_000, func(c Conn, err error) Handler {
			dialErr = err
			close(failed)
			return nil
		})
		var checkWaiting func()
		checkWaiting = func() {
			if l.(*listener).waiting != nil {
				close(waiting)
				return
			}
			r.At(r.Now()+100, checkWaiting)
		}
		checkWaiting()
	})
	await(t, "the listener's pause", waiting)
	await(t, "the dial's failure", failed)
	r.runInLoop(func() {
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &old); err != nil {
			t.Error(err)
		}
		if !errors.Is(dialErr, ErrDescriptors) {
			t.Errorf("dial without free descriptors: got error %v, want ErrDescriptors", dialErr)
		}
	})
	await(t, "the connection once descriptors are free", accepted)
}

func TestConnWithoutHandlerIsClosed(t *testing.T) {
	r := startLoop(t, Options{})
	addr, _ := r.listen(func(Conn) Handler { return nil })
	if n, err := r.connect(addr).Read(make([]byte, 1)); n != 0 || err == nil {
		t.Errorf("Read: got %d bytes and error %v, want 0 bytes and an error", n, err)
	}
}

func TestListenErrorNamesAddressInUse(t *testing.T) {
	r := startLoop(t, Options{})
	addr, _ := r.listen(func(Conn) Handler { return nil })
	r.runInLoop(func() {
		_, err := r.Listen(addr, func(Conn) Handler { return nil })
		if !errors.Is(err, syscall.EADDRINUSE) || err.Error() != "listen at "+addr+": bind: address already in use" {
			t.Error(err)
		}
	})
}
