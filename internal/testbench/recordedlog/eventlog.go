package recordedlog

import (
	"slices"
	"strconv"
	"strings"
	"unicode"
)

// recordedEvents are the names of events as they were recorded, by their names now.
var recordedEvents = map[string]string{
	"request-rejected":  "request-refused",
	"connection-closed": "client-closed",
	"discovery-call":    "list",
}

// recordedReasons are the reasons of events as they were recorded, by the event's name and the reason's name now. Each file of
// this package may add those of one package of the program, with addReasons.
var recordedReasons = map[string]map[string]string{}

// addReasons registers the recorded names of reasons of one event.
func addReasons(event string, reasons map[string]string) {
	if recordedReasons[event] != nil {
		panic("recordedlog: two tables of reasons for " + event)
	}
	recordedReasons[event] = reasons
}

func init() {
	addReasons("request-rejected", decisionReasons)
	addReasons("request-failed", decisionReasons)
}

// decisionReasons are the recorded names of decide.Reason.
var decisionReasons = map[string]string{
	"retry too late":         "retry past its use",
	"overloaded":             "more than caches serve",
	"endpoint ejected":       "its cache is left alone",
	"no capacity":            "no room at caches",
	"origin protected":       "spares the store",
	"retry budget exhausted": "no budget to try again",
	"no endpoint":            "no cache for it",
	"deadline exceeded":      "out of time",
}

// The line with all counters: its message, and its last field now and as it was recorded.
const (
	countersMessage      = "counters"
	droppedLines         = "lines-dropped"
	recordedDroppedLines = "lines-left-out"
)

// field is one field of a line, in its place.
type field struct{ key, value string }

// eventLine returns a line of package eventlog as it was recorded, with its fields in the recorded order. ok says that it is
// such a line.
func eventLine(line string) (recorded string, ok bool) {
	fields, ok := splitFields(line)
	if !ok || len(fields) < 3 || fields[0].key != "level" || fields[1].key != "msg" {
		return "", false
	}
	message, rest := fields[1].value, fields[2:]
	switch {
	case message == countersMessage:
		recordCounters(rest)
	case rest[0].key == "reason" && (recordedEvents[message] != "" || recordedReasons[message] != nil):
		fields[1].value = recordedEvent(message)
		rest[0].value = recordedReason(message, rest[0].value)
	default:
		return "", false
	}
	return joinFields(fields), true
}

// recordCounters gives counters their recorded names and order. The last field is no counter.
func recordCounters(fields []field) {
	last := len(fields) - 1
	for i := range fields[:last] {
		event, reason, _ := strings.Cut(fields[i].key, ".")
		fields[i].key = recordedEvent(event) + "." + recordedReason(event, reason)
	}
	slices.SortFunc(fields[:last], func(a, b field) int { return strings.Compare(a.key, b.key) })
	if fields[last].key == droppedLines {
		fields[last].key = recordedDroppedLines
	}
}

// recordedEvent returns an event's recorded name.
func recordedEvent(name string) string {
	if recorded := recordedEvents[name]; recorded != "" {
		return recorded
	}
	return name
}

// recordedReason returns an event's reason as it was recorded.
func recordedReason(event, reason string) string {
	if recorded := recordedReasons[event][reason]; recorded != "" {
		return recorded
	}
	return reason
}

// splitFields reads a line of slog's text format, whose keys may be quoted, and keeps the order of its fields.
func splitFields(line string) (fields []field, ok bool) {
	for rest := line; rest != ""; {
		var f field
		f.key, rest, ok = cutKey(rest)
		if !ok {
			return nil, false
		}
		f.value, rest, ok = cutValue(rest)
		if !ok {
			return nil, false
		}
		fields = append(fields, f)
	}
	return fields, len(fields) > 0
}

// cutKey takes one key off the front of the text, with the equals sign behind it.
func cutKey(text string) (key, rest string, ok bool) {
	if !strings.HasPrefix(text, `"`) {
		key, rest, ok = strings.Cut(text, "=")
		return key, rest, ok && !strings.ContainsAny(key, ` "`)
	}
	quoted, err := strconv.QuotedPrefix(text)
	if err != nil {
		return "", "", false
	}
	key, err = strconv.Unquote(quoted)
	rest, ok = strings.CutPrefix(text[len(quoted):], "=")
	return key, rest, ok && err == nil
}

// joinFields writes fields as slog's text format does.
func joinFields(fields []field) string {
	var line strings.Builder
	for i, f := range fields {
		if i > 0 {
			line.WriteByte(' ')
		}
		line.WriteString(quoteIfNeeded(f.key))
		line.WriteByte('=')
		line.WriteString(quoteIfNeeded(f.value))
	}
	return line.String()
}

// quoteIfNeeded quotes a key or value where slog's text format does.
func quoteIfNeeded(text string) string {
	isPlain := text != ""
	for _, r := range text {
		if r == ' ' || r == '"' || r == '=' || r == unicode.ReplacementChar || !unicode.IsPrint(r) {
			isPlain = false
		}
	}
	if isPlain {
		return text
	}
	return strconv.Quote(text)
}
