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

// defaultBenchTime is how long a measurement lasts where no flag says otherwise.
const defaultBenchTime = 2 * time.Second

// maxBenchCalls bounds the calls of a measurement.
const maxBenchCalls = 1 << 20

// defaultCall is the request that a hook is called with where none was recorded.
var defaultCall = plugin.Call{
	Point:    plugin.OnRequest,
	Verb:     "C.GET",
	Class:    "call-lookup",
	Tenant:   "acme",
	Key:      "OE1XYZ",
	TimeLeft: 480_000,
}

// hookBenchCommand returns the command "hook bench".
func hookBenchCommand() *cobra.Command {
	var t hookTrial
	var path string
	var value bool
	span := defaultBenchTime
	cmd := &cobra.Command{
		Use:   "bench FILE [--requests FILE] [--for SPAN]",
		Short: "Measure what a hook costs: its load, its calls, its memory",
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
	cmd.Flags().StringVar(&path, "requests", "", "the `FILE` of recorded requests; without it, one lookup")
	cmd.Flags().BoolVar(&value, "wants-value", false, "hand the values over")
	cmd.Flags().DurationVar(&span, "for", defaultBenchTime, "how long, as `SPAN`")
	return cmd
}

// measure calls the hook for a span of time and prints what the calls cost.
func (t *hookTrial) measure(out io.Writer, calls []plugin.Call, span time.Duration) error {
	calls = slices.DeleteFunc(calls, func(c plugin.Call) bool { return !t.points.Has(c.Point) })
	if len(calls) == 0 {
		return fmt.Errorf("%s: it has none of the points that the requests are for", t.name)
	}
	var spent, trip []time.Duration
	none := 0
	for began := time.Now(); time.Since(began) < span && len(trip) < maxBenchCalls; {
		sent := time.Now()
		r, err := t.client.Call(&calls[len(trip)%len(calls)], t.budget.Time)
		if err != nil {
			if r.Sequence == 0 {
				return fmt.Errorf("%s: call %d: %w", t.name, len(trip)+1, err)
			}
			none++
		}
		trip = append(trip, time.Since(sent))
		spent = append(spent, time.Duration(r.RunTime)*time.Microsecond)
	}
	us := func(all []time.Duration, part float64) float64 {
		slices.Sort(all)
		return float64(all[int(part*float64(len(all)-1))].Nanoseconds()) / 1000
	}
	fmt.Fprintf(out, "%s: calls %d none %d load_ms %.1f ", t.name, len(trip), none,
		float64(t.loaded.Microseconds())/1000)
	fmt.Fprintf(out, "call_p50_us %.0f call_p99_us %.0f trip_p50_us %.0f trip_p99_us %.0f worker_MiB %.1f\n", us(spent, 0.5),
		us(spent, 0.99), us(trip, 0.5), us(trip, 0.99), float64(processMemory(t.client.Pid()))/(1<<20))
	return nil
}

// processMemory returns the private memory of a process in bytes (proc(5), RssAnon); 0 where that is not known.
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
