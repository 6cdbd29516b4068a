package standin

import (
	"math/rand/v2"
	"slices"
	"strconv"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/rules"
)

// Spoil is a way in which an answer is malformed.
type Spoil string

const (
	// Noise is bytes of no form.
	Noise Spoil = "noise"
	// WrongLength is a value shorter than its length says.
	WrongLength Spoil = "length"
	// Endless is a value that goes on and on.
	Endless Spoil = "endless"
	// Unreadable is a line that never ends, of bytes that no line holds.
	Unreadable Spoil = "unreadable"
)

// Other faults of a single answer, beside those of Spoil.
const (
	resetInside = "inside"      // half an answer, then the connection is closed
	resetAfter  = "after"       // an answer, then the connection is closed
	doubleSame  = "double"      // an answer twice
	doubleNoise = "doublenoise" // an answer and noise
)

// faults are what is wrong with a cache at the moment. Scripts switch them. They outlive a restart of the process,
// except forgotten connections.
type faults struct {
	stalled         bool    // takes requests and answers none
	silent          bool    // reads nothing
	busy            bool    // rejects every request
	draining        bool    // rejects new requests
	resetAccept     bool    // closes each connection as it is accepted
	badReport       bool    // answers hold a malformed load report
	slowFactor      float64 // how many times slower it is; 0 for no fault
	errorRate       float64 // fraction of requests that fail
	spoilRate       float64 // fraction of answers that are malformed
	doubleRate      float64 // fraction of answers that are followed by more bytes
	resetInsideRate float64 // fraction of answers that are cut off
	resetAfterRate  float64 // fraction of answers after which the connection is closed
	spoilKind       Spoil
	doubleKind      string // doubleSame or doubleNoise
	doubleDelay     Time   // from an answer to the bytes after it
	silentFrom      Time   // when the last silence began
	silentUntil     Time   // when it ended; 0 while it lasts
}

// catchUpTime is how long after a silence what arrived meanwhile has been read.
const catchUpTime = 20 * Millisecond

// earliestArrival returns when bytes that are read now may have arrived at the earliest. Without it a router would be
// blamed for sending late what it had sent during a silence.
func (f *faults) earliestArrival(now Time) Time {
	if f.silentUntil != 0 && now <= f.silentUntil+catchUpTime {
		return f.silentFrom
	}
	return now
}

// apply sets the faults of a new process's processor.
func (f *faults) apply(c *Cache) {
	if f.slowFactor > 0 {
		c.processor.slowFactor = f.slowFactor
	}
	c.processor.halted = f.stalled
}

// draw draws the fault of a serving answer; "" is none.
func (f *faults) draw(rng *rand.Rand) string {
	switch {
	case chance(rng, f.spoilRate):
		return string(f.spoilKind)
	case chance(rng, f.resetInsideRate):
		return resetInside
	case chance(rng, f.resetAfterRate):
		return resetAfter
	case chance(rng, f.doubleRate):
		return f.doubleKind
	}
	return ""
}

// Hang switches whether the cache takes requests without answering. Afterwards it goes on with those it holds.
func (c *Cache) Hang(on bool) {
	c.faults.stalled = on
	if !c.up {
		return
	}
	c.processor.setHalted(on)
	for _, cc := range slices.Clone(c.conns) {
		cc.advance()
	}
}

// Silent switches whether the cache reads nothing, like a machine that is cut off. New connections wait to be accepted.
func (c *Cache) Silent(on bool) {
	switch now := c.m.Now(); {
	case on && !c.faults.silent:
		c.faults.silentFrom, c.faults.silentUntil = now, 0
	case !on && c.faults.silent:
		c.faults.silentUntil = now
	}
	c.faults.silent = on
	for _, d := range c.listeners {
		switch {
		case d.listener == nil:
		case on:
			d.listener.Pause()
		default:
			d.listener.Resume()
		}
	}
	c.Hang(on)
	if on {
		return
	}
	for _, cc := range slices.Clone(c.conns) {
		cc.Readable()
	}
}

// Slow makes the cache so many times slower; 1 ends that.
func (c *Cache) Slow(factor float64) {
	c.faults.slowFactor = max(factor, 1e-3)
	if c.up {
		c.processor.change(func() { c.processor.slowFactor = c.faults.slowFactor })
	}
}

// ErrRate has a fraction of requests answered -ERR failed, half of them after they ran.
func (c *Cache) ErrRate(p float64) { c.faults.errorRate = p }

