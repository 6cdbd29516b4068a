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
	// Noise is bytes that are not RESP.
	Noise Spoil = "noise"
	// WrongLength is a value shorter than its declared length.
	WrongLength Spoil = "length"
	// Endless is a value that does not end.
	Endless Spoil = "endless"
	// Unreadable is an error line that does not end and contains control characters, which are not valid in a line.
	Unreadable Spoil = "unreadable"
)

// Faults of a single answer other than those of Spoil.
const (
	resetInside = "inside"      // half an answer, then the connection is closed
	resetAfter  = "after"       // an answer, then the connection is closed
	doubleSame  = "double"      // an answer twice
	doubleNoise = "doublenoise" // an answer and noise
)

// faults are the active faults of a cache. Scripts set them. They persist over a restart of the process,
// except forgotten connections.
type faults struct {
	stalled         bool    // accepts requests but does not answer
	silent          bool    // reads nothing
	busy            bool    // rejects every request
	draining        bool    // rejects new requests
	resetAccept     bool    // closes each connection on accept
	badReport       bool    // answers hold a malformed load report
	slowFactor      float64 // factor by which the cache is slower; 0 for no fault
	errorRate       float64 // fraction of requests that fail
	spoilRate       float64 // fraction of answers that are malformed
	doubleRate      float64 // fraction of answers that are followed by more bytes
	resetInsideRate float64 // fraction of answers that are truncated
	resetAfterRate  float64 // fraction of answers after which the connection is closed
	spoilKind       Spoil
	doubleKind      string // doubleSame or doubleNoise
	doubleDelay     Time   // delay from an answer to the bytes after it
	silentFrom      Time   // when the last silence began
	silentUntil     Time   // when the last silence ended; 0 while it lasts
}

// catchUpTime is the time after a silence within which the bytes that arrived during the silence are read.
const catchUpTime = 20 * Millisecond

// earliestArrival returns the earliest time at which bytes that are read now can have arrived. Without it a router would be
// reported as late for bytes that it sent during a silence.
func (f *faults) earliestArrival(now Time) Time {
	if f.silentUntil != 0 && now <= f.silentUntil+catchUpTime {
		return f.silentFrom
	}
	return now
}

// apply applies the faults to the processor of a new process.
func (f *faults) apply(c *Cache) {
	if f.slowFactor > 0 {
		c.processor.slowFactor = f.slowFactor
	}
	c.processor.halted = f.stalled
}

// draw draws the fault of an answer with a value; "" is none.
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

// Hang sets whether the cache accepts requests without answering. Afterwards it resumes the requests that it holds.
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

// Silent sets whether the cache reads nothing, like an unreachable machine. New connections wait to be accepted.
func (c *Cache) Silent(on bool) {
	switch now := c.m.Now(); {
	case on && !c.faults.silent:
		c.faults.silentFrom, c.faults.silentUntil = now, 0
	case !on && c.faults.silent:
		c.faults.silentUntil = now
	}
	c.faults.silent = on
	for _, l := range c.listeners {
		switch {
		case l.listener == nil:
		case on:
			l.listener.Pause()
		default:
			l.listener.Resume()
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

// Slow makes the cache slower by a factor; 1 ends this.
func (c *Cache) Slow(factor float64) {
	c.faults.slowFactor = max(factor, 1e-3)
	if c.up {
		c.processor.change(func() { c.processor.slowFactor = c.faults.slowFactor })
	}
}

// ErrRate makes a fraction of requests fail with -ERR failed, half of them after they ran.
func (c *Cache) ErrRate(p float64) { c.faults.errorRate = p }

// Spoil makes a fraction of the answers with a value malformed.
func (c *Cache) Spoil(p float64, how Spoil) { c.faults.spoilRate, c.faults.spoilKind = p, how }

// Double makes a fraction of the answers with a value be followed, after a delay, by a second copy or by noise.
func (c *Cache) Double(p float64, noise bool, after Time) {
	c.faults.doubleRate, c.faults.doubleDelay, c.faults.doubleKind = p, after, doubleSame
	if noise {
		c.faults.doubleKind = doubleNoise
	}
}

// ResetAccept sets whether the cache closes each connection when it accepts it.
func (c *Cache) ResetAccept(on bool) { c.faults.resetAccept = on }

// ResetInside truncates a fraction of the answers with a value in the middle and closes the connection.
func (c *Cache) ResetInside(p float64) { c.faults.resetInsideRate = p }

// ResetAfter closes the connection right after a fraction of the answers with a value.
func (c *Cache) ResetAfter(p float64) { c.faults.resetAfterRate = p }

// DropIdle closes the idle connections. If silently is set, the router sees the close only as a reset of
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

// Busy sets whether the cache rejects every request.
func (c *Cache) Busy(on bool) { c.faults.busy = on }

// Refusing sets whether the cache rejects new requests and finishes those that it holds, as a draining cache may.
func (c *Cache) Refusing(on bool) { c.faults.draining = on }

// BadReport sets whether answers contain a malformed load report.
func (c *Cache) BadReport(on bool) { c.faults.badReport = on }

// Bytes of malformed answers. Endless ones stop after endlessBytes, far beyond the limit of a router's reads.
const (
	noiseBytes   = "\x00\xffnoise\r\n:12\r\n"
	endlessBytes = 1 << 20
	endlessPiece = 16 << 10
)

// writeFaulty writes an answer with the fault drawn for it. A malformed answer counts as failed.
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

// continueEndless writes more of an endless value, as fast as the connection accepts it.
func (cc *cacheConn) continueEndless() {
	for cc.endlessLeft > 0 && len(cc.unsent) == 0 && !cc.closed {
		n := min(endlessPiece, cc.endlessLeft)
		cc.endlessLeft -= n
		if cc.endlessLeft == 0 {
			cc.endlessLeft = -1 // prevents further writes to this connection
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
