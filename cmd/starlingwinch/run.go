package main

import (
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"starlingwinch/internal/configerror"
	"starlingwinch/internal/endpoints"
	"starlingwinch/internal/eureka"
	"starlingwinch/internal/eventlog"
	"starlingwinch/internal/gossip"
	"starlingwinch/internal/hooks"
	"starlingwinch/internal/limits"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/operatorconfig"
	"starlingwinch/internal/retrystorm"
	"starlingwinch/internal/router"
	"starlingwinch/internal/settings"
	"starlingwinch/internal/snapshotstore"
	"starlingwinch/internal/structuredlog"
)

// kinds lists the kinds of operators' files, one for each subsystem that has such a file.
var kinds = operatorconfig.Registry{
	limits.Kind,
	endpoints.Kind,
	eureka.Kind,
	hooks.Kind,
	snapshotstore.Kind,
	retrystorm.Kind,
	gossip.Kind,
	eventlog.Kind,
}

const (
	configVariable = "BALANCER_CONFIG"
	maxConfigBytes = 16 << 20 // size of the platform's file; its endpoint list alone may have 8 MiB
	maxWarnings    = 20       // number of warnings that are logged each time the files are read
)

// inputs holds the paths of the configuration files that a router is started with.
type inputs struct {
	config   string   // the platform's file; if "", the file that BALANCER_CONFIG names
	operator []string // the operators' files
}

// runCommand returns the command "run", which serves.
func runCommand() *cobra.Command {
	var s inputs
	cmd := &cobra.Command{
		Use:   "run [--config FILE] [--operator FILE]...",
		Short: "Serve clients' requests",
		Long: "Serves until SIGTERM, at which the router drains and exits. At SIGHUP it reads the files again: a new address\n" +
			"of discovery and a new snapshot folder take effect at once, all other changes at the next restart.",
		Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if cmd.Flags().Changed("config") && s.config == "" {
				return usageError{cmd.CommandPath() + ": --config: a FILE is required; see " + cmd.CommandPath() + " --help"}
			}
			return s.run()
		},
	}
	s.flags(cmd)
	return cmd
}

// flags adds the flags that name the configuration files to a command.
func (s *inputs) flags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&s.config, "config", "", "the platform's `FILE` (JSON); by default the file that "+
		configVariable+" names")
	cmd.Flags().StringArrayVar(&s.operator, "operator", nil, "an operators' `FILE` (TOML), such as deploy/limits.toml; "+
		"may be repeated")
}

// run serves until a signal ends it.
func (s inputs) run() error {
	// The machine is created before the files are read, because a signal during the reading would otherwise end the process.
	k, err := kernel()
	if err != nil {
		return fmt.Errorf("starlingwinch: %w", err)
	}
	m, err := machine.New(machine.Options{Log: log.Writer(), Kernel: k})
	if err != nil {
		return fmt.Errorf("starlingwinch: %w", err)
	}
	// Without a handler for SIGPIPE, the first write to a log pipe without a reader would end the program.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGPIPE)
	d := daemon{m: m, logger: structuredlog.New(m), state: daemonReadingFiles}
	m.Post(func() { d.begin(s) })
	m.Run()
	return d.err
}

// reloader reads the files again at each SIGHUP, outside the event loop, and applies them to the router. It runs one reload at a
// time, because of two concurrent reloads the one with the older files might be applied last.
type reloader struct {
	inputs inputs
	m      machine.Machine
	logger *slog.Logger
	router *router.Router

	isReading bool // files are being read
	isQueued  bool // a signal arrived during the reading, so the files are read again afterwards
}

// begin handles a SIGHUP: it starts a reload, or queues one if a reload is running.
func (l *reloader) begin() {
	if l.isReading {
		l.isQueued = true
		l.logger.Info("reload queued", "trigger", "SIGHUP")
		return
	}
	l.isReading = true
	var next *router.Config
	var warnings []string
	var err error
	l.m.Work(func() { next, warnings, err = l.inputs.load() }, func() {
		l.isReading = false
		l.apply(next, warnings, err)
		if l.isQueued {
			l.isQueued = false
			l.begin()
		}
	})
}

// apply passes the new configuration to the router. If the files are not valid, the router keeps its configuration.
func (l *reloader) apply(next *router.Config, warnings []string, err error) {
	if err != nil {
		l.logger.Error("reload failed", "cause", oneLine(err))
		return
	}
	logWarnings(l.logger, warnings)
	l.router.Reload(next)
}

// logWarnings logs the faults in the files with which the router can still serve, at most maxWarnings of them.
func logWarnings(logger *slog.Logger, warnings []string) {
	for i, warning := range warnings {
		if i == maxWarnings {
			logger.Warn("more configuration warnings; starlingwinch check prints them", "count", len(warnings)-i)
			return
		}
		logger.Warn("configuration warning", "detail", warning)
	}
}

// oneLine returns the text of an error with its lines joined by semicolons.
func oneLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", "; ") }

