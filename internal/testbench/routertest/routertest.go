// Package routertest provides what the tests of the router's packages share: a machine whose loop runs beside the test, and
// fakes of clients, caches and discovery, each in goroutines of its own on loopback. A fake hands everything that it
// receives to the test and does nothing by itself.
//
// Only tests import it. The stand-ins of package standin behave as the platform does, for whole days; a fake does what one
// test wants at one moment.
package routertest

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"starlingwinch/internal/machine"
)

// Patience is how long a test waits for an event that must come. Only a failing test waits so long.
const Patience = 30 * time.Second

// Receive returns the next value of a channel, and fails the test if none comes.
func Receive[T any](t testing.TB, c <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(Patience):
		t.Fatalf("no %s came", what)
		panic("unreachable")
	}
}

// Loop is a real machine whose loop runs until the end of the test.
type Loop struct {
	*machine.Real
	t     testing.TB
	ended chan struct{}
}

// NewLoop starts a machine that logs to log, or nowhere where log is nil.
func NewLoop(t testing.TB, log io.Writer) *Loop {
	t.Helper()
	return NewLoopOf(t, machine.Options{Log: log})
}

// NewLoopOf starts a machine with other options.
func NewLoopOf(t testing.TB, o machine.Options) *Loop {
	t.Helper()
	if o.Log == nil {
		o.Log = io.Discard
	}
	m, err := machine.New(o)
	if err != nil {
		t.Fatal(err)
	}
	l := &Loop{Real: m, t: t, ended: make(chan struct{})}
	go func() {
		m.Run()
		close(l.ended)
	}()
	t.Cleanup(func() {
		m.Stop()
		Receive(t, l.ended, "end of the loop")
	})
	return l
}

// Do runs f in the loop and waits for its end.
func (l *Loop) Do(f func()) {
	l.t.Helper()
	ran := make(chan struct{})
	l.Post(func() {
		defer close(ran)
		f()
	})
	Receive(l.t, ran, "turn of the loop")
}

// Until waits until seen returns true in a turn of the loop.
func (l *Loop) Until(what string, seen func() bool) {
	l.t.Helper()
	for end := time.Now().Add(Patience); ; {
		ok := false
		l.Do(func() { ok = seen() })
		if ok {
			return
		}
		if time.Now().After(end) {
			l.t.Fatalf("%s: not seen", what)
		}
		time.Sleep(time.Millisecond)
	}
}

// After waits until the loop's clock has passed a span, and the timers that were due by then have fired.
func (l *Loop) After(span time.Duration) {
	l.t.Helper()
	passed := make(chan struct{})
	l.Post(func() {
		l.At(l.Now()+span.Microseconds(), func() { close(passed) })
	})
	Receive(l.t, passed, "end of the span")
}

// Lines is a log that the test reads. Lines that do not fit are dropped.
type Lines chan string

// Write implements io.Writer.
func (l Lines) Write(b []byte) (int, error) {
	select {
	case l <- string(b):
	default:
	}
	return len(b), nil
}

// Want skips to the next line that contains a text.
func (l Lines) Want(t testing.TB, text string) {
	t.Helper()
	for !strings.Contains(Receive(t, l, "line: "+text), text) {
	}
}

// Stuck is a log whose writes block until the end of the test.
type Stuck chan struct{}

// NewStuck returns a log whose writes block.
func NewStuck(t testing.TB) Stuck {
	s := make(Stuck)
	t.Cleanup(func() { close(s) })
	return s
}

// Write implements io.Writer.
func (s Stuck) Write(b []byte) (int, error) {
	<-s
	return len(b), nil
}

// Words returns a command as it is sent.
func Words(args ...string) string {
	b := redcon.AppendArray(nil, len(args))
	for _, a := range args {
		b = redcon.AppendBulkString(b, a)
	}
	return string(b)
}

// Get returns a read of one key with a long client timeout.
func Get(id string) string { return Words("C.GET", "k1", id, "c=read,d=20000") }

// Host returns an entry of discovery's list.
func Host(name, addr, status string) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"a","group":1,"status":%q,"weight":1,"since_ms":0}`,
		name, addr, status)
}

// Hosts returns a list as discovery sends it.
func Hosts(index int, full bool, lines ...string) string {
	return fmt.Sprintf(`{"index":%d,"snapshot":%t,"endpoints":[%s]}`, index, full, strings.Join(lines, ","))
}
