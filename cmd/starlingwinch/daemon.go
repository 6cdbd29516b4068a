package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"strings"

	"starlingwinch/internal/eventlog"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/router"
)

// Bounds of the wait for files that are being replaced, in microseconds.
const (
	filesRetryInterval = 50_000
	maxFilesWait       = 2_000_000
)

// errLogged stands for an error that is in the log already: nothing more is printed.
var errLogged = errors.New("")

// unfinishedError wraps an error about files that may exist, or be complete, in a moment.
type unfinishedError struct{ error }

// Unwrap returns the wrapped error.
func (e unfinishedError) Unwrap() error { return e.error }

// isUnfinished reports whether a file is missing or ends too early, as it does for a moment while it is being replaced.
func isUnfinished(err error) bool {
	return errors.Is(err, fs.ErrNotExist) || errors.Is(err, io.ErrUnexpectedEOF)
}

// checkJSONComplete returns io.ErrUnexpectedEOF where a JSON text ends too early.
func checkJSONComplete(raw []byte) error {
	d := json.NewDecoder(strings.NewReader(string(raw)))
	var value json.RawMessage
	err := d.Decode(&value)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF // there is nothing at all
	}
	return err
}

// daemonState is a phase in the life of the process. The states follow one another in this order; the router's own states
// (see package router) lie within daemonRunning.
type daemonState uint8

const (
	// daemonReadingFiles holds from the start until the files were read for the first time.
	daemonReadingFiles daemonState = iota
	// daemonWaitingForFiles holds while a file is missing or incomplete, as it is for a moment while it is being replaced.
	// The files are read again until filesDeadline.
	daemonWaitingForFiles
	// daemonRunning holds while there is a router.
	daemonRunning
	// daemonFailed holds once the process ends for an error.
	daemonFailed
)

// daemon is the process on the machine's loop: it reads the files, starts the router, and passes signals on to it.
type daemon struct {
	m      *machine.Real
	logger *slog.Logger
	inputs inputs
	state  daemonState
	err    error // why the process ends, once it has failed

	filesDeadline machine.Time // until then, files that are missing or incomplete are read again
	cfg           *router.Config
	warnings      []string
}

// begin begins to read the files, once, as the first thing on the loop.
func (d *daemon) begin(s inputs) {
	d.inputs = s
	d.filesDeadline = d.m.Now() + maxFilesWait
	d.readFiles()
}

// readFiles reads the files beside the loop, and goes on to the start, to another reading or to the end.
func (d *daemon) readFiles() {
	var err error
	d.m.Work(func() { d.cfg, d.warnings, err = d.inputs.load() }, func() {
		switch {
		case err == nil:
			d.start()
		case errors.As(err, new(unfinishedError)) && d.m.Now() < d.filesDeadline:
			d.waitForFiles(err)
		default:
			d.fail(err)
		}
	})
}

// waitForFiles is the transition to daemonWaitingForFiles. It happens when a file is missing or incomplete, and again at each
// reading that finds it so; the next reading follows after filesRetryInterval. Until then SIGTERM ends the process, and SIGHUP
// changes nothing, as it asks for another reading.
func (d *daemon) waitForFiles(cause error) {
	if d.state != daemonWaitingForFiles {
		d.state = daemonWaitingForFiles
		d.logger.Info(string(eventlog.StartProgress), "reason", "waiting-for-files", "cause", oneLine(cause))
	}
	d.m.Signals(func(signal machine.Signal) {
		if signal == machine.Terminate {
			d.m.Stop()
		}
	})
	d.m.At(d.m.Now()+filesRetryInterval, d.readFiles)
}

// start is the transition to daemonRunning, once the files are read: it starts the router, and has signals reach it. An
// error of the router's start ends the process.
func (d *daemon) start() {
	d.cfg.Limits.Apply()
	r, err := router.Start(d.m, d.cfg)
	if err != nil { // what was only a warning may explain the error in the file's own terms
		d.fail(errors.New(strings.Join(append(d.warnings, "starlingwinch: "+err.Error()), "\n")))
		return
	}
	d.state = daemonRunning
	r.OnFailure(func(err error) { d.fail(fmt.Errorf("starlingwinch: %w", err)) })
	logWarnings(d.logger, d.warnings)
	reloads := reloader{inputs: d.inputs, m: d.m, logger: d.logger, router: r}
	d.m.Signals(func(signal machine.Signal) {
		if signal == machine.HangUp {
			reloads.begin()
		} else {
			r.Drain(d.m.Stop)
		}
	})
}

// fail is the transition to daemonFailed, from any state. It logs the error, a line each, and ends the process. The lines go
// through the machine's log as they are: on a way of their own they could overtake lines that were logged before.
func (d *daemon) fail(err error) {
	d.state = daemonFailed
	for line := range strings.SplitSeq(err.Error(), "\n") {
		d.m.Log(line)
	}
	d.err = errLogged
	d.m.Stop()
}
