package rules

// Tally counts requests of a class; each try of a client counts as one.
type Tally struct {
	Class                   string // empty for all together
	Asked                   int    // requests that were sent
	Served, InTime          int    // InTime: of those served, within the latency objective
	Refused, Failed         int
	Lost, Doubled           int
	Left, Excused           int     // the client left before its deadline; the router was killed
	WorthAsked, WorthEarned float64 // points that the requests could earn, and earned
}

// EarnedFraction is the fraction of the possible points that was earned; 1 where there were no requests.
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
	Overloads int // spells in which a warm cache got more than the overload multiple of its capacity; breaks no rule
	Undropped int // repeats that ran though caches should have dropped them; not the routers' doing
	Unsettled int // requests still open at Close, before their deadline
	Strange   int // inconsistent reports, such as a request that is sent again after its end
	Held      int // requests in memory
}

// LateDrains is the number of attempts begun at caches that drained or were gone.
func (c Counts) LateDrains() int { return c.Broken[LateDrain] }

// Violations is the number of broken rules.
func (c Counts) Violations() int {
	n := 0
	for _, v := range c.Broken {
		n += v
	}
	return n
}

// add sums another tally into this one.
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
