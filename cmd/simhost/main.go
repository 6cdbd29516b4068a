// Command simhost runs routers for the simulator. It reads batches of messages from standard input and writes one reply per line
// to standard output. At a malformed line it prints an error that names the line and exits with code 1.
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
