package machine

// Input may wait in the kernel: while the loop is busy or suspended, while nobody reads a connection, and while a connection waits
// to be accepted. The types of this file bound the time at which it arrived, for users whose deadlines count from the arrival.

const (
	// freshArrival is the age of a bound, in microseconds, up to which input counts as having arrived at the Read: the poll that
	// reported it may have begun so long before.
	freshArrival Time = 5_000
	// preciseArrival is the age of a bound, in microseconds, up to which the kernel is not asked for a better one.
	preciseArrival Time = 20_000
	// wakeTolerance is the time, in microseconds, by which a wait for events may exceed its limit before the process counts as
	// suspended.
	wakeTolerance Time = 10_000
)

// pollBound bounds the arrival of the input that a poll of the kernel reports.
type pollBound struct {
	since      Time // input that the latest poll reported first arrived at this time or later
	emptySince Time // when the latest poll that reported all pending input began
}

// polled records a poll that began and ended at the given times. blocked reports that there was no input at its beginning, and
// limit is the longest time for which it was meant to wait then, or negative. complete reports that all pending input was reported.
func (b *pollBound) polled(began, ended, limit Time, blocked, complete bool) {
	b.since = b.emptySince
	if blocked {
		b.since = ended // input ends a wait at once
		if limit >= 0 && ended-began > limit+wakeTolerance {
			b.since = began
		}
	}
	if complete {
		b.emptySince = began
		if blocked {
			b.emptySince = b.since
		}
	}
}

// inputAge bounds the arrival of the unread input of one connection.
type inputAge struct {
	since    Time // the unread input arrived at this time or later
	markLeft int  // bytes to read until the mark; 0 without a mark
	markedAt Time // the input behind the mark arrived at this time or later

	first, last Time // bounds of the latest Read, for its first and its last byte
}

// inputSource tells what the kernel knows of the input of a connection. Either may be unknown (false).
type inputSource interface {
	unread() (bytes int, known bool)    // how many bytes have arrived and are not read
	lastArrival() (at Time, known bool) // when the last byte arrived
}

// read records a read of n bytes. Where the bound is old, it asks the source.
func (a *inputAge) read(n int, now Time, source inputSource) {
	a.first, a.last = a.since, a.since
	if now-a.since <= freshArrival {
		a.first, a.last = now, now
	}
	if now-a.since <= preciseArrival {
		return
	}
	left, known := source.unread()
	if !known {
		return
	}
	if left == 0 {
		if at, known := source.lastArrival(); known {
			a.last = min(max(a.since, at), now)
		}
		a.since, a.markLeft = now, 0
		return
	}
	if a.markLeft > 0 {
		if a.markLeft = max(0, a.markLeft-n); a.markLeft == 0 {
			a.since = a.markedAt
		}
	}
	if a.markLeft == 0 {
		a.markLeft, a.markedAt = left, now
	}
}

// Arrival implements Conn.
func (c *conn) Arrival() (first, last Time) { return c.input.first, c.input.last }

// unread implements inputSource: it returns the number of bytes that have arrived and are not read.
func (c *conn) unread() (int, bool) {
	n, err := c.m.kernel.Unread(c.fd)
	return n, err == nil
}

// lastArrival implements inputSource: it returns when the last byte arrived.
func (c *conn) lastArrival() (Time, bool) {
	age, err := c.m.kernel.SinceLastReceived(c.fd)
	if err != nil {
		return 0, false
	}
	return c.m.Now() - age.Microseconds(), true
}
