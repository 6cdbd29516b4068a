// Command cases2 plays the cases of the second review: router processes, started by the deploy file's command, between small
// stand-ins for clients, cache servers and discovery on loopback addresses. It exits with 1 if the case's rule was broken, 0
// if the rule held, and 2 if the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// verdict is the result of a case that ran.
type verdict struct {
	broken []string // descriptions of the breaches
}

// addf records a breach of the rule.
func (v *verdict) addf(format string, args ...any) {
	v.broken = append(v.broken, fmt.Sprintf(format, args...))
}

// caseFunc plays one case. trouble tells whether the disruption is played.
type caseFunc func(l *lab, trouble bool) (verdict, error)

// cases holds the cases by the number of their folder.
var cases = map[string]caseFunc{}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "number of the case")
	dir := flag.String("dir", ".", "folder for record.txt")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "cases2: no case %q\n", *name)
		return exitCannotRun
	}
	l, err := newLab(filepath.Join(*dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "cases2:", err)
		return exitCannotRun
	}
	defer l.close()
	trouble := os.Getenv("TROUBLE") != "0"
	l.notef("case %s, trouble %v", *name, trouble)
	v, err := l.guarded(play, trouble)
	switch {
	case err != nil:
		l.notef("cannot run: %v", err)
		fmt.Println("cannot run:", err)
		return exitCannotRun
	case len(v.broken) > 0:
		l.notef("BROKEN (%d)\n%s", len(v.broken), strings.Join(v.broken, "\n"))
		fmt.Printf("broken (%d):\n%s\n", len(v.broken), strings.Join(v.broken[:min(len(v.broken), maxPrinted)], "\n"))
		return exitBroken
	}
	l.notef("held")
	fmt.Println("held")
	return exitHeld
}

// maxPrinted limits the breaches that are printed; record.txt has all.
const maxPrinted = 10

// maxCaseTime is the longest time that a case may take.
const maxCaseTime = 110 * time.Second

// Errors that end a case early.
var (
	errTooLong     = errors.New("the case took too long")
	errInterrupted = errors.New("the case was interrupted")
)

// guarded plays a case within maxCaseTime.
func (l *lab) guarded(play caseFunc, trouble bool) (verdict, error) {
	type result struct {
		v   verdict
		err error
	}
	done := make(chan result, 1)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGQUIT)
	go func() {
		v, err := play(l, trouble)
		done <- result{v, err}
	}()
	select {
	case r := <-done:
		return r.v, r.err
	case <-interrupted:
		return verdict{}, errInterrupted
	case <-time.After(maxCaseTime):
		return verdict{}, errTooLong
	}
}
