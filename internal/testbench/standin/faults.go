package standin

import (
	"math/rand/v2"
	"slices"
	"strconv"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/rules"
)

// Spoil is a way in which an answer can't be read.
type Spoil string

const (
	Noise       Spoil = "noise"       // bytes of no form
	WrongLength Spoil = "length"      // a value shorter than it says
	Endless     Spoil = "endless"     // a value that goes on and on
	Unreadable  Spoil = "unreadable"  // a line that never ends, of bytes that no line holds
	resetInside       = "inside"      // half an answer, then the end
	resetAfter        = "after"       // an answer, then the end
	doubleSame        = "double"      // an answer twice
	doubleNoise       = "doublenoise" // an answer and noise
)

// faults are what is wrong with a cache at the moment. Scripts of faults switch them; they outlive a
// restart of the process, but for the forgotten connections.
type faults struct {
	stalled, silent, busy, draining bool
	resetAccept, badReport          bool
	slowFactor                      float64
	errorRate                       float64
	spoilRate, doubleRate           float64
	resetInsideRate, resetAfterRate float64
	spoilKind                       Spoil
	doubleKind                      string
	doubleDelay                     Time
	silentFrom, silentUntil         Time // the last silence
}

// catchUpTime is how long after a silence all that had come meanwhile is read.
const catchUpTime = 20 * Millisecond

// earliestArrival is when something that is read at now may have come at the earliest. The danger: a router would be
// blamed for sending late what it had sent while the cache read nothing.
func (f *faults) earliestArrival(now Time) Time {
	if f.silentUntil != 0 && now <= f.silentUntil+catchUpTime {
		return f.silentFrom
	}
	return now
}

// apply puts the faults that a processor feels on a new one.
func (f *faults) apply(c *Cache) {
	if f.slowFactor > 0 {
		c.processor.slowFactor = f.slowFactor
	}
	c.processor.halted = f.stalled
}

// draw decides what goes wrong with a serving answer; nothing is the empty string.
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

// Hang has it take requests and answer none. Afterwards it goes on with those it still holds.
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

// Silent has it not even read, like a machine that is cut off. New connections stay in the machine's queue.
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

// Slow makes it so many times slower than it was; 1 ends that.
func (c *Cache) Slow(factor float64) {
	c.faults.slowFactor = max(factor, 1e-3)
	if c.up {
		c.processor.change(func() { c.processor.slowFactor = c.faults.slowFactor })
	}
}

// ErrRate has this share of requests answered -ERR failed, half of them after they ran.
func (c *Cache) ErrRate(p float64) { c.faults.errorRate = p }

// Spoil has this share of the serving answers come unreadable.
func (c *Cache) Spoil(p float64, how Spoil) { c.faults.spoilRate, c.faults.spoilKind = p, how }

// Double has this share of the serving answers followed, after a time, by a second copy or by noise.
func (c *Cache) Double(p float64, noise bool, after Time) {
	c.faults.doubleRate, c.faults.doubleDelay, c.faults.doubleKind = p, after, doubleSame
	if noise {
		c.faults.doubleKind = doubleNoise
	}
}

// ResetAccept has it end each connection as it comes in.
func (c *Cache) ResetAccept(on bool) { c.faults.resetAccept = on }

// ResetInside has it break this share of the serving answers off in the middle.
func (c *Cache) ResetInside(p float64) { c.faults.resetInsideRate = p }

// ResetAfter has it end the connection right after this share of the serving answers.
func (c *Cache) ResetAfter(p float64) { c.faults.resetAfterRate = p }

// DropIdle ends the connections that stand idle now; silently, so that the router learns of it from the
// reset of the next request.
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

// Busy has it turn every request away.
func (c *Cache) Busy(on bool) { c.faults.busy = on }

// Refusing has it finish what it holds and turn new requests away, as a draining cache may.
func (c *Cache) Refusing(on bool) { c.faults.draining = on }

// BadReport has answers hold a load report that can't be read.
func (c *Cache) BadReport(on bool) { c.faults.badReport = on }

// A spoiled answer's bytes. The endless ones end after mostEndless, long past what a router may read.
const (
	noiseBytes   = "\x00\xffnoise\r\n:12\r\n"
	endlessBytes = 1 << 20
	endlessPiece = 16 << 10
)

// writeFaulty writes an answer and makes go wrong what was drawn for it. A copy that can't be read serves nobody.
func (cc *cacheConn) writeFaulty(k *command) {
	c := cc.cache
	failed := func() { c.observer.Replied(c.m.Now(), c.options.Name, k.request.id, rules.Failed, "") }
	switch k.fault {
	case string(Noise):
		failed()
		cc.send([]byte(noiseBytes))
	case string(WrongLength):
		failed()
		cc.send(append([]byte("*3\r\n$4000\r\nshort\r\n"), k.reply[4:]...))
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
		cc.send(k.reply[:len(k.reply)/2])
		cc.drop()
	case resetAfter:
		k.replyWritten()
		cc.send(k.reply)
		cc.drop()
	case doubleSame:
		k.replyWritten()
		cc.writeTwice(k.reply, k.reply)
	case doubleNoise:
		k.replyWritten()
		cc.writeTwice(k.reply, []byte(noiseBytes))
	}
}

// writeTwice writes an answer and something else after it.
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

// continueEndless writes on at a value without an end, as fast as the connection takes it.
func (cc *cacheConn) continueEndless() {
	for cc.endlessLeft > 0 && len(cc.unsent) == 0 && !cc.closed {
		n := min(endlessPiece, cc.endlessLeft)
		if cc.endlessLeft -= n; cc.endlessLeft == 0 {
			cc.endlessLeft = -1 // nothing more is ever written here
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
