package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"starlingwinch/decide"
	"starlingwinch/internal/endpoints"
	"starlingwinch/internal/endpointsource"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/router"
)

// defaultMembersWait is the default of --wait: the time that the sources have to answer.
const defaultMembersWait = 3 * time.Second

// membersCommand returns the command "members", which prints the answers of the endpoint list's sources.
func membersCommand() *cobra.Command {
	var s inputs
	wait := defaultMembersWait
	cmd := &cobra.Command{
		Use:   "members [--config FILE] [--operator FILE]... [--wait SPAN]",
		Short: "Print the caches that each source of the endpoint list reports, and the list that a router would use",
		Long: "Queries the configured sources (the platform's discovery, a registry, a file) until each has answered or the wait is\n" +
			"over, and prints a table of the sources and a table of the caches. Serves and changes nothing. Exits 1 if a source\n" +
			"did not answer.",
		Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if wait < 10*time.Millisecond || wait > 10*time.Minute {
				return usageError{fmt.Sprintf("%s: --wait: out of range (%s, wanted 10ms to 10m)", cmd.CommandPath(), wait)}
			}
			return s.members(cmd.OutOrStdout(), cmd.ErrOrStderr(), wait)
		},
	}
	s.flags(cmd)
	cmd.Flags().DurationVar(&wait, "wait", defaultMembersWait, "wait at most `SPAN` for the sources to answer")
	return cmd
}

// members queries the sources and prints their answers. The error names a source that did not answer.
func (s inputs) members(out, errs io.Writer, wait time.Duration) error {
	cfg, warnings, err := s.load()
	if err != nil {
		return err
	}
	for _, w := range warnings {
		fmt.Fprintln(errs, "warning: "+w)
	}
	m, err := machine.New(machine.Options{Log: io.Discard})
	if err != nil {
		return fmt.Errorf("starlingwinch: %w", err)
	}
	l := &sourceWaiter{m: m}
	if l.sources, err = endpointsource.New(m, router.EndpointSources(cfg), l); err != nil {
		m.Stop()
		return fmt.Errorf("starlingwinch: %w", err)
	}
	l.sources.Start()
	m.At(m.Now()+wait.Microseconds(), m.Stop)
	m.OnSignal(func(sig machine.Signal) {
		if sig == machine.Terminate {
			m.Stop()
		}
	})
	m.Run()
	rows, sources := l.sources.Table()
	printSources(out, sources)
	fmt.Fprintln(out)
	printCaches(out, rows, m.Now())
	for _, w := range sources {
		if w.Age < 0 || w.UnavailableFor >= 0 {
			return fmt.Errorf("%s did not answer: %s", w.Name, firstNonEmpty(w.Reason, "no answer within "+wait.String()))
		}
	}
	return nil
}

// sourceWaiter implements endpointsource.Owner. It stops the machine after each source has answered or failed.
type sourceWaiter struct {
	m       *machine.Real
	sources *endpointsource.Sources
}

// Publish implements endpointsource.Owner. It does nothing, as the command prints the sources' table.
func (l *sourceWaiter) Publish(endpoints.Publish) {}

// DiscoveryAnswered implements endpointsource.Owner. It does nothing.
func (l *sourceWaiter) DiscoveryAnswered() {}

// DiscoveryFailed implements endpointsource.Owner. It does nothing.
func (l *sourceWaiter) DiscoveryFailed(error) {}

// DiscoveryCallEnded implements endpointsource.Owner. It does nothing.
func (l *sourceWaiter) DiscoveryCallEnded(string, int64, int) {}

// ProcessEvents implements endpointsource.Owner. It ends the wait after all sources have answered or failed and no removal waits
// for confirmation.
func (l *sourceWaiter) ProcessEvents() {
	_, sources := l.sources.Table()
	for _, w := range sources {
		if w.Age < 0 && w.UnavailableFor < 0 || w.Unconfirmed > 0 {
			return
		}
	}
	l.m.Stop()
}

// printSources prints the state of each source as a table.
func printSources(out io.Writer, sources []endpoints.SourceRow) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "SOURCE\tANSWERED\tCACHES\tTAKE WORK\tHELD BACK\tSTATE")
	for _, w := range sources {
		state := "answers"
		if w.UnavailableFor >= 0 {
			state = "lost: " + w.Reason
		} else if w.Age < 0 {
			state = "has not answered"
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%s\n", w.Name, formatAgo(w.Age), w.Endpoints, w.Serving, w.Unconfirmed, state)
	}
	t.Flush()
}

// printCaches prints the status of each cache, with its reason and the claims of the sources, as a table.
func printCaches(out io.Writer, rows []endpoints.Row, now endpoints.Time) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "CACHE\tADDRESS\tZONE\tROUTER SEES\tWHY\tSOURCES SAY")
	for _, r := range rows {
		why := r.Reason
		if r.SuppressedUntil > now {
			why = fmt.Sprintf("%s; held down for %s", why, formatSpan(r.SuppressedUntil-now))
		}
		var claims []string
		for _, w := range r.Claims {
			claim := fmt.Sprintf("%s: %s", w.Source, firstNonEmpty(w.Reason, statusTexts[w.Status]))
			if w.LastSeenAge >= 0 {
				claim += ", last heard of " + formatAgo(w.LastSeenAge)
			}
			if w.Stale {
				claim += " (old list)"
			}
			if w.Unconfirmed {
				claim += " (left out, unconfirmed)"
			}
			claims = append(claims, claim)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\n", r.ID, r.Address, r.Zone, statusTexts[r.Status], why,
			strings.Join(claims, "; "))
	}
	t.Flush()
}

// statusTexts maps a cache's status to its text in the tables.
var statusTexts = map[decide.Status]string{decide.Serving: "takes work", decide.Draining: "drains", decide.Removed: "has gone"}

// firstNonEmpty returns the first text that is not empty, or "".
func firstNonEmpty(texts ...string) string {
	for _, text := range texts {
		if text != "" {
			return text
		}
	}
	return ""
}

// formatSpan formats a duration, rounded to a tenth of a second.
func formatSpan(t endpoints.Time) string {
	return (time.Duration(t) * time.Microsecond).Round(100 * time.Millisecond).String()
}

// formatAgo formats an age. It returns "never" for a negative age, which stands for an unknown one.
func formatAgo(t endpoints.Time) string {
	if t < 0 {
		return "never"
	}
	return formatSpan(t) + " ago"
}
