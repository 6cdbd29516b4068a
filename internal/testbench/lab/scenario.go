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

// Scenario is a measurement or a check that `lab run NAME` runs.
type Scenario struct {
	Name, Doc string
	// Run returns the result line, `figure value figure value ...`, and whether every figure met its threshold.
	// Run prints the values that it compares before it returns.
	Run func(ctx context.Context, o RunOptions) (line string, ok bool, err error)
}

// RunOptions are the command-line options of a scenario.
type RunOptions struct {
	Out     io.Writer
	Long    bool   // run longer than the usual minute
	Times   int    // number of repetitions of the measurement; 0 means the default
	Against string // a program to compare with, such as the router of the previous commit
	Args    []string
}

var scenarios []Scenario

// Register adds a scenario. Programs call it during initialization. It panics if the name is taken.
func Register(s Scenario) {
	if _, taken := Find(s.Name); taken {
		panic("lab: two scenarios are named " + s.Name)
	}
	scenarios = append(scenarios, s)
	slices.SortFunc(scenarios, func(a, b Scenario) int { return strings.Compare(a.Name, b.Name) })
}

// Scenarios returns all scenarios, sorted by name.
func Scenarios() []Scenario { return slices.Clone(scenarios) }

// Find returns the scenario with the given name.
func Find(name string) (Scenario, bool) {
	i := slices.IndexFunc(scenarios, func(s Scenario) bool { return s.Name == name })
	if i < 0 {
		return Scenario{}, false
	}
	return scenarios[i], true
}

// hard holds the scripts of hard cases, each of which reproduces one kind of failure.
//
//go:embed scripts/*.toml
var hard embed.FS

// Scripts returns the names of the scripts of hard cases.
func Scripts() []string {
	entries, err := hard.ReadDir("scripts")
	if err != nil {
		panic(err) // the scripts are embedded in the program
	}
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".toml"))
	}
	return names
}

// Script returns the script of a hard case, and the first line of its comment.
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
