package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"starlingwinch/internal/testbench/lab/loopback"
	"starlingwinch/internal/testbench/lab/script"
)

// endless is longer than anybody looks on.
const endless = 24 * time.Hour

// tryOptions are the flags of try.
type tryOptions struct {
	length  time.Duration
	faults  []string
	routers int
	caches  int
	rate    float64
	program string
	log     bool
}

func tryCommand() *cobra.Command {
	var o tryOptions
	cmd := &cobra.Command{
		Use:   "try",
		Short: "Start the router program among stand-ins and show how it does",
		Long: "Starts the router program with stand-in caches, a store, discovery and clients on loopback addresses and\n" +
			"shows how they do, up to an interrupt or for --for. It leaves nothing behind, and ends with 1 where\n" +
			"a rule was broken.",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) > 0 {
				return usageError{fmt.Errorf("try: unknown word %q (it takes none)", args[0])}
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, _ []string) error { return try(o, cmd.OutOrStdout()) },
	}
	f := cmd.Flags()
	f.DurationVar(&o.length, "for", 0, "how long clients ask; without it, until an interrupt")
	f.StringArrayVar(&o.faults, "fault", nil, "a fault, `KIND:TARGET@AT[+FOR][,FIGURE=VALUE]`, as hang:c2@3s+2s; "+
		"may stand several times")
	f.IntVar(&o.routers, "routers", 1, "how many routers")
	f.IntVar(&o.caches, "caches", 9, "how many caches")
	f.Float64Var(&o.rate, "rate", 200, "requests a second")
	f.StringVar(&o.program, "program", "", "a router's binary; without it, one is built")
	f.BoolVar(&o.log, "log", false, "show the routers' logs")
	return cmd
}

// maxTried bounds routers and caches: each router is a process, and what the machine bears is for its owner to say.
const maxTried = 1024

// script is the world that the flags ask for.
func (o tryOptions) script() (script.Script, error) {
	s := script.Default()
	s.Length, s.Routers, s.Caches, s.Rate = o.length, o.routers, o.caches, o.rate
	if o.length == 0 {
		s.Length = endless
	}
	switch {
	case o.length < 0 || o.length > endless:
		return s, fmt.Errorf("--for: out of range (wanted up to %s)", endless)
	case o.routers < 1 || o.routers > maxTried:
		return s, fmt.Errorf("--routers: out of range (wanted 1 to %d)", maxTried)
	case o.caches < 1 || o.caches > maxTried:
		return s, fmt.Errorf("--caches: out of range (wanted 1 to %d)", maxTried)
	case !(o.rate > 0 && o.rate <= 10_000):
		return s, fmt.Errorf("--rate: out of range (wanted above 0, up to 10000)")
	}
	for _, text := range o.faults {
		f, err := script.ParseFault(text)
		if err != nil {
			return s, fmt.Errorf("--fault: %w", err)
		}
		s.Faults = append(s.Faults, f)
	}
	s.Sort()
	if err := loopback.Check(s); err != nil {
		return s, fmt.Errorf("--fault: %w", err)
	}
	return s, nil
}

func try(o tryOptions, out io.Writer) error {
	s, err := o.script()
	if err != nil {
		return usageError{err}
	}
	t := newTable(out)
	options := loopback.Options{Script: s, Endless: o.length == 0, Program: o.program, Visitors: true,
		Ready: func(a loopback.Addresses) { hint(out, a) }, See: t.show}
	if o.log {
		options.Log = os.Stderr
	}
	if o.program == "" {
		fmt.Fprintln(out, "building the router ...")
	}
	r, err := loopback.Run(options)
	if err != nil {
		return err
	}
	told(out, &r)
	sum := r.Requests()
	fmt.Fprintf(out, "try: requests %d served %d refused %d failed %d lost %d doubled %d late_drains %d in_time %.3f "+
		"rules broken %d\n", sum.Requests, sum.OnTime+sum.Late, sum.Rejected, sum.Failed+sum.Lost+sum.Left,
		r.Counts.Lost, r.Counts.Doubled, r.Counts.LateDrains(), r.InTime(), r.Counts.Violations())
	if !r.OK() {
		return errMissed
	}
	return nil
}

// hint tells how to ask a router by hand.
func hint(out io.Writer, a loopback.Addresses) {
	_, port, _ := net.SplitHostPort(a.Routers[0].Addr)
	fmt.Fprintf(out, "ask:  redis-cli -p %s C.GET some-call $RANDOM$RANDOM c=call-lookup,d=1200\n", port)
	var all []string
	for i, r := range a.Routers {
		all = append(all, r.Name+" "+r.Addr+", its list of caches http://"+a.Discovery[i]+"/discovery/hosts")
	}
	fmt.Fprintln(out, "at:   "+strings.Join(all, "; "))
}

// told tells what went wrong in a run.
func told(out io.Writer, r *loopback.Report) {
	for _, f := range r.Broken {
		fmt.Fprintln(out, "RULE BROKEN", f.Violation)
		for _, line := range f.History {
			fmt.Fprintln(out, "   ", line)
		}
	}
	for _, t := range r.ProcessFaults {
		fmt.Fprintln(out, "TROUBLE", t)
	}
	if r.Lag.Stalls > 0 {
		fmt.Fprintln(out, r.Lag)
	}
}
