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

// Interval and limit of the retries while files are missing or incomplete, in microseconds.
const (
	filesRetryInterval = 50_000
	maxFilesWait       = 2_000_000
)

// errLogged stands for an error that was logged. Its text is empty, so main prints nothing more.
var errLogged = errors.New("")

// unfinishedError wraps an error about files that are missing or incomplete and may be complete in a moment.
type unfinishedError struct{ error }

// Unwrap returns the wrapped error.
func (e unfinishedError) Unwrap() error { return e.error }

// isUnfinished reports whether the error says that a file is missing or truncated, which happens briefly while it is replaced.
func isUnfinished(err error) bool {
	return errors.Is(err, fs.ErrNotExist) || errors.Is(err, io.ErrUnexpectedEOF)
}

// checkJSONComplete returns io.ErrUnexpectedEOF if a JSON text is empty or truncated.
func checkJSONComplete(raw []byte) error {
	d := json.NewDecoder(strings.NewReader(string(raw)))
	var value json.RawMessage
	err := d.Decode(&value)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF // the text is empty
	}
	return err
}

// daemonState is a state of the process. The states follow in this order; the states of the router (see package router) are all
// within daemonRunning.
type daemonState uint8

const (
	// daemonReadingFiles lasts from the start until the files have been read for the first time.
	daemonReadingFiles daemonState = iota
	// daemonWaitingForFiles lasts while a file is missing or incomplete, which happens briefly while it is replaced. The
	// files are read again until filesDeadline.
	daemonWaitingForFiles
	// daemonRunning lasts while there is a router.
	daemonRunning
	// daemonFailed is the state after an error, which ends the process.
	daemonFailed
)

// daemon runs on the machine's event loop. It reads the files, starts the router and forwards signals to it.
type daemon struct {
	m      *machine.Real
	logger *slog.Logger
	inputs inputs
	state  daemonState
	err    error // the error that ends the process; set in daemonFailed

	filesDeadline machine.Time // missing or incomplete files are read again until this time
	cfg           *router.Config
	warnings      []string
}

// begin starts to read the files. It is the first call on the event loop and runs once.
func (d *daemon) begin(s inputs) {
	d.inputs = s
	d.filesDeadline = d.m.Now() + maxFilesWait
	d.readFiles()
}

// readFiles reads the files outside the event loop. Then it starts the router, waits to read them again, or fails.
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

// waitForFiles is the transition to daemonWaitingForFiles. The daemon calls it each time a file is found missing or incomplete;
// the files are read again after filesRetryInterval. During the wait SIGTERM ends the process, and SIGHUP is ignored, since the files
// are read again anyway.
func (d *daemon) waitForFiles(cause error) {
	if d.state != daemonWaitingForFiles {
		d.state = daemonWaitingForFiles
		d.logger.Info(string(eventlog.StartProgress), "reason", "waiting-for-files", "cause", oneLine(cause))
	}
	d.m.OnSignal(func(signal machine.Signal) {
		if signal == machine.Terminate {
			d.m.Stop()
		}
	})
	d.m.At(d.m.Now()+filesRetryInterval, d.readFiles)
}

// start is the transition to daemonRunning, after the files have been read. It starts the router and forwards signals to it. If
// the router does not start, the process ends.
func (d *daemon) start() {
	d.cfg.Limits.Apply()
	r, err := router.Start(d.m, d.cfg)
	if err != nil { // a warning may name the setting that causes the error
		d.fail(errors.New(strings.Join(append(d.warnings, "starlingwinch: "+err.Error()), "\n")))
		return
	}
	d.state = daemonRunning
	r.OnFailure(func(err error) { d.fail(fmt.Errorf("starlingwinch: %w", err)) })
	logWarnings(d.logger, d.warnings)
	reloads := reloader{inputs: d.inputs, m: d.m, logger: d.logger, router: r}
	d.m.OnSignal(func(signal machine.Signal) {
		if signal == machine.HangUp {
			reloads.begin()
		} else {
			r.Drain(d.m.Stop)
		}
	})
}

// fail is the transition to daemonFailed, from any state. It logs each line of the error and ends the process. The lines go
// through the machine's log, because lines that are written directly could overtake lines that were logged earlier.
func (d *daemon) fail(err error) {
	d.state = daemonFailed
	for line := range strings.SplitSeq(err.Error(), "\n") {
		d.m.Log(line)
	}
	d.err = errLogged
	d.m.Stop()
}
