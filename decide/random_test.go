package decide

import (
	"math/rand"
	"reflect"
	"testing"
)

// answerGrace is how long after the deadline an answer is still in time.
const answerGrace = 20 * ms

// watcher asserts one router's part of the four rules on every action.
type watcher struct {
	t     *testing.T
	set   Settings
	now   Time
	reqs  map[int64]*watched
	told  map[string]Time // since when a cache is known to drain or be gone
	known map[string]Entry
}

type watched struct {
	class    Class
	deadline Time
	done     bool
	tries    []watchedTry
}

type watchedTry struct {
	cache   Entry
	sent    Time
	pending bool
	result  Result
}

func (w *watcher) check(acts []Action) {
	t := w.t
	t.Helper()
	for _, a := range acts {
		switch a := a.(type) {
		case Send:
			q := w.reqs[a.ID]
			if q == nil || q.done {
				t.Fatalf("send for a request that is over: %v", a)
			}
			if w.now >= q.deadline || len(q.tries) >= w.set.MaxAttempts || a.StopAt <= w.now {
				t.Fatalf("send after deadline or attempts: %v", a)
			}
			to, ok := w.known[a.Cache]
			if !ok {
				t.Fatalf("send to a cache never listed: %v", a)
			}
			if since, ok := w.told[a.Cache]; ok && w.now > since+w.set.DrainGrace {
				t.Fatalf("send to a draining or gone cache: %v", a)
			}
			for _, p := range q.tries {
				if p.pending && !w.set.Copies {
					t.Fatalf("two pending at once: %v", a)
				}
				if q.class.Effect == Safe || !p.pending && p.result.NeverRan() {
					continue
				}
				if q.class.Effect == Unsafe || w.now > p.sent+q.class.KeyTTL ||
					q.class.Scope == ScopeZone && p.cache.Zone != to.Zone || q.class.Scope == ScopeCell && p.cache.Cell != to.Cell {
					t.Fatalf("%s could run twice: %v", q.class.Name, a)
				}
			}
			q.tries = append(q.tries, watchedTry{cache: to, sent: w.now, pending: true})
		case Refuse:
			q := w.reqs[a.ID]
			w.final(a.ID)
			for _, p := range q.tries {
				free := q.class.Effect == Safe || q.class.Effect == Keyed && q.class.Scope == ScopeAll
				if !free && (p.pending || !p.result.NeverRan()) {
					t.Fatalf("%s refused though it may have run", q.class.Name)
				}
			}
		case Fail:
			w.final(a.ID)
		case Cancel:
			if q := w.reqs[a.ID]; q == nil || a.Attempt >= len(q.tries) || !w.set.Cancels {
				t.Fatalf("cancel of an attempt never sent: %v", a)
			}
		case Probe:
			if _, ok := w.known[a.Cache]; !ok || !w.set.Probes {
				t.Fatalf("probe of %v", a)
			}
		}
	}
}

func (w *watcher) final(id int64) {
	w.t.Helper()
	q := w.reqs[id]
	if q == nil || q.done {
		w.t.Fatalf("request %d: a second final answer", id)
	}
	if w.now > q.deadline+answerGrace && len(q.tries) > 0 {
		w.t.Fatalf("request %d answered late", id)
	}
	q.done = true
}

func randomSettings(rng *rand.Rand) Settings {
	s := settings()
	s.MaxAttempts = 1 + rng.Intn(5)
	s.Copies, s.Cancels, s.MustWatch = rng.Intn(2) == 0, rng.Intn(3) > 0, rng.Intn(2) == 0
	s.Probes = rng.Intn(4) > 0
	if rng.Intn(4) == 0 {
		s.ColdTime, s.ColdShare, s.TipTime, s.AskEvery = 0, 0, 0, 0
	}
	if rng.Intn(2) == 0 {
		return s
	}
	// Another customer's: what is legal, whatever it is.
	s.Routers = []int{0, 1, 3, sparseFrom, sparseFrom + 1, 100, 300}[rng.Intn(7)]
	s.DrainGrace = Time(100+rng.Intn(2000)) * ms
	s.ProbePrice, s.ConnPrice, s.DialPrice = rng.Float64()/10, rng.Float64()/10, rng.Float64()/10
	s.RefuseWait, s.LiveSizes = Time(rng.Intn(2000))*ms, rng.Intn(3) == 0
	if s.AskEvery > 0 {
		s.AskEvery = Time(100+rng.Intn(60_000)) * ms
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		c.Effect, c.Scope = Effect(rng.Intn(3)), Scope(rng.Intn(3))
		c.KeyTTL, c.Aim = Time(rng.Intn(1500))*ms, Time(rng.Intn(400))*ms
		c.Limit = c.Aim + Time(rng.Intn(3000))*ms
	}
	return s
}

// play feeds a random stream of events drawn from seed and returns all actions.
func play(t *testing.T, seed int64, steps int) []Action { return playNamed(t, seed, steps, "") }

