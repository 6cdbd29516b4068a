package lab

import (
	"context"
	"embed"
	"fmt"
	"io"
	"path"
	"slices"
	"strings"

	"starlingwinch/internal/testbench/lab/script"
)

// Scenario is a measurement or a check of its own, which `lab run NAME` runs.
type Scenario struct {
	Name, Doc string
	// Run returns its line, `figure value figure value ...`, and whether every figure met its mark.
	// What it compares it prints before.
	Run func(ctx context.Context, o RunOptions) (line string, ok bool, err error)
}

// RunOptions are what the command line says to a scenario.
type RunOptions struct {
	Out     io.Writer
	Long    bool   // take longer than the usual minute
	Times   int    // how often to do what is measured; 0 for the usual number
	Against string // a program to compare with, such as the router of the commit before
	Args    []string
}

var scenarios []Scenario

// Register adds a scenario. It is called as a program starts.
func Register(s Scenario) {
	if _, taken := Find(s.Name); taken {
		panic("lab: two scenarios are named " + s.Name)
	}
	scenarios = append(scenarios, s)
	slices.SortFunc(scenarios, func(a, b Scenario) int { return strings.Compare(a.Name, b.Name) })
}

// Scenarios lists all by name.
func Scenarios() []Scenario { return slices.Clone(scenarios) }

// Find finds a scenario.
func Find(name string) (Scenario, bool) {
	i := slices.IndexFunc(scenarios, func(s Scenario) bool { return s.Name == name })
	if i < 0 {
		return Scenario{}, false
	}
	return scenarios[i], true
}

// The scripts of hard cases, each the story of one trouble.
//
//go:embed scripts/*.toml
var hard embed.FS

// Scripts lists the scripts of hard cases by name.
func Scripts() []string {
	entries, err := hard.ReadDir("scripts")
	if err != nil {
		panic(err) // they are a part of the program
	}
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".toml"))
	}
	return names
}

// Script is a script of a hard case, with its first line of comment.
func Script(name string) (s script.Script, doc string, err error) {
	file := path.Join("scripts", path.Base(name)+".toml")
	raw, err := hard.ReadFile(file)
	if err != nil {
		return s, "", fmt.Errorf("no script is named %q", name)
	}
	first, _, _ := strings.Cut(string(raw), "\n")
	s, err = script.Parse(file, raw)
	return s, strings.TrimPrefix(first, "# "), err
}
