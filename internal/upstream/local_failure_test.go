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

// TestLocalDialFailureIsNoCacheFailure checks a machine without a port for a connection: an attempt and a health check are not
// sent, and the log names no cache.
func TestLocalDialFailureIsNoCacheFailure(t *testing.T) {
	for _, c := range []struct {
		name        string
		dialTimeout Time
	}{
		{"the dial gives up first", 30_000},
		{"the attempt gives up first", 20_000_000},
	} {
		t.Run(c.name, func(t *testing.T) {
			cache := routertest.NewCache(t)
			var fails atomic.Bool
			fails.Store(true)
			k := machine.RealKernel()
			connect := k.Connect
			k.Connect = func(fd int, to syscall.Sockaddr) error {
				if fails.Load() {
					return syscall.EADDRNOTAVAIL
				}
				return connect(fd, to)
			}
			r := newTestPoolOn(t, machine.Options{Kernel: &k}, cache.Addr(), func(o *Options) { o.DialTimeout = c.dialTimeout })
			for range 2 * failuresBeforeLog {
				r.send(r.request(nil), time.Second)
				r.wantResult(decide.NotSent)
			}
			r.Do(func() {
				healthCheck := &Attempt{SentAt: r.Now(), Deadline: r.Now() + time.Second.Microseconds()}
				r.pool.Start("c1", healthCheck)
			})
			r.wantResult(decide.NotSent)
			r.Do(func() {
				if logged := r.pool.caches["c1"].failures.logged; logged != noFailure {
					t.Errorf("the log calls the cache unavailable: %s", failureNames[logged])
				}
			})
			fails.Store(false)
			r.send(r.request(nil), long)
			r.command(cache).Reply(t, served)
			r.wantResult(decide.Served)
		})
	}
}

// TestAttemptWithoutWrittenByteIsCheckedAgain checks a machine without memory to send with, until the cache drains. No byte was
// written, so the attempt has not begun, and must not any more.
func TestAttemptWithoutWrittenByteIsCheckedAgain(t *testing.T) {
	cache := routertest.NewCache(t)
	var fails atomic.Bool
	tried := make(chan struct{}, 1)
	k := machine.RealKernel()
	send := k.Send
	k.Send = func(fd int, b []byte) (int, error) {
		if !fails.Load() {
			return send(fd, b)
		}
		select {
		case tried <- struct{}{}:
		default:
		}
		return 0, syscall.ENOBUFS
	}
	r := newTestPoolOn(t, machine.Options{Kernel: &k}, cache.Addr(), nil)
	fails.Store(true)
	r.send(r.request(nil), time.Hour)
	routertest.Receive(t, tried, "send that fails")
	r.updateCache("c1", cache.Addr(), false, false)
	r.wantResult(decide.NotSent)
	r.updateCache("c1", cache.Addr(), true, false)
	r.send(r.request(nil), time.Hour)
	routertest.Receive(t, tried, "send that fails")
	fails.Store(false)
	r.command(cache).Reply(t, served)
	r.wantResult(decide.Served)
}
