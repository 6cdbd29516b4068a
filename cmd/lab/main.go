// Command lab starts routers among stand-ins for all that surrounds them, for a look, for measurements and in
// search of faults.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	exitMissed = 1 // a rule was broken or a mark missed, or the run could not go on
	exitUsage  = 2 // the command line is wrong; nothing was done
)

// errMissed says that a rule was broken or a mark missed, which has been told.
var errMissed = errors.New("")

// usageError is what is wrong with the command line.
type usageError struct{ error }

func main() {
	// Without it, a reader of standard output that ends would end this process before it has ended its routers.
	signal.Ignore(syscall.SIGPIPE)
	err := root().Execute()
	if err == nil {
		return
	}
	if text := err.Error(); text != "" {
		fmt.Fprintln(os.Stderr, "lab: "+text)
	}
	if errors.As(err, new(usageError)) {
		os.Exit(exitUsage)
	}
	os.Exit(exitMissed)
}
