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

// membersFor is how long the sources have to answer, unless the command line says otherwise.
const membersFor = 3 * time.Second

func membersCommand() *cobra.Command {
	var s inputs
	wait := membersFor
	cmd := &cobra.Command{
		Use:   "members [--config FILE] [--operator FILE]... [--wait SPAN]",
		Short: "Tell what the sources of the list of caches say, and what a router would make of it",
		Long: "Asks the platform's discovery, a registry and a file, as the files say, until each has answered or the wait is over,\n" +
			"and prints one table of the sources and one of the caches. It serves nothing and changes nothing. Exits 1 where\n" +
			"a source did not answer.",
		Args: knownWords,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if wait < 10*time.Millisecond || wait > 10*time.Minute {
				return usageError{fmt.Sprintf("%s: --wait: out of range (%s, wanted 10ms to 10m)", cmd.CommandPath(), wait)}
			}
			return s.members(cmd.OutOrStdout(), cmd.ErrOrStderr(), wait)
		},
	}
	s.flags(cmd)
	cmd.Flags().DurationVar(&wait, "wait", membersFor, "`SPAN` in which the sources have to answer")
	return cmd
}

// members asks and prints.
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
	l := &listener{m: m}
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
			return fmt.Errorf("%s did not answer: %s", w.Name, firstOf(w.Reason, "no answer within "+wait.String()))
		}
	}
	return nil
}

// listener hears the sources until each has answered.
type listener struct {
	m       *machine.Real
	sources *endpointsource.Sources
}

// Publish implements sources.Owner. What it brings stands in the table too.
func (l *listener) Publish(endpoints.Publish) {}

// DiscoveryAnswered and Failed implement sources.Owner.
func (l *listener) DiscoveryAnswered() {}
func (l *listener) DiscoveryFailed()   {}

// DiscoveryCallEnded implements sources.Owner.
func (l *listener) DiscoveryCallEnded(string, int64, int) {}

// ProcessEvents ends the wait once all sources have spoken, and none waits for a second word.
func (l *listener) ProcessEvents() {
	_, words := l.sources.Table()
	for _, w := range words {
		if w.Age < 0 && w.UnavailableFor < 0 || w.Unconfirmed > 0 {
			return
		}
	}
	l.m.Stop()
}

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
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%s\n", w.Name, ago(w.Age), w.Caches, w.Up, w.Unconfirmed, state)
	}
	t.Flush()
}

func printCaches(out io.Writer, rows []endpoints.Row, now endpoints.Time) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "CACHE\tADDRESS\tZONE\tROUTER SEES\tWHY\tSOURCES SAY")
	for _, r := range rows {
		why := r.Reason
		if r.SuppressedUntil > now {
			why = fmt.Sprintf("%s; held down for %s", why, span(r.SuppressedUntil-now))
		}
		var says []string
		for _, w := range r.Claims {
			word := fmt.Sprintf("%s: %s", w.Source, firstOf(w.Reason, conditionWords[w.Status]))
			if w.LastSeenAge >= 0 {
				word += ", last heard of " + ago(w.LastSeenAge)
			}
			if w.Stale {
				word += " (old list)"
			}
			if w.Unconfirmed {
				word += " (left out, unconfirmed)"
			}
			says = append(says, word)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\n", r.ID, r.Address, r.Zone, conditionWords[r.Status], why,
			strings.Join(says, "; "))
	}
	t.Flush()
}

var conditionWords = map[decide.Status]string{decide.Serving: "takes work", decide.Draining: "drains", decide.Removed: "has gone"}

func firstOf(texts ...string) string {
	for _, text := range texts {
		if text != "" {
			return text
		}
	}
	return ""
}

func span(t endpoints.Time) string {
	return (time.Duration(t) * time.Microsecond).Round(100 * time.Millisecond).String()
}

func ago(t endpoints.Time) string {
	if t < 0 {
		return "never"
	}
	return span(t) + " ago"
}
