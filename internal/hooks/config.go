package hooks

import (
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"starlingwinch/internal/configerror"
	"starlingwinch/internal/hooks/policy"
	"starlingwinch/internal/operatorconfig"
	"starlingwinch/internal/plugin"
	"starlingwinch/internal/plugin/worker"
)

// File is the decoded form of an operators' file of the kind "hooks".
type File struct {
	Folder          string              `toml:"folder" min:"1" max:"4096" doc:"where the hooks' files are"`
	MaxWaitFraction float64             `toml:"wait_share" min:"0.001" max:"0.9" doc:"of the time that a client waits, a request waits for all hooks together at most"`
	MaxWait         time.Duration       `toml:"wait_most" min:"1ms" max:"10s" doc:"and no longer than that"`
	MaxMemory       operatorconfig.Size `toml:"memory_most" min:"1MiB" max:"64GiB" doc:"of all hooks and their workers together; twice that while a new set loads"`
	Defaults        Defaults            `toml:"each"`
	Hooks           []Entry             `toml:"hook"`
}

// Defaults holds the values for hooks whose entries leave them unset.
type Defaults struct {
	OnFailure   string              `toml:"on_failure" words:"pass,refuse" doc:"what becomes of a request that a hook could not judge"`
	RetryAfter  time.Duration       `toml:"refuse_wait" min:"0s" max:"1m" doc:"for which a client stays away that is refused so"`
	Isolation   string              `toml:"isolation" words:"process,inside" doc:"a process of its own, which can be killed; or a goroutine of the router, for WebAssembly that is trusted"`
	Time        time.Duration       `toml:"time" min:"100us" max:"1s" doc:"of a call"`
	LoadTime    time.Duration       `toml:"load_time" min:"10ms" max:"30s" doc:"of load, and of unload"`
	Steps       int                 `toml:"steps" min:"0" max:"1000000000" doc:"of a script in a call, or calls of functions in a module; 0 for no bound"`
	Depth       int                 `toml:"depth" min:"0" max:"10000" doc:"calls within calls of a module; 0 for no bound"`
	Memory      operatorconfig.Size `toml:"memory" min:"1MiB" max:"1GiB" doc:"of the hook's own data; its worker takes 12MiB more at most"`
	Queue       int                 `toml:"queue" min:"1" max:"4096" doc:"calls that wait for the hook or run"`
	CPUFraction float64             `toml:"share" min:"0.001" max:"1" doc:"of one core, over time"`
	LogLines    int                 `toml:"log_lines" min:"0" max:"16" doc:"of the log, in a call"`
	LogLineSize int                 `toml:"log_line" min:"16" max:"512" doc:"bytes of a line"`
}

// Entry configures one hook of a File. Hooks are called in the order of their entries.
type Entry struct {
	File       string   `toml:"file" min:"1" max:"255" doc:"its file in the folder; .wasm for WebAssembly, .star for a script"`
	Points     []string `toml:"points" max:"3" doc:"it is asked at these alone: request, answered, list; empty for all that it has"`
	Classes    []string `toml:"classes" max:"64" doc:"it is asked for requests of these classes alone; empty for all"`
	WantsValue bool     `toml:"wants_value" doc:"it is handed the value of a request"`

	OnFailure   string              `toml:"on_failure" words:"pass,refuse" doc:"as in each; so are the others that follow"`
	RetryAfter  time.Duration       `toml:"refuse_wait" min:"0s" max:"1m" doc:"0s for that of each"`
	Isolation   string              `toml:"isolation" words:"process,inside" doc:"empty for that of each"`
	Time        time.Duration       `toml:"time" min:"0s" max:"1s" doc:"0s for that of each"`
	LoadTime    time.Duration       `toml:"load_time" min:"0s" max:"30s" doc:"0s for that of each"`
	Steps       int                 `toml:"steps" min:"0" max:"1000000000" doc:"0 for that of each"`
	Memory      operatorconfig.Size `toml:"memory" min:"0B" max:"1GiB" doc:"0B for that of each"`
	Queue       int                 `toml:"queue" min:"0" max:"4096" doc:"0 for that of each"`
	CPUFraction float64             `toml:"share" min:"0" max:"1" doc:"0 for that of each"`
}

// maxHooks is the maximum number of hooks in a set. Each hook may need a process.
const maxHooks = 16

// scriptEngine is the name of the engine whose hooks can't run inside the router.
const scriptEngine = "script"

// Values of isolation and on_failure that differ from the defaults.
const (
	isolationInside = "inside"
	onFailureRefuse = "refuse"
)

// DefaultFile returns the values that apply where no file sets them. The default has no hooks.
func DefaultFile() File {
	budget := plugin.DefaultBudget
	return File{
		Folder:          "hooks",
		MaxWaitFraction: 0.1,
		MaxWait:         50 * time.Millisecond,
		MaxMemory:       128 << 20,
		Defaults: Defaults{
			OnFailure:   "pass",
			RetryAfter:  time.Second,
			Isolation:   "process",
			Time:        time.Duration(budget.Time) * time.Microsecond,
			LoadTime:    time.Duration(budget.LoadTime) * time.Microsecond,
			Steps:       int(budget.Steps),
			Depth:       budget.Depth,
			Memory:      operatorconfig.Size(budget.Memory),
			Queue:       64,
			CPUFraction: 0.25,
			LogLines:    budget.LogLines,
			LogLineSize: budget.LogLineSize,
		},
	}
}

// Kind defines the kind "hooks" of operators' files.
var Kind = operatorconfig.Define("hooks", "the operators' own hooks, and what they may use", DefaultFile(), checkFile)

