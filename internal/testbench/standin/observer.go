package standin

import "starlingwinch/internal/testbench/rules"

// Blind is a rules.Observer that ignores every event.
type Blind struct{}

// Asked ignores the event.
func (Blind) Asked(Time, rules.Request) {}

// Answered ignores the event.
func (Blind) Answered(Time, string, rules.Answer, string) {}

// Left ignores the event.
func (Blind) Left(Time, string) {}

// Broken ignores the event.
func (Blind) Broken(Time, string) {}

// Behind ignores the event.
func (Blind) Behind(Time, string, Time) {}

// Began ignores the event.
func (Blind) Began(Time, rules.Attempt) {}

// Bad ignores the event.
func (Blind) Bad(Time, string, string) {}

// Ran ignores the event.
func (Blind) Ran(Time, rules.Attempt, bool) {}

// Replied ignores the event.
func (Blind) Replied(Time, string, string, rules.Answer, string) {}

// Ended ignores the event.
func (Blind) Ended(Time, string, string) {}

// Listed ignores the event.
func (Blind) Listed(Time, string, string, bool) {}

// CacheUp ignores the event.
func (Blind) CacheUp(Time, string, float64, float64, Time) {}

// CacheDown ignores the event.
func (Blind) CacheDown(Time, string, bool) {}

// Offered ignores the event.
func (Blind) Offered(Time, string, string, Time) {}

// StartNotified ignores the event.
func (Blind) StartNotified(Time, string, string, Time) {}

// StoreOffered ignores the event.
func (Blind) StoreOffered(Time, Time, string) {}

// StoreFell ignores the event.
func (Blind) StoreFell(Time) {}

// RouterUp ignores the event.
func (Blind) RouterUp(Time, string) {}

// RouterDown ignores the event.
func (Blind) RouterDown(Time, string, bool) {}

// Usage ignores the event.
func (Blind) Usage(Time, string, int, int) {}

// Leftover ignores the event.
func (Blind) Leftover(Time, string, string, int) {}

// observerOrBlind returns the observer, or Blind if the observer is nil.
func observerOrBlind(o rules.Observer) rules.Observer {
	if o == nil {
		return Blind{}
	}
	return o
}
