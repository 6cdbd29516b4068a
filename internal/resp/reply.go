package resp

import (
	"bytes"
	"math"
	"strconv"
	"strings"

	"starlingwinch/decide"
)

// replyParts is the number of elements of a reply with a value: the value, a word or null, and a load report or null.
const replyParts = 3

// Reply is a reply of a cache.
type Reply struct {
	Result     decide.Result
	Value      []byte // bulk string in wire format, for the client; a slice of the buffer that was parsed
	Miss       bool   // whether the cache had to fetch the value
	Pong       bool   // whether the reply answers a health check
	LoadReport decide.LoadReport
}

// Next parses the reply at the start of b. used is the number of bytes that the reply takes, or 0 if the reply is
// incomplete. Valid replies are an array of replyParts elements, -BUSY, -ERR and +PONG. After any other input, Next returns
// an error, and later bytes on the connection cannot be matched to requests.
func (r *Reply) Next(b []byte) (used int, err error) {
	*r = Reply{Result: decide.Errored, LoadReport: decide.LoadReport{Utilization: -1}}
	if len(b) == 0 {
		return 0, nil
	}
	if b[0] != arrayPrefix {
		return r.parseLineReply(b)
	}
	count, valueStart, err := parseLength(b, 0, arrayPrefix, replyParts)
	switch {
	case err != nil || valueStart == 0:
		return 0, err
	case count != replyParts:
		return 0, ErrReply
	}
	value, valueEnd, err := parseBulk(b, valueStart, MaxValueBytes)
	if err != nil || valueEnd == 0 {
		return 0, err
	}
	if value == nil {
		return 0, ErrReply // null does not serve a request
	}
	word, next, err := parseBulk(b, valueEnd, MaxWordBytes)
	if err != nil || next == 0 {
		return 0, err
	}
	report, used, err := parseBulk(b, next, MaxWordBytes)
	if err != nil || used == 0 {
		return 0, err
	}
	r.Result, r.Value = decide.Served, b[valueStart:valueEnd:valueEnd]
	r.Miss = string(word) == "miss" || string(word) == "pending"
	r.LoadReport = parseLoadReport(string(report))
	return used, nil
}

// parseLineReply parses a reply that is an error or a simple string.
func (r *Reply) parseLineReply(b []byte) (used int, err error) {
	if b[0] != errorPrefix && b[0] != simplePrefix {
		return 0, ErrReply
	}
	text, used, err := parseLine(b, maxLineBytes)
	if err != nil || used == 0 {
		return 0, err
	}
	words := strings.Fields(string(text))
	switch {
	case !bytes.HasSuffix(b[:used], []byte(lineEnd)) || len(words) == 0:
		return 0, ErrReply
	case string(text) == "+PONG":
		r.Pong = true
	case words[0] == "-BUSY":
		r.Result = decide.Rejected
	case words[0] != "-ERR":
		return 0, ErrReply
	}
	if len(words) > 1 {
		r.LoadReport = parseLoadReport(words[len(words)-1])
	}
	return used, nil
}

// parseLoadReport parses a cache's load report. Unknown and malformed fields are skipped.
func parseLoadReport(text string) decide.LoadReport {
	report := decide.LoadReport{Utilization: -1}
	for field := ""; text != ""; {
		field, text, _ = strings.Cut(text, ",")
		name, number, _ := strings.Cut(field, "=")
		value, err := strconv.ParseFloat(number, 64)
		if err != nil || !(value >= 0) || math.IsInf(value, 0) { // the negated comparison also excludes NaN
			continue
		}
		switch name {
		case "busy", "util":
			report.Utilization = value
		case "fail_rate", "eps":
			report.ErrorRate = value
		}
	}
	return report
}
