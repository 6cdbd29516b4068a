// Package simwire runs routers on the simulator's line protocol: batches of messages come in, and each is answered by one line
// with the actions that the routers want. It is an edge: the simulator's words end here, in the struct tags and tables of
// message.go and in action.go. The package translates and checks forms; it makes no decisions.
package simwire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"

	"starlingwinch/decide"
	"starlingwinch/internal/settings"
)

// bufferBytes is the size of the buffers of input and output.
const bufferBytes = 1 << 20

// Host runs the routers of one process, which share nothing else. Use NewHost.
type Host struct {
	routers map[int64]*decide.Router    // by instance
	lists   map[int64][]decide.Endpoint // endpoint lists by the simulator's id
	line    int                         // number of the line that was read last
}

// NewHost returns a Host without routers.
func NewHost() *Host {
	return &Host{routers: map[int64]*decide.Router{}, lists: map[int64][]decide.Endpoint{}}
}

// LineError says which line of the input is wrong, and how.
type LineError struct {
	Line  int // counted from 1
	Cause error
}

// Error implements error.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Cause) }

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Cause }

var (
	errEmptyLine       = errors.New("empty line, want a batch")
	errIncompleteBatch = errors.New("a batch needs now, batch and msgs")
	errNoInstance      = errors.New("i: no instance")
)

// Run answers each line of in with one line on out, until in ends. The error of a malformed line is a *LineError.
func (h *Host) Run(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, bufferBytes)
	writer := bufio.NewWriterSize(out, bufferBytes)
	for {
		line, readErr := reader.ReadBytes('\n')
		if len(line) > 0 {
			if err := h.answer(line, writer); err != nil {
				return err
			}
		}
		if readErr == io.EOF {
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}

// answer writes the reply to one line.
func (h *Host) answer(line []byte, writer *bufio.Writer) error {
	h.line++
	if len(bytes.TrimSpace(line)) == 0 {
		return &LineError{h.line, errEmptyLine}
	}
	reply, err := h.batch(line)
	if err != nil {
		return &LineError{h.line, err}
	}
	if _, err := writer.Write(reply); err != nil {
		return err
	}
	return writer.Flush()
}

// batch is one line of the input.
type batch struct {
	Now      *int64              `json:"now"` // microseconds
	Number   *int64              `json:"batch"`
	Messages *[]*json.RawMessage `json:"msgs"`
}

// batch decodes one line, handles its messages in order and encodes the reply.
func (h *Host) batch(line []byte) ([]byte, error) {
	var b batch
	if err := json.Unmarshal(line, &b); err != nil {
		return nil, settings.DescribeJSONError(err)
	}
	if b.Now == nil || b.Number == nil || b.Messages == nil {
		return nil, errIncompleteBatch
	}
	reply := strconv.AppendInt([]byte(`{"batch":`), *b.Number, 10)
	reply = append(reply, `,"decisions":[`...)
	first := true
	for i, raw := range *b.Messages {
		if raw == nil {
			return nil, fmt.Errorf("message %d is null", i)
		}
		instance, actions, err := h.handle(*b.Now, *raw)
		if err != nil {
			return nil, fmt.Errorf("message %d: %w", i, err)
		}
		for _, action := range actions {
			if _, ok := action.(decide.CancelTimer); ok {
				continue // the protocol has no message for it; a timer that comes all the same does nothing
			}
			if !first {
				reply = append(reply, ',')
			}
			first = false
			reply = appendAction(reply, instance, action)
		}
	}
	return append(reply, "]}\n"...), nil
}

// handle handles one message. It returns the instance that the message is for, and the actions that it wants.
func (h *Host) handle(now int64, raw []byte) (instance int64, actions []decide.Action, err error) {
	name, body, err := split(raw)
	if err != nil {
		return 0, nil, err
	}
	if name == messageDefineList {
		return 0, nil, h.defineList(body)
	}
	var m message
	if err := json.Unmarshal(body, &m); err != nil {
		return 0, nil, fmt.Errorf("%s: %w", name, settings.DescribeJSONError(err))
	}
	if m.Instance == nil {
		return 0, nil, fmt.Errorf("%s: %w", name, errNoInstance)
	}
	instance = *m.Instance
	if name == messageNewInstance {
		return instance, nil, h.start(instance, &m)
	}
	router := h.routers[instance]
	if router == nil {
		return 0, nil, fmt.Errorf("%s: instance %d was never started", name, instance)
	}
	if name == messageExit {
		delete(h.routers, instance)
		return instance, nil, nil
	}
	event, err := h.event(name, &m)
	if err != nil {
		return 0, nil, err
	}
	return instance, handleEvent(router, now, event), nil
}

// start starts a router, in place of an earlier one of that instance.
func (h *Host) start(instance int64, m *message) error {
	set, _, err := settings.Parse(m.Info)
	if err != nil {
		return fmt.Errorf("%s: %w", messageNewInstance, err)
	}
	router, err := decide.New(set, m.Seed)
	if err != nil {
		delete(h.routers, instance)
		return fmt.Errorf("%s: %w", messageNewInstance, err)
	}
	h.routers[instance] = router
	return nil
}

// handleEvent passes an event to a router. A panic becomes an exception, so that the simulator can report it.
func handleEvent(router *decide.Router, now int64, event decide.Event) (actions []decide.Action) {
	defer func() {
		if cause := recover(); cause != nil {
			actions = []decide.Action{exception{text: fmt.Sprint(cause)}}
		}
	}()
	return router.Handle(now, event)
}

// split takes an object with a single key apart: the name of a message, and its content.
func split(raw []byte) (string, json.RawMessage, error) {
	var object map[string]json.RawMessage
	if err := json.Unmarshal(raw, &object); err != nil {
		return "", nil, settings.DescribeJSONError(err)
	}
	if len(object) != 1 {
		return "", nil, fmt.Errorf("want an object with one key, got %d", len(object))
	}
	var name string
	var body json.RawMessage
	for name, body = range object { // any order: there is one
	}
	if len(body) == 0 || body[0] != '{' {
		return "", nil, fmt.Errorf("%s: want an object", name)
	}
	if !knownMessages[name] {
		return "", nil, fmt.Errorf("unknown message %q", name)
	}
	return name, body, nil
}
