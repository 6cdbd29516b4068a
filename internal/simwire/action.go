package simwire

import (
	"encoding/json"
	"fmt"
	"strconv"

	"starlingwinch/decide"
)

// exception reports a panic of the router as an action.
type exception struct {
	decide.Action
	text string
}

// appendAction appends an action in the simulator's format: one JSON object whose fields have a fixed order. Fields that the format
// does not have, such as WriteDeadline of decide.Send, are omitted. An action that the format does not have becomes an Exception.
func appendAction(b []byte, instance int64, action decide.Action) []byte {
	w := objectWriter{buffer: b}
	switch a := action.(type) {
	case decide.Send:
		w.begin("CallOut", instance)
		w.number("tid", a.ID)
		w.text("server", a.Cache)
		if a.AttemptDeadline != 0 {
			w.number("stopAt", a.AttemptDeadline)
		}
	case decide.Cancel:
		w.begin("StopAttempt", instance)
		w.number("tid", a.ID)
		w.number("sendNo", int64(a.Attempt))
	case decide.Reject:
		w.begin("Bounce", instance)
		w.number("tid", a.ID)
		if a.RetryAfter > 0 {
			w.number("notBeforeFor", a.RetryAfter)
		}
	case decide.Fail:
		w.begin("Lose", instance)
		w.number("tid", a.ID)
	case decide.SetTimer:
		w.begin("Arm", instance)
		w.number("cookie", a.Token)
		w.number("time", a.At)
	case decide.HealthCheck:
		w.begin("Sample", instance)
		w.text("server", a.Cache)
	case decide.CloseIdle:
		w.begin("DropConns", instance)
		w.text("server", a.Cache)
	case decide.Watch:
		w.begin("Follow", instance)
		w.boolean("enable", true)
	case decide.Log:
		w.begin("JournalLine", instance)
		w.text("reasonText", a.String())
	case exception:
		w.begin("Exception", instance)
		w.text("reasonText", a.text)
	default:
		w.begin("Exception", instance)
		w.text("reasonText", fmt.Sprintf("no wire form for %T", a))
	}
	return w.end()
}

// objectWriter writes an object with a single key, the name of the action. The key's value is an object whose first field is the
// instance.
type objectWriter struct{ buffer []byte }

func (w *objectWriter) begin(name string, instance int64) {
	w.buffer = append(w.buffer, `{"`...)
	w.buffer = append(w.buffer, name...)
	w.buffer = append(w.buffer, `":{"i":`...)
	w.buffer = strconv.AppendInt(w.buffer, instance, 10)
}

func (w *objectWriter) key(name string) {
	w.buffer = append(w.buffer, `,"`...)
	w.buffer = append(w.buffer, name...)
	w.buffer = append(w.buffer, `":`...)
}

func (w *objectWriter) number(name string, v int64) {
	w.key(name)
	w.buffer = strconv.AppendInt(w.buffer, v, 10)
}

func (w *objectWriter) boolean(name string, v bool) {
	w.key(name)
	w.buffer = strconv.AppendBool(w.buffer, v)
}

func (w *objectWriter) text(name, v string) {
	w.key(name)
	quoted, _ := json.Marshal(v) // encoding a string does not fail
	w.buffer = append(w.buffer, quoted...)
}

func (w *objectWriter) end() []byte { return append(w.buffer, "}}"...) }
