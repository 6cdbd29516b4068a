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
	hung, silent, busy, refusing bool
	resetAccept, badReport       bool
	slow                         float64
	errRate                      float64
	spoil, double                float64
	inside, after                float64
	how                          Spoil
	doubleHow                    string
	doubleAfter                  Time
	deafFrom, deafTo             Time // the last silence
}

// caughtUp is how long after a silence all that had come meanwhile is read.
const caughtUp = 20 * Millisecond

// mayHaveCome is when something that is read at now may have come at the earliest. The danger: a router would be
// blamed for sending late what it had sent while the cache read nothing.
func (f *faults) mayHaveCome(now Time) Time {
	if f.deafTo != 0 && now <= f.deafTo+caughtUp {
		return f.deafFrom
	}
	return now
}

// apply puts the faults that a processor feels on a new one.
func (f *faults) apply(c *Cache) {
	if f.slow > 0 {
		c.proc.slow = f.slow
	}
	c.proc.halted = f.hung
}

// draw decides what goes wrong with a serving answer; nothing is the empty string.
func (f *faults) draw(rng *rand.Rand) string {
	switch {
	case chance(rng, f.spoil):
		return string(f.how)
	case chance(rng, f.inside):
		return resetInside
	case chance(rng, f.after):
		return resetAfter
	case chance(rng, f.double):
		return f.doubleHow
	}
	return ""
}

// Hang has it take requests and answer none. Afterwards it goes on with those it still holds.
func (c *Cache) Hang(on bool) {
	c.faults.hung = on
	if !c.up {
		return
	}
	c.proc.halt(on)
	for _, cc := range slices.Clone(c.conns) {
		cc.work()
	}
}

// Silent has it not even read, like a machine that is cut off. New connections stay in the machine's queue.
func (c *Cache) Silent(on bool) {
	switch now := c.m.Now(); {
	case on && !c.faults.silent:
		c.faults.deafFrom, c.faults.deafTo = now, 0
	case !on && c.faults.silent:
		c.faults.deafTo = now
	}
	c.faults.silent = on
	for _, d := range c.doors {
		switch {
		case d.ln == nil:
		case on:
			d.ln.Pause()
		default:
			d.ln.Resume()
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
	c.faults.slow = max(factor, 1e-3)
	if c.up {
		c.proc.change(func() { c.proc.slow = c.faults.slow })
	}
}

// ErrRate has this share of requests answered -ERR failed, half of them after they ran.
func (c *Cache) ErrRate(p float64) { c.faults.errRate = p }

// Spoil has this share of the serving answers come unreadable.
func (c *Cache) Spoil(p float64, how Spoil) { c.faults.spoil, c.faults.how = p, how }

// Double has this share of the serving answers followed, after a time, by a second copy or by noise.
func (c *Cache) Double(p float64, noise bool, after Time) {
	c.faults.double, c.faults.doubleAfter, c.faults.doubleHow = p, after, doubleSame
	if noise {
		c.faults.doubleHow = doubleNoise
	}
}

// ResetAccept has it end each connection as it comes in.
func (c *Cache) ResetAccept(on bool) { c.faults.resetAccept = on }

// ResetInside has it break this share of the serving answers off in the middle.
func (c *Cache) ResetInside(p float64) { c.faults.inside = p }

// ResetAfter has it end the connection right after this share of the serving answers.
func (c *Cache) ResetAfter(p float64) { c.faults.after = p }

// DropIdle ends the connections that stand idle now; silently, so that the router learns of it from the
// reset of the next request.
func (c *Cache) DropIdle(silently bool) {
	for _, cc := range slices.Clone(c.conns) {
		switch {
		case len(cc.calls) > 0 || len(cc.in) > 0:
		case silently:
			cc.lost = true
		default:
			cc.drop()
		}
	}
}

// Busy has it turn every request away.
func (c *Cache) Busy(on bool) { c.faults.busy = on }

// Refusing has it finish what it holds and turn new requests away, as a draining cache may.
func (c *Cache) Refusing(on bool) { c.faults.refusing = on }

// BadReport has answers hold a load report that can't be read.
func (c *Cache) BadReport(on bool) { c.faults.badReport = on }

// A spoiled answer's bytes. The endless ones end after mostEndless, long past what a router may read.
const (
	noise       = "\x00\xffnoise\r\n:12\r\n"
	mostEndless = 1 << 20
	endlessStep = 16 << 10
)

// writeFaulty writes an answer and makes go wrong what was drawn for it. A copy that can't be read serves nobody.
func (cc *cacheConn) writeFaulty(k *call) {
	c := cc.c
	failed := func() { c.obs.Replied(c.m.Now(), c.o.Name, k.ask.id, rules.Failed, "") }
	switch k.fault {
	case string(Noise):
		failed()
		cc.send([]byte(noise))
	case string(WrongLength):
		failed()
		cc.send(append([]byte("*3\r\n$4000\r\nshort\r\n"), k.reply[4:]...))
	case string(Endless):
		failed()
		cc.endless = mostEndless
		cc.send([]byte("*3\r\n$" + strconv.Itoa(10*mostEndless) + "\r\n"))
		cc.goOnEndless()
	case string(Unreadable):
		failed()
		cc.endless = mostEndless
		cc.send([]byte("-ERR \x01\x02"))
		cc.goOnEndless()
	case resetInside:
		failed()
		cc.send(k.reply[:len(k.reply)/2])
		cc.drop()
	case resetAfter:
		k.told()
		cc.send(k.reply)
		cc.drop()
	case doubleSame:
		k.told()
		cc.second(k.reply, k.reply)
	case doubleNoise:
		k.told()
		cc.second(k.reply, []byte(noise))
	}
}

// second writes an answer and something else after it.
func (cc *cacheConn) second(reply, more []byte) {
	after := cc.c.faults.doubleAfter
	if after == 0 {
		cc.send(append(append([]byte(nil), reply...), more...))
		return
	}
	cc.send(reply)
	cc.c.m.At(cc.c.m.Now()+after, func() {
		if !cc.closed {
			cc.send(more)
		}
	})
}

// goOnEndless writes on at a value without an end, as fast as the connection takes it.
func (cc *cacheConn) goOnEndless() {
	for cc.endless > 0 && len(cc.out) == 0 && !cc.closed {
		n := min(endlessStep, cc.endless)
		if cc.endless -= n; cc.endless == 0 {
			cc.endless = -1 // nothing more is ever written here
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
