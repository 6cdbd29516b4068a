package rules

// Tally counts the requests of a class; each try of a client, including retries, counts as one request.
type Tally struct {
	Class                   string // empty for the sum over all classes
	Asked                   int    // requests that clients sent
	Served, InTime          int    // InTime: the served requests that met the latency objective
	Refused, Failed         int
	Lost, Doubled           int
	Left, Excused           int     // Left: the client left before the deadline; Excused: the router was killed
	WorthAsked, WorthEarned float64 // points that the requests could earn, and points that they earned
}

// EarnedFraction returns the earned fraction of the possible points; 1 if no points were possible.
func (t Tally) EarnedFraction() float64 {
	if t.WorthAsked == 0 {
		return 1
	}
	return t.WorthEarned / t.WorthAsked
}

// Counts are the totals so far.
type Counts struct {
	Tally             // all classes together
	Classes   []Tally // by name
	Broken    [ruleCount]int
	Attempts  int
	Overloads int // periods in which a warm cache got more than the overload multiple of its capacity; no rule is broken
	Undropped int // repeats that ran although caches should have dropped them; not caused by the routers
	Unsettled int // requests that were still open, before their deadline, at Close
	Strange   int // inconsistent reports, such as a request that is sent again after it has ended
	Held      int // requests in memory
}

// LateDrains returns the number of attempts that began at draining or removed caches after the drain grace.
func (c Counts) LateDrains() int { return c.Broken[LateDrain] }

// Violations returns the total number of violations of all rules.
func (c Counts) Violations() int {
	n := 0
	for _, v := range c.Broken {
		n += v
	}
	return n
}

// add adds the counts of another tally to t.
func (t *Tally) add(other Tally) {
	t.Asked += other.Asked
	t.Served += other.Served
	t.InTime += other.InTime
	t.Refused += other.Refused
	t.Failed += other.Failed
	t.Lost += other.Lost
	t.Doubled += other.Doubled
	t.Left += other.Left
	t.Excused += other.Excused
	t.WorthAsked += other.WorthAsked
	t.WorthEarned += other.WorthEarned
}
