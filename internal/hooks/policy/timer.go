package policy

// maxTimerDelay is the longest delay of a Tick in µs after which the Policy still enforces worker deadlines. A longer delay
// means that the machine was stalled, and the workers with it.
const maxTimerDelay Time = 5_000

// Tick handles all deadlines that have passed. The caller must call Tick at the time of the last SetTimer; calls at other times
// are harmless.
func (p *Policy) Tick(now Time) {
	p.now = now
	delay := now - p.timerAt
	if p.timerAt > 0 && delay > maxTimerDelay {
		for _, h := range p.allHooks() {
			if h.worker != nil {
				h.worker.extendDeadline(now)
			}
		}
	}
	p.timerAt = 0
	for c := p.oldest; c != nil; {
		next := c.next
		if c.deadline <= now {
			p.expire(c)
		}
		c = next
	}
	for _, h := range p.allHooks() {
		h.onTimer(p)
	}
	p.releaseRetired()
	p.rearmTimer()
}

// armTimer sets the timer, unless it is set to an earlier time.
func (p *Policy) armTimer(at Time) {
	if p.timerAt == 0 || at < p.timerAt {
		p.timerAt = at
		p.emit(Action{Kind: SetTimer, At: at})
	}
}

// rearmTimer sets the timer to the earliest deadline.
func (p *Policy) rearmTimer() {
	for c := p.oldest; c != nil; c = c.next {
		p.armTimer(c.deadline)
	}
	for _, h := range p.allHooks() {
		if w := h.worker; w != nil && w.deadline > 0 {
			p.armTimer(w.deadline)
		}
		if h.suspension.active() {
			p.armTimer(h.suspension.until)
		}
	}
}
