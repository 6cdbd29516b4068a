// Package simwire runs routers on the simulator's line protocol. Each input line is a batch of messages; the reply is one line with
// the actions of the routers. The simulator's names stand only in this package: in the struct tags and tables of message.go, and
// in action.go. The package translates and validates messages; it makes no routing decisions.
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

// bufferBytes is the size of each of the input and output buffers.
const bufferBytes = 1 << 20

// Host runs the routers of one process. The routers share no state but the defined endpoint lists. Use NewHost to create a Host.
type Host struct {
	routers map[int64]*decide.Router    // by instance
	lists   map[int64][]decide.Endpoint // endpoint lists by the simulator's list ID
	line    int                         // number of the last line read
}

// NewHost returns a Host without routers.
func NewHost() *Host {
	return &Host{routers: map[int64]*decide.Router{}, lists: map[int64][]decide.Endpoint{}}
}

// LineError is the error of a malformed input line.
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

// Run answers each line of in with one line on out until in ends. It returns a *LineError for a malformed line.
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

// answer processes one line and writes the reply.
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

// batch is the content of one input line.
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
				continue // the protocol has no message to cancel a timer; a cancelled timer that expires has no effect
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

// handle processes one message. It returns the instance that the message addresses and the actions of that instance's router.
func (h *Host) handle(now int64, raw []byte) (instance int64, actions []decide.Action, err error) {
	name, body, err := splitMessage(raw)
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

// start creates the router of an instance, and replaces an earlier router of the same instance.
func (h *Host) start(instance int64, m *message) error {
	routerSettings, _, err := settings.Parse(m.Info)
	if err != nil {
		return fmt.Errorf("%s: %w", messageNewInstance, err)
	}
	router, err := decide.New(routerSettings, m.Seed)
	if err != nil {
		delete(h.routers, instance)
		return fmt.Errorf("%s: %w", messageNewInstance, err)
	}
	h.routers[instance] = router
	return nil
}

// handleEvent passes an event to a router. It converts a panic to an exception action, so that the simulator can report the panic.
func handleEvent(router *decide.Router, now int64, event decide.Event) (actions []decide.Action) {
	defer func() {
		if cause := recover(); cause != nil {
			actions = []decide.Action{exception{text: fmt.Sprint(cause)}}
		}
	}()
	return router.Handle(now, event)
}

// splitMessage returns the name and the content of a message, which is an object with the name as its only key.
func splitMessage(raw []byte) (string, json.RawMessage, error) {
	var object map[string]json.RawMessage
	if err := json.Unmarshal(raw, &object); err != nil {
		return "", nil, settings.DescribeJSONError(err)
	}
	if len(object) != 1 {
		return "", nil, fmt.Errorf("want an object with one key, got %d", len(object))
	}
	var name string
	var body json.RawMessage
	for name, body = range object { // any order: there is exactly one key
	}
	if len(body) == 0 || body[0] != '{' {
		return "", nil, fmt.Errorf("%s: want an object", name)
	}
	if !knownMessages[name] {
		return "", nil, fmt.Errorf("unknown message %q", name)
	}
	return name, body, nil
}
