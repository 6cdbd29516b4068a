package policy

// maxTimerDelay is the delay of a Tick from which on the machine counts as having stood still, and its workers with it.
const maxTimerDelay Time = 5_000

// Tick handles all that is due: the caller calls it at the time of the last SetTimer. A call at another time does no harm.
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

// rearmTimer sets the timer to the earliest time at which something is due.
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
