package faultkernel

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Parse parses a seed and rates, such as "seed=7,short_reads=0.3,read_most=200,burst=50ms". Each name is a field name
// of Rates in snake case, except that read_most sets MaxReadBytes and hold sets Stall.
func Parse(text string) (seed uint64, rates Rates, err error) {
	probabilities := map[string]*float64{"short_reads": &rates.ShortReads, "short_writes": &rates.ShortWrites,
		"interrupted": &rates.Interrupted, "accept": &rates.Accept, "socket": &rates.Socket, "connect": &rates.Connect,
		"register": &rates.Register, "wake": &rates.Wake, "memory": &rates.Memory, "broken": &rates.Broken, "hold": &rates.Stall,
		"disk": &rates.Disk}
	durations := map[string]*time.Duration{"burst": &rates.Burst, "clock_step": &rates.ClockStep,
		"clock_after": &rates.ClockAfter}
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(field, "=")
		switch {
		case name == "seed":
			seed, err = strconv.ParseUint(value, 10, 64)
		case name == "read_most":
			rates.MaxReadBytes, err = strconv.Atoi(value)
		case probabilities[name] != nil:
			*probabilities[name], err = strconv.ParseFloat(value, 64)
		case durations[name] != nil:
			*durations[name], err = time.ParseDuration(value)
		default:
			err = fmt.Errorf("unknown fault %q", name)
		}
		if err != nil {
			return 0, Rates{}, fmt.Errorf("%q: %w", field, err)
		}
	}
	return seed, rates, nil
}
