package main

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/standin/registry"
)

// registryFlags are the flags of registry.
type registryFlags struct {
	listen     string
	evictEvery time.Duration
	cacheTime  time.Duration
	options    registry.Options
}

func registryCommand() *cobra.Command {
	var o registryFlags
	cmd := &cobra.Command{
		Use:   "registry",
		Short: "Run a stand-in for a Eureka registry until an interrupt",
		Long: "Runs a stand-in for a Eureka 1.x registry, empty at first, until an interrupt. Clients register, renew and\n" +
			"fetch at /eureka, in JSON.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return runRegistry(o, cmd.OutOrStdout()) },
	}
	f := cmd.Flags()
	f.StringVar(&o.listen, "listen", "127.0.0.1:8761", "the address, an IP address and a port")
	f.StringVar(&o.options.Base, "base", "/eureka", "the path under which all others are")
	f.StringVar(&o.options.User, "user", "", "who may call; without it, anybody")
	f.StringVar(&o.options.Password, "password", "", "the user's password")
	f.DurationVar(&o.evictEvery, "evict-every", time.Minute, "how often leases that are over are taken out")
	f.DurationVar(&o.cacheTime, "cache-time", 0, "how often answers are brought up to date; 0 at once")
	f.BoolVar(&o.options.NoPreservation, "no-preservation", false, "evict however few renewals come")
	f.BoolVar(&o.options.UnwrapSingle, "single-bare", false, "write a list of one as the one, as old servers do")
	f.BoolVar(&o.options.OldNames, "old-names", false, "write overriddenstatus, as old servers do")
	return cmd
}

func runRegistry(o registryFlags, out io.Writer) error {
	if o.evictEvery < time.Millisecond || o.cacheTime < 0 || o.cacheTime > 0 && o.cacheTime < time.Millisecond {
		return fmt.Errorf("--evict-every and --cache-time: out of range (wanted 1ms or more)")
	}
	m, err := machine.New(machine.Options{})
	if err != nil {
		return err
	}
	o.options.EvictEvery, o.options.CacheTime = o.evictEvery.Microseconds(), o.cacheTime.Microseconds()
	r := registry.New(m, o.options)
	addr, err := r.Open(o.listen)
	if err != nil {
		m.Stop()
		return fmt.Errorf("--listen: %w", err)
	}
	m.OnSignal(func(s machine.Signal) {
		if s == machine.Terminate {
			m.Stop()
		}
	})
	fmt.Fprintf(out, "registry at http://%s%s/apps\n", addr, r.Base())
	m.Run()
	return nil
}
