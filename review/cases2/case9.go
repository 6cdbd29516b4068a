package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["9"] = staleWrites }

// Figures of case 9.
const (
	staleBadClients = 500
	staleClients    = 40 // usual ones
	staleTime       = 30 * time.Second
	staleTry        = 600 * time.Millisecond // half of the class's give-up time
)

// write is a keyed write of a usual client with its tries.
type write struct {
	k, key string
	tries  []writeTry
}

// writeTry is one try of a write.
type writeTry struct {
	id     string
	router string
	sent   time.Time
	reply  reply // as it came, also after the try was given up
	inTime bool  // the reply came before the try was given up
}

// staleWrites has the clients of case 10 fill one of two routers. Usual clients give a write's try up when its time is over, keep
// the connection, and try once more at the other router within the write's window. No write may be carried out twice.
func staleWrites(l *lab, trouble bool) (verdict, error) {
	var v verdict
	classes := rajkotClasses()
	add := classes[2]
	s := rajkotSettings(classes)
	s["instances"] = 2
	f, err := l.startFleet(9, s, map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": halfDescriptors})
	if err != nil {
		return v, err
	}
	other := f.router.config
	other.Name, other.Listen, other.Seed = "n2", "", "1c1f30d27a5be965"
	second, err := l.startRouter(other)
	if err != nil {
		return v, err
	}
	memory := newEffects(time.Duration(add.KeyTTL) * time.Microsecond)
	f.work(20*time.Millisecond, func(cmd *command) { memory.apply(cmd) })
	time.Sleep(time.Second)
	stop := time.Now().Add(staleTime)
	if trouble {
		l.notef("%d bad clients begin to stop in the middle of a command at %s", staleBadClients, f.router.config.Name)
		for range staleBadClients {
			go stopHalfway(f.router.addr, stop.Add(3*time.Second))
		}
		time.Sleep(time.Second)
	}
	var mu sync.Mutex
	var all []*write
	var wg sync.WaitGroup
	for range staleClients {
		wg.Go(func() {
			for time.Now().Before(stop) {
				w := &write{k: newID(), key: fmt.Sprintf("call%d", rand.IntN(400))}
				w.send(f.router, &wg, &mu)
				if !w.tries[0].inTime {
					w.send(second, &wg, &mu)
				}
				mu.Lock()
				all = append(all, w)
				mu.Unlock()
				time.Sleep(time.Duration(rand.IntN(400)) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	memory.mu.Lock()
	defer memory.mu.Unlock()
	repeated := 0
	for _, w := range all {
		if len(w.tries) > 1 {
			repeated++
		}
		runs := memory.byKey[w.k]
		if len(runs) < 2 {
			continue
		}
		first, last := runs[0], runs[1]
		v.addf("write %s was carried out twice: %s at %s %d ms after the client's first byte, and %s at %s %d ms after it (try of %d ms); "+
			"the client tried again %d ms after it", w.k, first.id, first.cache, first.at.Sub(w.tries[0].sent).Milliseconds(), last.id, last.cache,
			last.at.Sub(w.tries[0].sent).Milliseconds(), staleTry.Milliseconds(), w.tries[1].sent.Sub(w.tries[0].sent).Milliseconds())
	}
	l.notef("%d writes, %d tried again, %d carried out twice", len(all), repeated, len(v.broken))
	fmt.Printf("%d writes, %d tried again, %d carried out twice\n", len(all), repeated, len(v.broken))
	if len(all) < 50 {
		return v, errCannotJudge
	}
	return v, nil
}

// send sends a try of the write on a new connection and waits for its time. The connection stays open for a late answer.
func (w *write) send(r *router, wg *sync.WaitGroup, mu *sync.Mutex) {
	l := r.lab
	try := writeTry{id: newID(), router: r.config.Name, sent: time.Now()}
	mu.Lock()
	w.tries = append(w.tries, try)
	mu.Unlock()
	at := &w.tries[len(w.tries)-1]
	c, err := dial(r.addr)
	if err != nil {
		return
	}
	at.sent = time.Now()
	if _, err := c.Write(setKeyed(w.key, at.id, "add-contact", int(staleTry/time.Millisecond), w.k, "contact")); err != nil {
		c.Close()
		return
	}
	l.notef("client: writes %s of %s to %s", at.id, w.k, r.config.Name)
	id, sent := at.id, at.sent
	answered := make(chan reply, 1)
	wg.Go(func() {
		defer c.Close()
		c.SetReadDeadline(sent.Add(10 * time.Second))
		rep, _ := readReply(c.in)
		l.notef("client: %s at %s: %s %q after %d ms", id, r.config.Name, rep.outcome, rep.text, rep.at.Sub(sent).Milliseconds())
		answered <- rep
	})
	select {
	case at.reply = <-answered:
		at.inTime = at.reply.outcome == served || at.reply.outcome == refused || at.reply.outcome == failed
	case <-time.After(time.Until(sent.Add(staleTry))):
	}
}
