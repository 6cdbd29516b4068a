package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"starlingwinch/internal/testbench/lab"
	"starlingwinch/internal/testbench/lab/script"
)

func shrinkCommand() *cobra.Command {
	var c chosen
	file, rule := "", ""
	cmd := &cobra.Command{
		Use:   "shrink",
		Short: "Cut a script that breaks a rule down to what matters",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if !c.named() {
				return usageError{errors.New("shrink: --seed or --script is wanted")}
			}
			s, err := c.script()
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return shrink(ctx, cmd, s, rule, file)
		},
	}
	c.flags(cmd)
	cmd.Flags().StringVar(&file, "out", "", "write the script to this `file` instead of standard output")
	cmd.Flags().StringVar(&rule, "rule", "", "the `rule` that is to break; else the first that does")
	return cmd
}

func shrink(ctx context.Context, cmd *cobra.Command, s script.Script, rule, file string) error {
	o := lab.Options{Node: router}
	r, err := lab.Run(s, o)
	if err != nil {
		return err
	}
	if rule == "" {
		rule = r.First()
	}
	if rule == "" || !r.Breaks(rule) {
		return errors.New("shrink: the script breaks no such rule")
	}
	stderr := cmd.ErrOrStderr()
	h := lab.Shrinking{Rule: rule, Options: o, Tried: func(c script.Script, breaks bool) {
		if breaks {
			fmt.Fprintf(stderr, "%q still breaks with %d faults in %s\n", rule, len(c.Faults), c.Length)
		}
	}}
	small, runs := h.Shrink(ctx, s)
	fmt.Fprintf(stderr, "%d faults of %d are left, after %d runs\n", len(small.Faults), len(s.Faults), runs)
	text := script.Text(small)
	if file == "" {
		_, err = fmt.Fprint(cmd.OutOrStdout(), text)
		return err
	}
	return os.WriteFile(file, []byte(text), 0o644)
}
