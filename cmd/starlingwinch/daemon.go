package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"strings"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/router"
)

// A file that is being replaced may not be there for a moment, or not be whole. A start reads the files again until then.
const (
	filesPause  = 50_000
	filesWithin = 2_000_000
)

// errLogged is an error that the log has told already.
var errLogged = errors.New("")

// errUnfinished is an error for files that may be there, or be whole, in a moment.
type errUnfinished struct{ error }

func (e errUnfinished) Unwrap() error { return e.error }

// isUnfinished reports whether a file could not be read, or not be parsed, for something that may pass.
func isUnfinished(err error) bool {
	return errors.Is(err, fs.ErrNotExist) || errors.Is(err, io.ErrUnexpectedEOF)
}

// wholeJSON is io.ErrUnexpectedEOF where a JSON text ends too early.
func wholeJSON(raw []byte) error {
	d := json.NewDecoder(strings.NewReader(string(raw)))
	var value json.RawMessage
	err := d.Decode(&value)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF // there is nothing at all
	}
	return err
}

// daemon is the router on the machine's loop, from the reading of its files on.
type daemon struct {
	m        *machine.Real
	inputs   inputs
	until    machine.Time // the files are read again up to then
	said     bool         // ... which stands in the log
	cfg      *router.Config
	warnings []string
	err      error // why the process ends, other than for a signal
}

// begin reads the files, beside the loop, and starts the router.
func (d *daemon) begin(s inputs) {
	d.inputs, d.until = s, d.m.Now()+filesWithin
	d.read()
}

func (d *daemon) read() {
	var err error
	d.m.Work(func() { d.cfg, d.warnings, err = d.inputs.load() }, func() {
		switch {
		case err == nil:
			d.start()
		case errors.As(err, new(errUnfinished)) && d.m.Now() < d.until:
			d.readAgain(err)
		default:
			d.fail(err)
		}
	})
}

// readAgain reads the files again in a moment. Until then SIGTERM ends the process, and SIGHUP asks for what is done anyway.
func (d *daemon) readAgain(err error) {
	if !d.said {
		d.said = true
		d.m.Log(fmt.Sprintf("level=INFO msg=start reason=waiting-for-files cause=%q", strings.ReplaceAll(err.Error(), "\n", "; ")))
	}
	d.m.Signals(func(sig machine.Signal) {
		if sig == machine.Terminate {
			d.m.Stop()
		}
	})
	d.m.At(d.m.Now()+filesPause, d.read)
}

// start starts the router, and has signals reach it.
func (d *daemon) start() {
	d.cfg.Limits.Apply()
	r, err := router.Start(d.m, d.cfg)
	if err != nil { // what was only a warning may name the cause in the file's own words
		d.fail(errors.New(strings.Join(append(d.warnings, "starlingwinch: "+err.Error()), "\n")))
		return
	}
	r.OnFailure(func(err error) { d.fail(fmt.Errorf("starlingwinch: %w", err)) })
	warn(d.m, d.warnings)
	reloads := reloader{inputs: d.inputs, m: d.m, router: r}
	d.m.Signals(func(sig machine.Signal) {
		if sig == machine.HangUp {
			reloads.begin()
		} else {
			r.Drain(d.m.Stop)
		}
	})
}

// fail ends the process for an error, which is the last word of the log: on a way of its own it would overtake lines that were
// logged earlier, and have neither their time nor their process.
func (d *daemon) fail(err error) {
	for line := range strings.SplitSeq(err.Error(), "\n") {
		d.m.Log(line)
	}
	d.err = errLogged
	d.m.Stop()
}