// pointNames maps the names that an entry may list to points.
var pointNames = map[string]plugin.Point{
	"request":  plugin.OnRequest,
	"answered": plugin.Answered,
	"list":     plugin.ListChanged,
}

// checkFile checks the constraints that span several values or that a range cannot express.
func checkFile(f File, report operatorconfig.ReportFunc) {
	if len(f.Hooks) > maxHooks {
		report("hook", "%d hooks (wanted at most %d)", len(f.Hooks), maxHooks)
	}
	total := operatorconfig.Size(0)
	names := map[string]bool{}
	for i, e := range f.Hooks {
		if e.File == "" {
			report(fmt.Sprintf("hook[%d]", i), "file name is missing")
			continue
		}
		h := f.hook(e)
		checkEntry(i, e, h, names[h.Name], report)
		names[h.Name] = true
		total += operatorconfig.Size(h.Budget.Memory) + worker.MemoryOverhead
	}
	if total > f.MaxMemory {
		report("memory_most", "less than the total memory limit of the hooks (%s, wanted at least %s)", f.MaxMemory, total)
	}
}

// checkEntry checks one entry that names a file. duplicate reports whether an earlier entry has the same hook name.
func checkEntry(i int, e Entry, h Hook, duplicate bool, report operatorconfig.ReportFunc) {
	key := func(name string) string { return fmt.Sprintf("hook[%d].%s", i, name) }
	switch {
	case e.File != filepath.Base(e.File) || strings.HasPrefix(e.File, "."):
		report(key("file"), "not a plain file name (%.64q)", e.File)
	case engineOf(e.File) == nil:
		report(key("file"), "unknown file extension (%.64q, wanted %s)", e.File, fileExtensions())
	case duplicate:
		report(key("file"), "duplicate hook name (%.64q)", h.Name)
	}
	for _, point := range e.Points {
		if _, known := pointNames[point]; !known {
			report(key("points"), "unknown point %.40q (wanted request, answered or list)", point)
		}
	}
	if h.Inside && h.Engine == scriptEngine {
		report(key("isolation"), "a script can't be limited inside the router (inside, wanted process)")
	}
	if h.Inside && (h.Budget.Depth == 0 || h.Budget.Steps == 0) {
		report(key("isolation"), "each.depth and steps must limit a module that runs inside the router (0)")
	}
}

// engineOf returns the engine for the extension of a file, or nil if the extension is unknown.
func engineOf(file string) plugin.Engine {
	for _, e := range worker.Engines {
		if e.FileExtension() == filepath.Ext(file) {
			return e
		}
	}
	return nil
}

// fileExtensions returns the file extensions of all engines, formatted for an error message.
func fileExtensions() string {
	var all []string
	for _, e := range worker.Engines {
		all = append(all, e.FileExtension())
	}
	return configerror.OneOf(all)
}

// hookName returns the name of a hook, which is the name of its file without the extension.
func hookName(file string) string { return strings.TrimSuffix(file, filepath.Ext(file)) }

// hook returns the hook that an entry configures, with the defaults applied and without the code.
func (f File) hook(e Entry) Hook {
	defaults := f.Defaults
	microseconds := func(d time.Duration) plugin.Time { return d.Microseconds() }
	h := Hook{
		Hook: policy.Hook{
			Name:        hookName(e.File),
			Classes:     e.Classes,
			RetryAfter:  microseconds(firstSet(e.RetryAfter, defaults.RetryAfter)),
			Time:        microseconds(firstSet(e.Time, defaults.Time)),
			LoadTime:    microseconds(firstSet(e.LoadTime, defaults.LoadTime)),
			Queue:       firstSet(e.Queue, defaults.Queue),
			CPUFraction: firstSet(e.CPUFraction, defaults.CPUFraction),
		},
		WantsValue: e.WantsValue,
		Inside:     firstSet(e.Isolation, defaults.Isolation) == isolationInside,
		Budget: plugin.Budget{
			Steps:       int64(firstSet(e.Steps, defaults.Steps)),
			Depth:       defaults.Depth,
			Memory:      int64(firstSet(e.Memory, defaults.Memory)),
			LogLines:    defaults.LogLines,
			LogLineSize: defaults.LogLineSize,
		},
	}
	h.Budget.Time, h.Budget.LoadTime = h.Time, h.LoadTime
	if firstSet(e.OnFailure, defaults.OnFailure) == onFailureRefuse {
		h.OnFailure = policy.RejectOnFailure
	}
	for _, name := range e.Points {
		h.Points = h.Points.With(pointNames[name])
	}
	if engine := engineOf(e.File); engine != nil {
		h.Engine = engine.Name()
	}
	return h
}

// firstSet returns value, or defaultValue if value is zero.
func firstSet[T comparable](value, defaultValue T) T {
	var zero T
	if value == zero {
		return defaultValue
	}
	return value
}

// Read reads the code of all hooks and returns their configuration. Read blocks on the disk and starts no workers. The error
// names each file that can't be read.
func (f File) Read() (Config, error) {
	c := Config{MaxWaitFraction: f.MaxWaitFraction, MaxWait: f.MaxWait.Microseconds()}
	var faults configerror.List
	for _, e := range f.Hooks {
		h := f.hook(e)
		path := filepath.Join(f.Folder, e.File)
		var err error
		if h.Code, err = operatorconfig.Read(path, plugin.MaxCode); err != nil {
			faults.Add(configerror.Error{File: path, Text: configerror.QuoteIfNeeded(err.Error())})
			continue
		}
		c.Hooks = append(c.Hooks, h)
	}
	return c, faults.Err()
}