// load reads all files. The error lists the faults of all files, one on each line.
func (s inputs) load() (*router.Config, []string, error) {
	var faults configerror.List
	cfg, warnings, isPlatformUnfinished := s.loadPlatformFile(&faults)
	files, isOperatorUnfinished := s.loadOperatorFiles(&faults)
	if err := faults.Err(); err != nil {
		if isPlatformUnfinished || isOperatorUnfinished {
			err = unfinishedError{err}
		}
		return nil, nil, err
	}
	if err := applyOperatorFiles(cfg, files); err != nil {
		addFault(&faults, err)
		return nil, nil, faults.Err()
	}
	cfg.Build = buildDigest()
	return cfg, warnings, nil
}

// loadOperatorFiles reads the operators' files, at most one of each kind. isUnfinishedFile reports that a file is missing or
// incomplete and may be complete in a moment.
func (s inputs) loadOperatorFiles(faults *configerror.List) (files []operatorconfig.File, isUnfinishedFile bool) {
	pathOfKind := map[string]string{}
	for _, path := range s.operator {
		file, err := kinds.Load(path)
		if err != nil {
			isUnfinishedFile = isUnfinishedFile || isUnfinished(err)
			addFault(faults, err)
			continue
		}
		if first, isTaken := pathOfKind[file.Kind]; isTaken {
			faults.Add(configerror.Error{File: path, Field: "kind", Text: fmt.Sprintf("%s is also the kind of %s; "+
				"one file of a kind is allowed", file.Kind, configerror.QuoteIfNeeded(first))})
		}
		pathOfKind[file.Kind] = path
		files = append(files, file)
	}
	return files, isUnfinishedFile
}

// applyOperatorFiles sets the configuration's fields from the operators' files, or from the defaults of kinds without a file.
func applyOperatorFiles(cfg *router.Config, files []operatorconfig.File) (err error) {
	cfg.OperatorLimits = operatorconfig.Get[limits.Limits](files, limits.Kind)
	cfg.Endpoints = operatorconfig.Get[endpoints.Config](files, endpoints.Kind)
	cfg.Gossip = operatorconfig.Get[gossip.OperatorConfig](files, gossip.Kind)
	cfg.Events = operatorconfig.Get[eventlog.Config](files, eventlog.Kind)
	cfg.RetryStorm = operatorconfig.Get[retrystorm.Config](files, retrystorm.Kind)
	cfg.Eureka = operatorconfig.Get[eureka.Config](files, eureka.Kind)
	cfg.SnapshotStore = operatorconfig.Get[snapshotstore.Config](files, snapshotstore.Kind)
	cfg.Hooks, err = loadHooks(files, int(math.Ceil(cfg.Limits.Cores)))
	if err != nil {
		return err
	}
	cfg.Limits, err = cfg.Limits.Without(cfg.Hooks)
	return err
}

// loadPlatformFile reads the platform's file. Problems with which the router can serve are returned as warnings, all others are
// added to faults. isUnfinishedFile reports that the file is missing or incomplete and may be complete in a moment.
func (s inputs) loadPlatformFile(faults *configerror.List) (cfg *router.Config, warnings []string, isUnfinishedFile bool) {
	path := s.config
	if path == "" {
		path = os.Getenv(configVariable)
	}
	if path == "" {
		faults.Add(configerror.Error{Text: "starlingwinch: no configuration: " + configVariable +
			" is not set, and there is no --config"})
		return nil, nil, false
	}
	raw, err := readConfig(path)
	if err != nil {
		faults.Add(configerror.Error{Text: "starlingwinch: configuration: " + err.Error()})
		return nil, nil, isUnfinished(err)
	}
	found := settings.Check(raw)
	found.SetFile(path)
	if cfg, err = router.ParseConfig(raw); err == nil {
		return cfg, found.Lines(), false
	}
	if found.Empty() { // settings.Check has no rule for the error that the router reports
		found.Add(configerror.Error{File: path, Text: err.Error()})
	}
	faults.Join(found)
	return nil, nil, isUnfinished(checkJSONComplete(raw))
}

// readConfig reads the platform's file, which may be a pipe.
func readConfig(path string) ([]byte, error) {
	var f *os.File
	err := machine.RetryShortage(func() (err error) {
		f, err = os.Open(path)
		return err
	})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, maxConfigBytes+1))
	if err != nil {
		return nil, err
	}
	if len(raw) > maxConfigBytes {
		return nil, fmt.Errorf("%s: too large (wanted at most %d bytes)", configerror.QuoteIfNeeded(path), maxConfigBytes)
	}
	return raw, nil
}

// addFault adds the faults of one file, or the error if the file could not be read.
func addFault(faults *configerror.List, err error) {
	var found *configerror.List
	if errors.As(err, &found) {
		faults.Join(*found)
		return
	}
	faults.Add(configerror.Error{Text: "starlingwinch: " + err.Error()})
}
