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

// TestLocalDialFailureIsNoCacheFailure checks that a dial that fails because the machine has no free port is not counted as a
// failure of the cache: the result of attempts and health checks is NotSent, and no cache is logged as unavailable.
func TestLocalDialFailureIsNoCacheFailure(t *testing.T) {
	for _, c := range []struct {
		name        string
		dialTimeout Time
	}{
		{"dial timeout comes first", 30_000},
		{"connect deadline of the attempt comes first", 20_000_000},
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
					t.Errorf("got cache logged as unavailable with cause %s, want not logged", failureNames[logged])
				}
			})
			fails.Store(false)
			r.send(r.request(nil), long)
			r.command(cache).Reply(t, served)
			r.wantResult(decide.Served)
		})
	}
}

// TestAttemptWithoutWrittenByteIsCheckedAgain checks an attempt whose write fails because the machine lacks buffer memory. No
// byte was written, so the attempt has not started, and must not be written after the cache drains.
func TestAttemptWithoutWrittenByteIsCheckedAgain(t *testing.T) {
	cache := routertest.NewCache(t)
	var fails atomic.Bool
	sendFailed := make(chan struct{}, 1)
	k := machine.RealKernel()
	send := k.Send
	k.Send = func(fd int, b []byte) (int, error) {
		if !fails.Load() {
			return send(fd, b)
		}
		select {
		case sendFailed <- struct{}{}:
		default:
		}
		return 0, syscall.ENOBUFS
	}
	r := newTestPoolOn(t, machine.Options{Kernel: &k}, cache.Addr(), nil)
	fails.Store(true)
	r.send(r.request(nil), time.Hour)
	routertest.Receive(t, sendFailed, "failed send")
	r.updateCache("c1", cache.Addr(), false, false)
	r.wantResult(decide.NotSent)
	r.updateCache("c1", cache.Addr(), true, false)
	r.send(r.request(nil), time.Hour)
	routertest.Receive(t, sendFailed, "failed send")
	fails.Store(false)
	r.command(cache).Reply(t, served)
	r.wantResult(decide.Served)
}
