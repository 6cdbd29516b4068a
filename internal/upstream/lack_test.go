package upstream

import (
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"starlingwinch/decide"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/routertest"
)

// TestLocalLackSpeaksAgainstNoCache: this machine has no port for a connection. That is no failed connect: an attempt and a
// probe were not sent, and the log names no cache.
func TestLocalLackSpeaksAgainstNoCache(t *testing.T) {
	for _, c := range []struct {
		name        string
		dialTimeout Time
	}{
		{"the dial gives up first", 30_000},
		{"the attempt gives up first", 20_000_000},
	} {
		t.Run(c.name, func(t *testing.T) {
			cache := routertest.NewCache(t)
			var lacks atomic.Bool
			lacks.Store(true)
			k := machine.RealKernel()
			connect := k.Connect
			k.Connect = func(fd int, to syscall.Sockaddr) error {
				if lacks.Load() {
					return syscall.EADDRNOTAVAIL
				}
				return connect(fd, to)
			}
			r := newRigOn(t, machine.Options{Kernel: &k}, cache.Addr(), func(o *Options) { o.DialTimeout = c.dialTimeout })
			for range 2 * troubleRow {
				r.send(r.request(nil), time.Second)
				r.want(decide.NotSent)
			}
			r.Do(func() {
				probe := &Attempt{SentAt: r.Now(), Deadline: r.Now() + time.Second.Microseconds()}
				r.pool.Start("c1", probe)
			})
			r.want(decide.NotSent)
			r.Do(func() {
				if told := r.pool.caches["c1"].trouble.told; told != "" {
					t.Errorf("the log holds against the cache: %s", told)
				}
			})
			lacks.Store(false)
			r.send(r.request(nil), long)
			r.command(cache).Reply(t, served)
			r.want(decide.Served)
		})
	}
}

// TestAttemptWithoutAByteWrittenIsLookedAtAgain: the machine has no memory to send with, and the cache begins to drain before
// it has. Not a byte was written: the attempt has not begun, and must not any more.
func TestAttemptWithoutAByteWrittenIsLookedAtAgain(t *testing.T) {
	cache := routertest.NewCache(t)
	var lacks atomic.Bool
	tried := make(chan struct{}, 1)
	k := machine.RealKernel()
	send := k.Send
	k.Send = func(fd int, b []byte) (int, error) {
		if !lacks.Load() {
			return send(fd, b)
		}
		select {
		case tried <- struct{}{}:
		default:
		}
		return 0, syscall.ENOBUFS
	}
	r := newRigOn(t, machine.Options{Kernel: &k}, cache.Addr(), nil)
	lacks.Store(true)
	r.send(r.request(nil), time.Hour)
	routertest.Receive(t, tried, "send that fails")
	r.list("c1", cache.Addr(), false, false)
	r.want(decide.NotSent)
	r.list("c1", cache.Addr(), true, false)
	r.send(r.request(nil), time.Hour)
	routertest.Receive(t, tried, "send that fails")
	lacks.Store(false)
	r.command(cache).Reply(t, served)
	r.want(decide.Served)
}
