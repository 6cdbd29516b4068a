package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// unsafeWrites is a class of writes that must not run twice.
var unsafeWrites = class{Name: "add-contact", Effect: "non_idempotent", Aim: 600_000, HardLimit: 1_200_000, LateWorth: 0.25, Worth: 3}

const (
	writeCaches = 3                // caches of a play
	writeSpan   = 60 * time.Second // for which clients send
)

// playWrites plays unsafe writes against caches that answer some of them twice.
func playWrites(p *play, o cacheOptions, l load) (*effects, *answers, error) {
	counts, a := newEffects(), newAnswers()
	o.repeatShare, o.leastLate, o.mostLate = 0.2, 5*time.Millisecond, 10*time.Millisecond
	var entries []entry
	for i := range writeCaches {
		o.name = fmt.Sprintf("s-%d", i+1)
		c, err := startCache(p, o, counts)
		if err != nil {
			return nil, nil, err
		}
		entries = append(entries, c.entry())
	}
	d, err := startDiscovery(p, entries)
	if err != nil {
		return nil, nil, err
	}
	router, err := startRouter(p, routerConfig(d.address, 192, entries, []class{unsafeWrites}))
	if err != nil {
		return nil, nil, err
	}
	l.router, l.class, l.timeoutMS, l.span = router, unsafeWrites.Name, 1200, writeSpan
	l.run(p, a)
	time.Sleep(time.Second) // what still runs ends
	counts.mu.Lock()
	defer counts.mu.Unlock()
	p.say("requests %d, served %d, not served %d; commands refused by caches %d, answers sent twice %d",
		a.sent, len(a.served), len(a.other), counts.refused, counts.repeated)
	return counts, a, nil
}

// playRepeatedRefusal has caches send some refusals twice, and checks that no unsafe write runs twice.
func playRepeatedRefusal(p *play) ([]string, error) {
	o := cacheOptions{slots: 2, leastWork: 6 * time.Millisecond, mostWork: 16 * time.Millisecond}
	o.repeats = func(answer string) bool { return strings.HasPrefix(answer, "-BUSY") }
	counts, _, err := playWrites(p, o, load{clients: 10, keys: 1000, think: 8 * time.Millisecond})
	if err != nil {
		return nil, err
	}
	var breaches []string
	for id, ran := range counts.runs {
		if len(ran) > 1 {
			breaches = append(breaches, fmt.Sprintf("%s ran %d times: at %s", id, len(ran), strings.Join(ran, ", ")))
		}
	}
	slices.Sort(breaches)
	return breaches, nil
}

// playRepeatedReceipt has caches send some receipts twice, and checks that each request that is answered as served gets a receipt
// that a cache made for it.
func playRepeatedReceipt(p *play) ([]string, error) {
	o := cacheOptions{slots: 24, leastWork: 6 * time.Millisecond, mostWork: 16 * time.Millisecond}
	o.repeats = func(answer string) bool { return strings.HasPrefix(answer, "*") }
	counts, a, err := playWrites(p, o, load{clients: 10, keys: 1000, think: 8 * time.Millisecond})
	if err != nil {
		return nil, err
	}
	var breaches []string
	for id, value := range a.served {
		if !slices.Contains(counts.receipts[id], value) {
			breaches = append(breaches, fmt.Sprintf("%s was answered as served with %q; it ran %d times", id, value, len(counts.runs[id])))
		}
	}
	slices.Sort(breaches)
	return breaches, nil
}
