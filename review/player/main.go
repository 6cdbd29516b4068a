// Command player plays one case of the review: it starts the router program among small stand-ins for discovery, caches and
// clients on loopback sockets, writes what was sent, answered and run to a record, and checks one rule.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxPlay ends a play that hangs.
const maxPlay = 110 * time.Second

// errTooLong is the cause of the end of a play that hangs.
var errTooLong = errors.New("the play took too long")

// errInterrupted is the cause of the end of a play that a signal interrupts.
var errInterrupted = errors.New("interrupted by a signal")

// cases are the cases by name. Each returns the breaches that it found.
var cases = map[string]func(*play) ([]string, error){
	"repeated-refusal": playRepeatedRefusal,
	"repeated-receipt": playRepeatedReceipt,
	"pipelined-writes": playPipelinedWrites,
	"long-queue":       playLongQueue, // not a case: see REPORT.md
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: player CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

// run plays a case and returns the exit code.
func run(playCase func(*play) ([]string, error), recordPath string) int {
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGQUIT)
	p, err := newPlay(recordPath, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer p.end()
	type result struct {
		breaches []string
		err      error
	}
	results := make(chan result, 1)
	go func() {
		breaches, err := playCase(p)
		results <- result{breaches, err}
	}()
	var r result
	select {
	case r = <-results:
	case <-interrupts:
		r.err = errInterrupted
	case <-time.After(maxPlay):
		r.err = errTooLong
	}
	switch {
	case r.err != nil:
		p.say("result: the case could not run: %v", r.err)
		return exitNotRun
	case len(r.breaches) > 0:
		for _, b := range r.breaches {
			p.say("breach: %s", b)
		}
		p.say("result: the rule was broken %d times", len(r.breaches))
		return exitBroken
	}
	p.say("result: the rule held")
	return exitHeld
}

// play is one play: the temporary folder, the record, and what must be ended.
type play struct {
	trouble bool // whether the disruption takes place
	folder  string
	record  *record

	mu    sync.Mutex
	ends  []func() // called in reverse order at the end
	ended bool
}

// newPlay opens the record and a temporary folder.
func newPlay(recordPath string, trouble bool) (*play, error) {
	r, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	p := &play{trouble: trouble, folder: folder, record: r}
	p.record.line("play", "trouble=%t", trouble)
	return p, nil
}

// atEnd registers a function that end calls.
func (p *play) atEnd(f func()) {
	p.mu.Lock()
	ended := p.ended
	p.ends = append(p.ends, f)
	p.mu.Unlock()
	if ended {
		f() // the play was interrupted meanwhile
	}
}

// end ends all processes and stand-ins of the play and removes its folder.
func (p *play) end() {
	p.mu.Lock()
	p.ended = true
	ends := p.ends
	p.mu.Unlock()
	for i := len(ends) - 1; i >= 0; i-- {
		ends[i]()
	}
	os.RemoveAll(p.folder)
	p.record.close()
}

// say writes a line to the record and to standard output.
func (p *play) say(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	fmt.Println(text)
	p.record.line("play", "%s", text)
}

// file returns the path of a file in the play's folder.
func (p *play) file(name string) string { return filepath.Join(p.folder, name) }
