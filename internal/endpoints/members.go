package endpoints

import (
	"container/heap"
	"container/list"
	"fmt"
	"slices"
	"strings"

	"starlingwinch/decide"
)

const mostLines = 20 // caches that are named in the log one by one in one turn

// Merger merges what the sources say. It is not safe for concurrent use.
type Merger struct {
	opt     Options
	sources []source
	caches  map[string]*cache
	gone    list.List // of *cache that have gone everywhere, oldest first
	held    heldDown
	up      int // caches that were handed on as taking work

	now       Time
	turn      uint64 // number of the latest Heard
	published bool
	wake      Time // the latest that was asked for; 0 where none is out

	// Of the turn that is being handled:
	touched []*cache
	news    []news
	kind    decide.UpdateKind
	first   bool // there must be a Publish, though nothing stands in it
	asks    []Action
	lines   []Action
}

// source is one source and how things stand with it.
type source struct {
	SourceOptions
	heard    bool // it has given a list that is not an old one
	answered Time // when it did so last
	lost     bool
	since    Time // of lost
	why      string
	known    int // its words that are not Removed
	up       int // those that are Up
	check
}

// news is one change to be handed on.
type news struct {
	*cache
	was decide.Status
}

// New checks the options and returns a Members that knows nothing yet.
func New(opt Options) (*Merger, error) {
	if err := opt.check(); err != nil {
		return nil, err
	}
	if opt.MaxEndpoints == 0 {
		opt.MaxEndpoints = defaultMost
	}
	if opt.MaxRemoved == 0 {
		opt.MaxRemoved = defaultMost
	}
	opt.Sources = slices.Clone(opt.Sources)
	m := &Merger{opt: opt, caches: map[string]*cache{}}
	for _, s := range opt.Sources {
		m.sources = append(m.sources, source{SourceOptions: s})
	}
	return m, nil
}

// Handle takes an event at its time, and returns what is to be done. A time before the last one counts as the last one.
func (m *Merger) Handle(now Time, ev Event) []Action {
	m.now = max(m.now, now)
	switch ev := ev.(type) {
	case *SourceUpdate:
		if i := m.source(ev.Source); i >= 0 {
			m.hear(i, ev)
		}
	case *SourceUnavailable:
		if i := m.source(ev.Source); i >= 0 {
			m.lose(&m.sources[i], ev.Reason)
		}
	case *Tick:
		m.wake = 0
	}
	for i := range m.sources {
		m.checkUp(i)
	}
	m.release()
	for _, c := range m.touched {
		m.settle(c)
	}
	actions := m.actions()
	m.forget()
	return actions
}

func (m *Merger) source(name string) int {
	i := slices.IndexFunc(m.sources, func(s source) bool { return s.Name == name })
	if i < 0 {
		m.logf("%.60q is no source of the list of caches", name)
	}
	return i
}

func (m *Merger) logf(format string, args ...any) {
	m.lines = append(m.lines, Log{Message: fmt.Sprintf(format, args...)})
}

// hear takes a source's list.
func (m *Merger) hear(i int, ev *SourceUpdate) {
	s := &m.sources[i]
	if ev.Stale && s.heard {
		return // it is older than what is known
	}
	m.turn++
	m.kind, m.first = decide.DeltaUpdate, !m.published
	if ev.Stale && !m.published {
		m.kind = decide.StaleUpdate
	}
	before := standing{up: s.up, all: m.up, open: s.open}
	back := s.lost
	if !ev.Stale {
		if s.lost {
			m.logf("%s answers again, after %.1f s", s.Name, float64(m.now-s.since)/1e6)
		}
		s.heard, s.answered, s.lost = true, m.now, false
	}
	skipped := 0
	for k := range ev.Claims {
		claim := &ev.Claims[k]
		c := m.caches[claim.Endpoint.ID]
		if c == nil {
			if c = m.add(claim.Endpoint.ID); c == nil {
				skipped++
				continue
			}
		}
		if w := &c.words[i]; ev.Stale && w.known && w.named != m.turn {
			continue // another old list has come before
		}
		m.say(i, c, claim, ev.Stale)
	}
	if skipped > 0 {
		m.logf("%s: %d caches past the first %d are not used", s.Name, skipped, m.opt.MaxEndpoints)
	}
	switch {
	case ev.Full && !ev.Stale:
		m.leftOut(i, ev, before)
	case back && s.open > 0:
		s.askAgain(m.now, m.opt.MassRemoval.ConfirmWithin) // what it left out before it was lost is still in doubt
	}
}

