//go:build faultkernel

package main

import (
	"fmt"
	"hash/fnv"
	"os"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/machine/faultkernel"
)

// faultsVariable says which calls fail, in the words of faultkernel.Parse. Only a trial build looks at it.
const faultsVariable = "STARLINGWINCH_FAULTS"

// kernel is the system's own with calls that fail. Each process draws by its own sequence.
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
