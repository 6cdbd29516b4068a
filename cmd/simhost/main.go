// Command simhost runs routers on the simulator's wire: batches of events on
// standard input, one reply a line on standard output.
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
