package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"starlingwinch/internal/testbench/lab"
	"starlingwinch/internal/testbench/lab/script"
)

func huntCommand() *cobra.Command {
	seeds, jobs, length := "1-200", runtime.NumCPU(), 10*time.Second
	registry, throng, outage, hooks, tiers, long := false, false, false, false, false, false
	cmd := &cobra.Command{
		Use:   "hunt",
		Short: "Play the scripts of many seeds and tell the rules that break",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			from, to, err := seedRange(seeds)
			if err != nil {
				return usageError{err}
			}
			if jobs < 1 || length < 100*time.Millisecond {
				return usageError{errors.New("hunt: --jobs of 1 and a --length of 100ms are the least")}
			}
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			if tiers {
				return huntFleet(ctx, cmd.OutOrStdout(), from, to, jobs, long)
			}
			bar := newBar(cmd.ErrOrStderr(), to-from+1)
			h := lab.Hunt{From: from, To: to, Length: length, Jobs: jobs, Hooks: hooks, Options: lab.Options{Node: router},
				Done: bar.done}
			switch {
			case registry:
				h.Draw = script.DrawRegistry
			case throng:
				h.Draw = script.DrawThrong
			case outage:
				h.Draw = script.DrawOutage
			}
			begin := time.Now()
			sum, err := h.Run(ctx)
			bar.clear()
			if err != nil {
				return err
			}
			if ctx.Err() != nil {
				fmt.Fprintf(cmd.ErrOrStderr(), "interrupted after %d of %d seeds\n", sum.Seeds, to-from+1)
			}
			return conclude(cmd.OutOrStdout(), sum, time.Since(begin))
		},
	}
	cmd.Flags().StringVar(&seeds, "seeds", seeds, "`first-last`")
	cmd.Flags().IntVar(&jobs, "jobs", jobs, "runs side by side")
	cmd.Flags().DurationVar(&length, "length", length, "`length` of each script")
	cmd.Flags().BoolVar(&registry, "registry", false, "draw worlds with a Eureka registry")
	cmd.Flags().BoolVar(&throng, "throng", false, "draw worlds with twenty to thirty routers in step before a discovery that takes few calls")
	cmd.Flags().BoolVar(&outage, "outage", false, "draw worlds with 4 to 30 routers in which caches drain as an outage of discovery ends")
	cmd.Flags().BoolVar(&tiers, "fleet", false, "play the views that 30 routers keep of one another")
	cmd.Flags().BoolVar(&long, "long", false, "with --fleet: 300 routers")
	cmd.Flags().BoolVar(&hooks, "hooks", false, "routers have hooks, good and broken, drawn from each seed")
	return cmd
}

// maxSeeds is how many seeds one hunt may have.
const maxSeeds = 1 << 24

// seedRange reads first-last, or one seed.
func seedRange(text string) (from, to uint64, err error) {
	first, last, ok := strings.Cut(text, "-")
	if !ok {
		last = first
	}
	from, err1 := strconv.ParseUint(first, 10, 63)
	to, err2 := strconv.ParseUint(last, 10, 63)
	if err1 != nil || err2 != nil || to < from || to-from >= maxSeeds {
		return 0, 0, fmt.Errorf("--seeds: %q is no range, as 1-200, of at most %d seeds", text, maxSeeds)
	}
	return from, to, nil
}

// bar shows how far a hunt is, where somebody looks.
type bar struct {
	out    io.Writer
	shows  bool
	of     uint64
	runs   uint64
	broken int
	shown  time.Time
}

func newBar(out io.Writer, of uint64) *bar {
	b := &bar{out: out, of: of}
	if f, ok := out.(*os.File); ok {
		info, err := f.Stat()
		b.shows = err == nil && info.Mode()&os.ModeCharDevice != 0 && os.Getenv("TERM") != "dumb"
	}
	return b
}

const (
	barWidth = 40
	barEvery = 100 * time.Millisecond
)

func (b *bar) done(_ uint64, r *lab.Result) {
	b.runs++
	if len(r.Broken) > 0 {
		b.broken++
	}
	if !b.shows || b.runs < b.of && time.Since(b.shown) < barEvery {
		return
	}
	b.shown = time.Now()
	full := int(b.runs * barWidth / b.of)
	fmt.Fprintf(b.out, "\r[%s%s] %d of %d, broken %d ", strings.Repeat("#", full), strings.Repeat(".", barWidth-full),
		b.runs, b.of, b.broken)
}

func (b *bar) clear() {
	if b.shows {
		fmt.Fprint(b.out, "\r\x1b[K")
	}
}
