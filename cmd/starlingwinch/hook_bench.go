package main

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"starlingwinch/internal/plugin"
)

// defaultBenchTime is the default of --for: the duration of a measurement.
const defaultBenchTime = 2 * time.Second

// maxBenchCalls is the number of calls after which a measurement ends, even before its time is over. The durations of all calls are
// kept in memory.
const maxBenchCalls = 1 << 20

// defaultCall is the request for a measurement without recorded requests.
var defaultCall = plugin.Call{
	Point:    plugin.OnRequest,
	Verb:     "C.GET",
	Class:    "call-lookup",
	Tenant:   "acme",
	Key:      "OE1XYZ",
	TimeLeft: 480_000, // µs
}

// hookBenchCommand returns the command "hook bench".
func hookBenchCommand() *cobra.Command {
	var t hookTrial
	var path string
	var value bool
	span := defaultBenchTime
	cmd := &cobra.Command{
		Use:   "bench FILE [--requests FILE] [--for SPAN]",
		Short: "Measure a hook's load time, call times and memory",
		Args:  oneArg("FILE"),
		RunE: func(cmd *cobra.Command, args []string) error {
			if span < 10*time.Millisecond || span > 10*time.Minute {
				return usageError{fmt.Sprintf("%s: --for: out of range (%s, wanted 10ms to 10m)", cmd.CommandPath(), span)}
			}
			calls := []plugin.Call{defaultCall}
			if path != "" {
				var err error
				if calls, err = readRequests(path, value); err != nil {
					return err
				}
			}
			if err := t.start(cmd, args[0]); err != nil {
				return err
			}
			defer t.client.Close()
			return t.measure(cmd.OutOrStdout(), calls, span)
		},
	}
	t.flags(cmd)
	cmd.Flags().StringVar(&path, "requests", "", "the `FILE` of recorded requests; by default one lookup is repeated")
	cmd.Flags().BoolVar(&value, "wants-value", false, "pass the values of the requests to the hook")
	cmd.Flags().DurationVar(&span, "for", defaultBenchTime, "duration of the measurement, as `SPAN`")
	return cmd
}

// measure calls the hook repeatedly for a span of time. It prints the load time, quantiles of the times that the hook ran and of
// the round trips to the worker, and the worker's memory.
func (t *hookTrial) measure(out io.Writer, calls []plugin.Call, span time.Duration) error {
	calls = slices.DeleteFunc(calls, func(c plugin.Call) bool { return !t.points.Has(c.Point) })
	if len(calls) == 0 {
		return fmt.Errorf("%s: the hook handles none of the points of the requests", t.name)
	}
	var runTimes, roundTrips []time.Duration
	noVerdicts := 0
	for began := time.Now(); time.Since(began) < span && len(roundTrips) < maxBenchCalls; {
		sent := time.Now()
		r, err := t.client.Call(&calls[len(roundTrips)%len(calls)], t.budget.Time)
		if err != nil {
			if r.Sequence == 0 {
				return fmt.Errorf("%s: call %d: %w", t.name, len(roundTrips)+1, err)
			}
			noVerdicts++
		}
		roundTrips = append(roundTrips, time.Since(sent))
		runTimes = append(runTimes, time.Duration(r.RunTime)*time.Microsecond)
	}
	microseconds := func(durations []time.Duration, quantile float64) float64 {
		slices.Sort(durations)
		return float64(durations[int(quantile*float64(len(durations)-1))].Nanoseconds()) / 1000
	}
	fmt.Fprintf(out, "%s: calls %d none %d load_ms %.1f ", t.name, len(roundTrips), noVerdicts,
		float64(t.loaded.Microseconds())/1000)
	fmt.Fprintf(out, "call_p50_us %.0f call_p99_us %.0f trip_p50_us %.0f trip_p99_us %.0f worker_MiB %.1f\n", microseconds(runTimes, 0.5),
		microseconds(runTimes, 0.99), microseconds(roundTrips, 0.5), microseconds(roundTrips, 0.99), float64(processMemory(t.client.Pid()))/(1<<20))
	return nil
}

// processMemory returns the private memory of a process in bytes (proc(5), RssAnon), or 0 if it is unknown.
func processMemory(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "RssAnon:")
	figure, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	n, _ := strconv.ParseInt(figure, 10, 64)
	return n << 10
}
