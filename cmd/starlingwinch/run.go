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

// kinds are the kinds of operators' files. Each subsystem that has one is listed here.
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
	maxConfigBytes = 16 << 20 // of the platform's file, whose endpoint list alone may have 8 MiB
	maxWarnings    = 20       // of one reading of the files that are logged
)

// inputs names the files that a router is started with.
type inputs struct {
	config   string   // the platform's file; "" for the one that BALANCER_CONFIG names
	operator []string // the operators' files
}

// runCommand returns the command "run", which serves.
func runCommand() *cobra.Command {
	var s inputs
	cmd := &cobra.Command{
		Use:   "run [--config FILE] [--operator FILE]...",
		Short: "Serve",
		Long: "Serves until SIGTERM, which drains. SIGHUP reads the files again: a new address of discovery and a new\n" +
			"folder of the state take effect at once, all else waits for a restart.",
		Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if cmd.Flags().Changed("config") && s.config == "" {
				return usageError{cmd.CommandPath() + ": --config: a FILE is wanted; see " + cmd.CommandPath() + " --help"}
			}
			return s.run()
		},
	}
	s.flags(cmd)
	return cmd
}

// flags adds the flags for the files to a command.
func (s *inputs) flags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&s.config, "config", "", "the platform's `FILE` (JSON); without it, the one that "+
		configVariable+" names")
	cmd.Flags().StringArrayVar(&s.operator, "operator", nil, "an operators' `FILE` (TOML), such as deploy/limits.toml; "+
		"may stand several times")
}

// run serves until a signal ends it.
func (s inputs) run() error {
	// The machine is made before the files are read: a signal that came meanwhile would otherwise end the process.
	k, err := kernel()
	if err != nil {
		return fmt.Errorf("starlingwinch: %w", err)
	}
	m, err := machine.New(machine.Options{Log: log.Writer(), Kernel: k})
	if err != nil {
		return fmt.Errorf("starlingwinch: %w", err)
	}
	// Without a handler, the first write to a log whose reader has gone would end the program.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGPIPE)
	d := daemon{m: m, logger: structuredlog.New(m), state: daemonReadingFiles}
	m.Post(func() { d.begin(s) })
	m.Run()
	return d.err
}

// reloader reads the files again at each SIGHUP, beside the loop, and has the router take them over. It reads one set of files
// at a time: of two that were read side by side the older might be taken over last.
type reloader struct {
	inputs inputs
	m      machine.Machine
	logger *slog.Logger
	router *router.Router

	isReading bool // files are being read
	isQueued  bool // a signal has come since the reading began: the files are read again after it
}

// begin reads the files, or has them read again after the reading that is under way. Each SIGHUP calls it.
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

// apply has the router take over what was read. Where the files are not valid, the router keeps its configuration.
func (l *reloader) apply(next *router.Config, warnings []string, err error) {
	if err != nil {
		l.logger.Error("reload failed", "cause", oneLine(err))
		return
	}
	logWarnings(l.logger, warnings)
	l.router.Reload(next)
}

// logWarnings logs what is wrong with the files and does not keep the router from serving.
func logWarnings(logger *slog.Logger, warnings []string) {
	for i, warning := range warnings {
		if i == maxWarnings {
			logger.Warn("more configuration warnings; starlingwinch check prints them", "count", len(warnings)-i)
			return
		}
		logger.Warn("configuration warning", "detail", warning)
	}
}

// oneLine returns an error's text, which may have several lines, as one.
func oneLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", "; ") }

// load reads all files. The error names all that is wrong with any of them, a line each.
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

// loadOperatorFiles reads the operators' files, of which there may be one of each kind. isUnfinishedFile says that one may
// exist, or be complete, in a moment.
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
				"one file of a kind is wanted", file.Kind, configerror.Plain(first))})
		}
		pathOfKind[file.Kind] = path
		files = append(files, file)
	}
	return files, isUnfinishedFile
}

// applyOperatorFiles puts the operators' files, or their defaults, into the configuration.
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

// loadPlatformFile reads the platform's file. What the router can serve with is a warning, all else a fault. isUnfinishedFile
// says that the file may exist, or be complete, in a moment.
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
	found.In(path)
	if cfg, err = router.ParseConfig(raw); err == nil {
		return cfg, found.Lines(), false
	}
	if found.Empty() { // the check lacks what the router refuses
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
		return nil, fmt.Errorf("%s: too large (wanted at most %d bytes)", configerror.Plain(path), maxConfigBytes)
	}
	return raw, nil
}

// addFault adds the faults of one file, or the error that kept it from being read.
func addFault(faults *configerror.List, err error) {
	var found *configerror.List
	if errors.As(err, &found) {
		faults.Join(*found)
		return
	}
	faults.Add(configerror.Error{Text: "starlingwinch: " + err.Error()})
}
