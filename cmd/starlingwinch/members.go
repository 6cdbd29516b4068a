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

// defaultMembersWait is how long the sources have to answer where no flag says otherwise.
const defaultMembersWait = 3 * time.Second

// membersCommand returns the command "members", which prints what the sources of the endpoint list say.
func membersCommand() *cobra.Command {
	var s inputs
	wait := defaultMembersWait
	cmd := &cobra.Command{
		Use:   "members [--config FILE] [--operator FILE]... [--wait SPAN]",
		Short: "Tell what the sources of the list of caches say, and what a router would make of it",
		Long: "Asks the platform's discovery, a registry and a file, as the files say, until each has answered or the wait is over,\n" +
			"and prints one table of the sources and one of the caches. It serves nothing and changes nothing. Exits 1 where\n" +
			"a source did not answer.",
		Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if wait < 10*time.Millisecond || wait > 10*time.Minute {
				return usageError{fmt.Sprintf("%s: --wait: out of range (%s, wanted 10ms to 10m)", cmd.CommandPath(), wait)}
			}
			return s.members(cmd.OutOrStdout(), cmd.ErrOrStderr(), wait)
		},
	}
	s.flags(cmd)
	cmd.Flags().DurationVar(&wait, "wait", defaultMembersWait, "`SPAN` in which the sources have to answer")
	return cmd
}

// members queries the sources and prints what they say. The error names a source that did not answer.
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
	m.Signals(func(sig machine.Signal) {
		if sig == machine.Terminate {
			m.Stop()
		}
	})
	m.Run()
	rows, words := l.sources.Table()
	printSources(out, words)
	fmt.Fprintln(out)
	printCaches(out, rows, m.Now())
	for _, w := range words {
		if w.Age < 0 || w.UnavailableFor >= 0 {
			return fmt.Errorf("%s did not answer: %s", w.Name, firstNonEmpty(w.Reason, "no answer within "+wait.String()))
		}
	}
	return nil
}

// sourceWaiter implements endpointsource.Owner: it stops the machine once each source has answered.
type sourceWaiter struct {
	m       *machine.Real
	sources *endpointsource.Sources
}

// Publish implements endpointsource.Owner. The table has what it brings.
func (l *sourceWaiter) Publish(endpoints.Publish) {}

// DiscoveryAnswered implements endpointsource.Owner.
func (l *sourceWaiter) DiscoveryAnswered() {}

// DiscoveryFailed implements endpointsource.Owner.
func (l *sourceWaiter) DiscoveryFailed(error) {}

// DiscoveryCallEnded implements endpointsource.Owner.
func (l *sourceWaiter) DiscoveryCallEnded(string, int64, int) {}

// ProcessEvents implements endpointsource.Owner: it ends the wait once all sources have answered or failed, and no removal
// waits to be confirmed.
func (l *sourceWaiter) ProcessEvents() {
	_, words := l.sources.Table()
	for _, w := range words {
		if w.Age < 0 && w.UnavailableFor < 0 || w.Unconfirmed > 0 {
			return
		}
	}
	l.m.Stop()
}

// printSources prints the table of sources.
func printSources(out io.Writer, words []endpoints.SourceRow) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "SOURCE\tANSWERED\tCACHES\tTAKE WORK\tHELD BACK\tSTATE")
	for _, w := range words {
		state := "answers"
		if w.UnavailableFor >= 0 {
			state = "lost: " + w.Reason
		} else if w.Age < 0 {
			state = "has not answered"
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%s\n", w.Name, formatAgo(w.Age), w.Caches, w.Up, w.Unconfirmed, state)
	}
	t.Flush()
}

// printCaches prints the table of caches.
func printCaches(out io.Writer, rows []endpoints.Row, now endpoints.Time) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "CACHE\tADDRESS\tZONE\tROUTER SEES\tWHY\tSOURCES SAY")
	for _, r := range rows {
		why := r.Reason
		if r.SuppressedUntil > now {
			why = fmt.Sprintf("%s; held down for %s", why, formatSpan(r.SuppressedUntil-now))
		}
		var says []string
		for _, w := range r.Claims {
			word := fmt.Sprintf("%s: %s", w.Source, firstNonEmpty(w.Reason, statusTexts[w.Status]))
			if w.LastSeenAge >= 0 {
				word += ", last heard of " + formatAgo(w.LastSeenAge)
			}
			if w.Stale {
				word += " (old list)"
			}
			if w.Unconfirmed {
				word += " (left out, unconfirmed)"
			}
			says = append(says, word)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\n", r.ID, r.Address, r.Zone, statusTexts[r.Status], why,
			strings.Join(says, "; "))
	}
	t.Flush()
}

// statusTexts are the statuses as the tables show them.
var statusTexts = map[decide.Status]string{decide.Serving: "takes work", decide.Draining: "drains", decide.Removed: "has gone"}

// firstNonEmpty returns the first text that is not empty.
func firstNonEmpty(texts ...string) string {
	for _, text := range texts {
		if text != "" {
			return text
		}
	}
	return ""
}

// formatSpan returns a span, rounded to a tenth of a second.
func formatSpan(t endpoints.Time) string {
	return (time.Duration(t) * time.Microsecond).Round(100 * time.Millisecond).String()
}

// formatAgo returns an age; below 0 it is unknown.
func formatAgo(t endpoints.Time) string {
	if t < 0 {
		return "never"
	}
	return formatSpan(t) + " ago"
}