// add makes room for a new cache, or returns nil where there are too many.
func (m *Merger) add(id string) *cache {
	if len(m.caches)-m.gone.Len() >= m.opt.MaxEndpoints || id == "" {
		return nil
	}
	c := &cache{id: id, words: make([]word, len(m.sources)), raw: decide.Removed, out: decide.Removed, place: -1}
	m.caches[id] = c
	return c
}

// drop forgets a cache.
func (m *Merger) drop(c *cache) {
	delete(m.caches, c.id)
	if c.place >= 0 {
		heap.Remove(&m.held, c.place)
	}
}

// say takes over a source's claim on a cache.
func (m *Merger) say(i int, c *cache, claim *Claim, stale bool) {
	w := &c.words[i]
	if w.named == m.turn && claim.Endpoint.Status <= w.Endpoint.Status {
		return // it stands twice in one list: the worse news counts
	}
	next := *claim
	if claim.Endpoint.Status == decide.Removed {
		next.Endpoint = w.Endpoint // no more need be said of it than its name
		next.Endpoint.ID, next.Endpoint.Status = claim.Endpoint.ID, decide.Removed
	}
	if next.Address == "" && w.known && w.Endpoint.Status != decide.Removed {
		next.Address = w.Address
	}
	m.count(i, c, next.Endpoint.Status)
	w.Claim, w.stale, w.leftOut = next, stale, false
	w.known, w.told, w.named = true, m.now, m.turn
	m.touch(c)
}

// count keeps the books on a source's words, before its word on a cache changes to cond.
func (m *Merger) count(i int, c *cache, cond decide.Status) {
	s, w := &m.sources[i], &c.words[i]
	if w.known && w.Endpoint.Status != decide.Removed {
		s.known--
	}
	if w.known && w.Endpoint.Status == decide.Serving {
		s.up--
		c.blame = c.blame || s.Damped && cond != decide.Serving
	}
	if cond != decide.Removed {
		s.known++
	}
	if cond == decide.Serving {
		s.up++
	}
	if w.heldBack {
		w.heldBack = false
		s.open--
	}
}

func (m *Merger) touch(c *cache) {
	if !c.touched {
		c.touched = true
		m.touched = append(m.touched, c)
	}
}

// lose notes that a source can't be reached. It takes nothing away.
func (m *Merger) lose(s *source, why string) {
	s.unanswered()
	if s.lost {
		s.why = why
		return
	}
	s.lost, s.since, s.why = true, m.now, why
	m.logf("%s can't be reached, its word on %d caches stays: %.200s", s.Name, s.known, why)
}

// actions collects what has come of a turn.
func (m *Merger) actions() []Action {
	var all []Action
	if len(m.news) > 0 || m.first {
		// The danger: the place of a drained cache is taken before the drain is known.
		slices.SortFunc(m.news, func(a, b news) int {
			if a.out != b.out {
				return int(b.out) - int(a.out)
			}
			return strings.Compare(a.id, b.id)
		})
		p := Publish{Kind: m.kind, Endpoints: make([]decide.Endpoint, len(m.news)), Addresses: make([]string, len(m.news))}
		for i, n := range m.news {
			p.Endpoints[i], p.Addresses[i] = n.entry, n.addr
		}
		all = append(all, p)
		m.published = true
		m.logNews()
	}
	all = append(all, m.asks...)
	if at := m.nextWake(); at != 0 && at != m.wake {
		m.wake = at
		all = append(all, Wake{at})
	}
	all = append(all, m.lines...)
	clear(m.touched)
	clear(m.news)
	clear(m.asks)
	clear(m.lines)
	m.touched, m.news, m.asks, m.lines = m.touched[:0], m.news[:0], m.asks[:0], m.lines[:0]
	m.kind, m.first = decide.DeltaUpdate, false
	return all
}

// logNews adds a line for each cache whose condition has changed.
func (m *Merger) logNews() {
	told := 0
	var in [decide.Removed + 1]int
	for _, n := range m.news {
		if n.out == n.was {
			continue
		}
		in[n.out]++
		if told++; told <= mostLines {
			m.logf("%s %s (%s)", n.id, conditionWords[n.out], n.reason(m, m.now))
		}
	}
	if told > mostLines {
		m.logf("in all %d caches take work, %d drain, %d have gone", in[decide.Serving], in[decide.Draining], in[decide.Removed])
	}
}

// nextWake is the next instant at which something is due; 0 for none.
func (m *Merger) nextWake() Time {
	at := Time(0)
	sooner := func(t Time) {
		if at == 0 || t < at {
			at = max(t, m.now+1)
		}
	}
	if len(m.held) > 0 {
		sooner(m.held[0].heldUntil)
	}
	for i := range m.sources {
		if t, due := m.sources[i].due(m.opt.MassRemoval.ConfirmWithin); due {
			sooner(t)
		}
	}
	return at
}
