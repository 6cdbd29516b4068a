// Command simhost runs routers on the simulator's protocol: batches of messages on standard input, one reply a line on
// standard output. It exits with 1 at a malformed line, which it names on standard error.
package main

import (
	"fmt"
	"os"

	"starlingwinch/internal/simwire"
)

func main() {
	if err := simwire.NewHost().Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
