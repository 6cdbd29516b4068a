package machine

import (
	"errors"
	"syscall"
	"testing"
	"time"
)

func TestPausedListenerAcceptsNothingUntilResumed(t *testing.T) {
	r := newRig(t, Options{})
	in := make(chan Conn, 8)
	addr, l := r.listen(func(c Conn) Handler {
		in <- c
		return &hooks{}
	})
	r.do(func() {
		l.Pause()
		l.Pause()
	})
	r.connect(addr) // comes up in the kernel's queue
	r.connect(addr)
	r.pass()
	if len(in) != 0 {
		t.Fatal("a paused listener took a connection in")
	}
	r.do(l.Resume)
	await(t, "the first that waited", in)
	await(t, "the second that waited", in)
	r.connect(addr)
	await(t, "a new one", in)
}

func TestListenerPausedByAcceptAcceptsOneAtATime(t *testing.T) {
	r := newRig(t, Options{})
	in := make(chan Conn, 8)
	var l Listener
	var addr string
	addr, l = r.listen(func(c Conn) Handler {
		l.Pause()
		in <- c
		return &hooks{}
	})
	r.do(func() {
		l.Pause()
	})
	for range 3 {
		r.connect(addr)
	}
	for i := range 3 {
		r.do(l.Resume)
		await(t, "a connection", in)
		r.pass()
		if len(in) != 0 {
			t.Fatalf("after %d Resumes more than one connection was taken in each", i+1)
		}
	}
}

func TestListenerCloseResetsQueuedAndKeepsAccepted(t *testing.T) {
	r := newRig(t, Options{})
	in := make(chan Conn, 8)
	addr, l := r.listen(func(c Conn) Handler {
		in <- c
		return &hooks{}
	})
	r.connect(addr)
	kept := await(t, "the connection", in)
	r.do(l.Pause)
	waits := r.connect(addr)
	r.do(func() {
		l.Close()
		l.Close()
		l.Resume()
		l.Pause()
		if !kept.Quiet() {
			t.Error("a connection that was taken in has ended with its listener")
		}
	})
	if _, err := waits.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("one that waited sees %v", err)
	}
	if _, err := r.dial(addr, 5_000_000); !errors.Is(err, ErrRefused) {
		t.Errorf("a dial to a closed listener gives %v", err)
	}
}

func TestListenerResumesOnceDescriptorsAreFree(t *testing.T) {
	r := newRig(t, Options{Descriptors: 2})
	in := make(chan Conn, 8)
	addr, l := r.listen(func(c Conn) Handler {
		in <- c
		return &hooks{}
	})
	for range 4 {
		r.connect(addr)
	}
	first := await(t, "the first", in)
	await(t, "the second", in)
	// The two that wait in the kernel's queue do not keep the loop awake.
	end := time.Now().Add(patience)
	for waits := false; !waits; {
		if time.Now().After(end) {
			t.Fatal("the listener does not wait for descriptors")
		}
		r.do(func() {
			if waits = l.(*listener).waiting != nil; !waits {
				return
			}
			r.poll.poll()
			for i := range r.poll.n {
				if r.poll.owner(&r.poll.events[i]) == l.(watcher) {
					t.Error("the kernel reports the connections that wait")
				}
			}
			r.poll.n = 0
		})
	}
	done := make(chan struct{})
	r.do(func() { r.At(r.Now()+25_000, func() { close(done) }) })
	await(t, "the end of two pauses", done)
	if len(in) != 0 {
		t.Error("more connections were taken in than may be open")
	}
	r.do(first.Close)
	await(t, "the third", in)
}

func TestListenerPausedWithoutDescriptorsStaysPaused(t *testing.T) {
	r := newRig(t, Options{Descriptors: 1})
	in := make(chan Conn, 8)
	paused := make(chan struct{})
	addr, l := r.listen(func(c Conn) Handler {
		in <- c
		return &hooks{}
	})
	r.do(l.Pause)
	r.connect(addr)
	r.connect(addr)
	r.do(l.Resume)
	first := await(t, "the first", in)
	r.do(func() {
		var look func()
		look = func() {
			if l.(*listener).waiting == nil {
				r.At(r.Now()+100, look)
				return
			}
			l.Pause()
			first.Close()
			r.At(l.(*listener).waiting.at, func() { close(paused) }) // set later, told later
		}
		look()
	})
	await(t, "the end of the wait", paused)
	r.do(func() {
		r.poll.poll()
		for i := range r.poll.n {
			if r.poll.owner(&r.poll.events[i]) == l.(watcher) {
				t.Error("the kernel reports to a paused listener")
			}
		}
		r.poll.n = 0
		if len(in) != 0 {
			t.Error("a paused listener took a connection in")
		}
		l.Resume()
	})
	await(t, "the second", in)
}

func TestProcessOutOfDescriptorsNeitherEndsNorSpinsAndAcceptsLater(t *testing.T) {
	r := newRig(t, Options{})
	in := make(chan Conn, 8)
	addr, l := r.listen(func(c Conn) Handler {
		in <- c
		return &hooks{}
	})
	waiting := make(chan struct{})
	var old syscall.Rlimit
	var dialErr error
	failed := make(chan struct{})
	r.do(l.Pause)
	r.connect(addr)
	r.do(func() {
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
		var look func()
		look = func() {
			if l.(*listener).waiting != nil {
				close(waiting)
				return
			}
			r.At(r.Now()+100, look)
		}
		look()
	})
	await(t, "the listener's pause", waiting)
	await(t, "the dial's failure", failed)
	r.do(func() {
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &old); err != nil {
			t.Error(err)
		}
		if !errors.Is(dialErr, ErrDescriptors) {
			t.Errorf("the dial gives %v", dialErr)
		}
	})
	await(t, "the connection, once there are descriptors", in)
}

func TestConnWithoutHandlerIsClosed(t *testing.T) {
	r := newRig(t, Options{})
	addr, _ := r.listen(func(Conn) Handler { return nil })
	if n, err := r.connect(addr).Read(make([]byte, 1)); n != 0 || err == nil {
		t.Errorf("%d, %v", n, err)
	}
}

func TestListenErrorNamesAddressInUse(t *testing.T) {
	r := newRig(t, Options{})
	addr, _ := r.listen(func(Conn) Handler { return nil })
	r.do(func() {
		_, err := r.Listen(addr, func(Conn) Handler { return nil })
		if !errors.Is(err, syscall.EADDRINUSE) || err.Error() != "listen at "+addr+": bind: address already in use" {
			t.Error(err)
		}
	})
}