// Spoil has a fraction of the serving answers malformed.
func (c *Cache) Spoil(p float64, how Spoil) { c.faults.spoilRate, c.faults.spoilKind = p, how }

// Double has a fraction of the serving answers followed, after a time, by a second copy or by noise.
func (c *Cache) Double(p float64, noise bool, after Time) {
	c.faults.doubleRate, c.faults.doubleDelay, c.faults.doubleKind = p, after, doubleSame
	if noise {
		c.faults.doubleKind = doubleNoise
	}
}

// ResetAccept switches whether each connection is closed as it is accepted.
func (c *Cache) ResetAccept(on bool) { c.faults.resetAccept = on }

// ResetInside has a fraction of the serving answers cut off in the middle.
func (c *Cache) ResetInside(p float64) { c.faults.resetInsideRate = p }

// ResetAfter has the connection closed right after a fraction of the serving answers.
func (c *Cache) ResetAfter(p float64) { c.faults.resetAfterRate = p }

// DropIdle closes the connections that are idle now. Where silently is set, the router learns of it only by a reset of
// its next request.
func (c *Cache) DropIdle(silently bool) {
	for _, cc := range slices.Clone(c.conns) {
		switch {
		case len(cc.commands) > 0 || len(cc.received) > 0:
		case silently:
			cc.forgotten = true
		default:
			cc.drop()
		}
	}
}

// Busy switches whether every request is rejected.
func (c *Cache) Busy(on bool) { c.faults.busy = on }

// Refusing switches whether new requests are rejected while those it holds are finished, as a draining cache may.
func (c *Cache) Refusing(on bool) { c.faults.draining = on }

// BadReport switches whether answers hold a malformed load report.
func (c *Cache) BadReport(on bool) { c.faults.badReport = on }

// Bytes of malformed answers. Endless ones stop after endlessBytes, far more than a router may read.
const (
	noiseBytes   = "\x00\xffnoise\r\n:12\r\n"
	endlessBytes = 1 << 20
	endlessPiece = 16 << 10
)

// writeFaulty writes an answer with the fault that was drawn for it. A malformed answer counts as failed.
func (cc *cacheConn) writeFaulty(cmd *command) {
	c := cc.cache
	failed := func() { c.observer.Replied(c.m.Now(), c.options.Name, cmd.request.id, rules.Failed, "") }
	switch cmd.fault {
	case string(Noise):
		failed()
		cc.send([]byte(noiseBytes))
	case string(WrongLength):
		failed()
		cc.send(append([]byte("*3\r\n$4000\r\nshort\r\n"), cmd.reply[4:]...))
	case string(Endless):
		failed()
		cc.endlessLeft = endlessBytes
		cc.send([]byte("*3\r\n$" + strconv.Itoa(10*endlessBytes) + "\r\n"))
		cc.continueEndless()
	case string(Unreadable):
		failed()
		cc.endlessLeft = endlessBytes
		cc.send([]byte("-ERR \x01\x02"))
		cc.continueEndless()
	case resetInside:
		failed()
		cc.send(cmd.reply[:len(cmd.reply)/2])
		cc.drop()
	case resetAfter:
		cmd.replyWritten()
		cc.send(cmd.reply)
		cc.drop()
	case doubleSame:
		cmd.replyWritten()
		cc.writeTwice(cmd.reply, cmd.reply)
	case doubleNoise:
		cmd.replyWritten()
		cc.writeTwice(cmd.reply, []byte(noiseBytes))
	}
}

// writeTwice writes an answer and more bytes after it, at once or after the delay.
func (cc *cacheConn) writeTwice(reply, more []byte) {
	after := cc.cache.faults.doubleDelay
	if after == 0 {
		cc.send(append(append([]byte(nil), reply...), more...))
		return
	}
	cc.send(reply)
	cc.cache.m.At(cc.cache.m.Now()+after, func() {
		if !cc.closed {
			cc.send(more)
		}
	})
}

// continueEndless writes more of an endless value, as fast as the connection takes it.
func (cc *cacheConn) continueEndless() {
	for cc.endlessLeft > 0 && len(cc.unsent) == 0 && !cc.closed {
		n := min(endlessPiece, cc.endlessLeft)
		cc.endlessLeft -= n
		if cc.endlessLeft == 0 {
			cc.endlessLeft = -1 // nothing more is written to this connection
		}
		b := make([]byte, n)
		for i := range b {
			b[i] = 'x'
		}
		if cc.send(b) != nil {
			cc.drop()
		}
	}
}

var _ machine.Handler = (*cacheConn)(nil)