// playNamed is play where each class and tenant has another name, which begins so.
func playNamed(t *testing.T, seed int64, steps int, prefix string) []Action {
	rng := rand.New(rand.NewSource(seed))
	s := randomSettings(rng)
	for i := range s.Classes {
		s.Classes[i].Name = prefix + s.Classes[i].Name
	}
	b := newBench(t, s)
	w := &watcher{t: t, set: s, reqs: map[int64]*watched{}, told: map[string]Time{}, known: map[string]Entry{}}
	classes := map[string]Class{}
	for _, c := range s.Classes {
		classes[c.Name] = c
	}
	names := []string{"read", "read", "read", "all", "zone", "cell", "once", "unheard-of"}
	var all []Action
	feed := func(ev Event) {
		w.now = b.now
		acts := b.feed(ev)
		w.check(acts)
		all = append(all, acts...)
	}
	list := func(kind ListKind, es []Entry) {
		if kind != ListChanges {
			for id := range w.known {
				if _, ok := w.told[id]; !ok {
					w.told[id] = b.now
				}
			}
		}
		for _, e := range es {
			if e.Condition == Up {
				delete(w.told, e.ID)
			} else if _, ok := w.told[e.ID]; !ok {
				w.told[e.ID] = b.now
			}
			w.known[e.ID] = e
		}
		feed(&List{Kind: kind, Entries: es})
	}
	list(ListStale, fleet(rng.Intn(8)))
	for id := int64(1); id < int64(steps); id++ {
		end := b.now + Time(rng.Intn(20*ms))
		for {
			k := -1
			for i, tm := range b.timers {
				if tm.At <= end && (k < 0 || tm.At < b.timers[k].At) {
					k = i
				}
			}
			if k < 0 {
				break
			}
			tm := b.timers[k]
			b.timers = append(b.timers[:k], b.timers[k+1:]...)
			b.now = max(b.now, tm.At)
			feed(&Timer{tm.Token})
		}
		b.now = end
		switch x := rng.Intn(100); {
		case x < 50:
			name := prefix + names[rng.Intn(len(names))]
			q := &watched{class: classes[name], deadline: b.now + Time(rng.Intn(900*ms)) - 20*ms}
			w.reqs[id] = q
			feed(&Request{ID: id, Class: name, Tenant: prefix + []string{"x", "y", ""}[rng.Intn(3)], Key: uint64(rng.Intn(40)),
				HasKey: rng.Intn(9) > 0, Deadline: q.deadline, Cost: Time(rng.Intn(60 * ms))})
		case x < 53:
			gone := id - 1 - int64(rng.Intn(20))
			if q := w.reqs[gone]; q != nil {
				q.done = true
			}
			feed(&Departed{ID: gone})
		case x < 58:
			e := fleet(10)[rng.Intn(10)]
			e.Condition = Condition(rng.Intn(3))
			if rng.Intn(2) == 0 {
				e.Condition, e.Start = Up, b.now-Time(rng.Intn(12000*ms))
			}
			list(ListChanges, []Entry{e})
		case x < 59:
			list(ListKind(1+rng.Intn(2)), fleet(rng.Intn(10)))
		case x < 60:
			feed(&List{Kind: ListFailed})
		case x < 66:
			feed(&Probed{Cache: fleet(10)[rng.Intn(10)].ID, Result: Result(rng.Intn(6)), Load: Load{Busy: rng.Float64()}})
		default:
			endTry(rng, b, w, id, feed)
		}
	}
	for id, q := range w.reqs {
		if !q.done && b.now > q.deadline+answerGrace {
			t.Fatalf("seed %d: request %d lost", seed, id)
		}
	}
	return all
}

// endTry ends a pending attempt of a recent request.
func endTry(rng *rand.Rand, b *bench, w *watcher, id int64, feed func(Event)) {
	for back := int64(1); back < 60 && back < id; back++ {
		q := w.reqs[id-back]
		if q == nil {
			continue
		}
		for i := range q.tries {
			if !q.tries[i].pending || rng.Intn(3) == 0 {
				continue
			}
			res := Result(rng.Intn(int(NotStored) + 1))
			if rng.Intn(2) == 0 {
				res = Served
			}
			q.tries[i].pending, q.tries[i].result = false, res
			q.done = q.done || res == Served
			feed(&Outcome{ID: id - back, Attempt: i, Result: res, Elapsed: b.now - q.tries[i].sent, Last: q.done,
				Load: Load{Busy: rng.Float64()*2 - 1}})
			return
		}
	}
}

func TestRandomEventsKeepTheRules(t *testing.T) {
	for seed := range int64(150) {
		play(t, seed, 1500)
	}
}

func TestEqualEventsEqualActions(t *testing.T) {
	for seed := range int64(10) {
		if !reflect.DeepEqual(play(t, seed, 1000), play(t, seed, 1000)) {
			t.Fatalf("seed %d: two runs differ", seed)
		}
	}
}

// TestNamesChangeNothing: what classes and tenants are called decides nothing.
func TestNamesChangeNothing(t *testing.T) {
	for seed := range int64(40) {
		if !reflect.DeepEqual(play(t, seed, 800), playNamed(t, seed, 800, "kiln-")) {
			t.Fatalf("seed %d: other names, other actions", seed)
		}
	}
}
