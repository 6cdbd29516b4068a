//go:build faultkernel

package main

import (
	"fmt"
	"hash/fnv"
	"os"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/machine/faultkernel"
)

// faultsVariable names the environment variable that holds the failure rates of system calls, in the syntax of
// faultkernel.Parse. Only builds with the tag faultkernel read it.
const faultsVariable = "STARLINGWINCH_FAULTS"

// kernel returns the system calls of the operating system, some of which fail at random at the given rates. It returns nil, which
// means the real calls, if the variable is unset or empty. The process id is part of the seed, so that processes draw different random
// sequences and a run can't be repeated by its seed.
func kernel() (*machine.Kernel, error) {
	text := os.Getenv(faultsVariable)
	if text == "" {
		return nil, nil
	}
	seed, rates, err := faultkernel.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", faultsVariable, err)
	}
	own := fnv.New64a()
	fmt.Fprint(own, os.Getenv(configVariable), os.Getenv("BALANCER_NAME"), seed, os.Getpid())
	k := faultkernel.Wrap(machine.RealKernel(), own.Sum64(), rates)
	return &k, nil
}
