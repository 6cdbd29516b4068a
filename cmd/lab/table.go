package main

import (
	"fmt"
	"io"
	"os"
	"strings"

	"starlingwinch/internal/testbench/lab/loopback"
)

// table shows the state of a run: in place on a terminal, else as a line a second.
type table struct {
	out      io.Writer
	terminal bool
	lines    int // that were drawn last
	seen     int // broken rules that were told
}

func newTable(out io.Writer) *table {
	t := &table{out: out}
	if f, ok := out.(*os.File); ok {
		info, err := f.Stat()
		t.terminal = err == nil && info.Mode()&os.ModeCharDevice != 0 && os.Getenv("TERM") != "dumb"
	}
	return t
}

func (t *table) show(s loopback.Snapshot) error {
	text := t.line(s)
	if t.terminal {
		text = t.whole(s)
		if t.lines > 0 {
			text = fmt.Sprintf("\x1b[%dA\x1b[J", t.lines) + text
		}
		t.lines = strings.Count(text, "\n")
	}
	for _, f := range s.Broken[t.seen:] {
		text += "RULE BROKEN " + f.Violation.String() + "\n"
		t.lines = 0 // it stays
	}
	t.seen = len(s.Broken)
	_, err := io.WriteString(t.out, text)
	return err
}

// line is the state in one line.
func (t *table) line(s loopback.Snapshot) string {
	up, flight, reads, hits := 0, 0, 0, 0.0
	var wrong []string
	for i, c := range s.Caches {
		flight += c.InFlight
		reads += c.Reads
		hits += c.Hits * float64(c.Reads)
		if c.State == "up" {
			up++
		} else if len(wrong) < 6 {
			wrong = append(wrong, fmt.Sprintf("c%d %s", i+1, c.State))
		}
	}
	text := fmt.Sprintf("%4.0f s  %d caches up, %d in flight, hits %.0f %%; served %d (%d in time) refused %d failed %d",
		float64(s.At)/1e6, up, flight, 100*hits/float64(max(reads, 1)), s.Last.Served, s.Last.InTime, s.Last.Refused,
		s.Last.Failed)
	for _, r := range s.Routers {
		if r.State != "serving" {
			wrong = append(wrong, r.Name+" "+r.State)
		}
	}
	if len(wrong) > 0 {
		text += "; " + strings.Join(wrong, ", ")
	}
	return text + "\n"
}

// whole is the state as a table.
func (t *table) whole(s loopback.Snapshot) string {
	var b strings.Builder
	fmt.Fprintf(&b, "\n%-4s %-11s %-10s %-24s %9s %6s %6s %8s\n", "", "cache", "zone", "state", "in flight",
		"open", "hits", "median")
	for i, c := range s.Caches {
		fmt.Fprintf(&b, "%-4s %-11s %-10s %-24.24s %9d %6d %4.0f %% %5d ms\n", fmt.Sprintf("c%d", i+1), c.Name, c.Zone,
			c.State, c.InFlight, c.Connections, 100*c.Hits, c.Median/1000)
	}
	for _, r := range s.Routers {
		fmt.Fprintf(&b, "%-4s %-11s %s\n", "", r.Name, r.State)
	}
	all := s.Clients
	over := all.OnTime + all.Late + all.Rejected + all.Failed + all.Lost + all.Left
	fmt.Fprintf(&b, "%3.0f s  clients: served %d, refused %d, failed %d, in time %.1f %%; the last second: %d, %d, %d\n",
		float64(s.At)/1e6, all.OnTime+all.Late, all.Rejected, all.Failed+all.Lost+all.Left,
		100*float64(all.OnTime)/float64(max(over, 1)), s.Last.Served, s.Last.Refused, s.Last.Failed)
	return b.String()
}
