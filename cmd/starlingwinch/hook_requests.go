package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"starlingwinch/internal/configerror"
	"starlingwinch/internal/operatorconfig"
	"starlingwinch/internal/plugin"
)

const (
	maxRecordedBytes    = 64 << 20 // size of a file of recorded requests
	maxRecordedRequests = 1 << 20  // number of requests in a file
)

// recordedRequest is one line of a file of recorded requests.
type recordedRequest struct {
	Point    string  `json:"point"`
	Verb     string  `json:"verb"`
	Class    string  `json:"class"`
	Tenant   string  `json:"tenant"`
	Key      string  `json:"key"`
	TimeLeft float64 `json:"time_left_ms"`
	Size     int     `json:"size"`
	Value    string  `json:"value"`
	Outcome  string  `json:"outcome"`
	Took     float64 `json:"took_ms"`
	Caches   int     `json:"caches"`
	TakeWork int     `json:"take_work"`
	Now      float64 `json:"now_ms"`
}

// The values of the fields point and outcome. The indexes are the values of plugin.Point and plugin.Outcome.
var (
	recordedPoints   = []string{"", "request", "answered", "list"}
	recordedOutcomes = []string{"served", "refused", "failed"}
)

// readRequests reads a file of recorded requests. The parameter value says whether the calls hold the requests' values. The error
// names the line.
func readRequests(path string, value bool) ([]plugin.Call, error) {
	raw, err := operatorconfig.Read(path, maxRecordedBytes)
	if err != nil {
		return nil, err
	}
	var calls []plugin.Call
	for i, line := range bytes.Split(raw, []byte("\n")) {
		if line = bytes.TrimSpace(line); len(line) == 0 {
			continue
		}
		if len(calls) == maxRecordedRequests {
			return nil, fmt.Errorf("%s: more than %d requests", configerror.QuoteIfNeeded(path), maxRecordedRequests)
		}
		c, err := parseRequest(line, value)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %s", configerror.QuoteIfNeeded(path), i+1, configerror.QuoteIfNeeded(err.Error()))
		}
		calls = append(calls, c)
	}
	return calls, nil
}

// parseRequest parses one line of a file of recorded requests.
func parseRequest(line []byte, value bool) (plugin.Call, error) {
	d := json.NewDecoder(bytes.NewReader(line))
	d.DisallowUnknownFields()
	r := recordedRequest{TimeLeft: 1000, Outcome: recordedOutcomes[0]}
	if err := d.Decode(&r); err != nil {
		return plugin.Call{}, err
	}
	point := slices.Index(recordedPoints, r.Point)
	outcome := slices.Index(recordedOutcomes, r.Outcome)
	switch {
	case point < 0:
		return plugin.Call{}, fmt.Errorf("point: unknown value %.40q (wanted request, answered or list)", r.Point)
	case outcome < 0:
		return plugin.Call{}, fmt.Errorf("outcome: unknown value %.40q (wanted served, refused or failed)", r.Outcome)
	case r.Size < 0 || r.Caches < 0 || r.TakeWork < 0:
		return plugin.Call{}, fmt.Errorf("size, caches and take_work: below 0")
	}
	for _, ms := range []float64{r.TimeLeft, r.Took, r.Now} {
		if !(ms >= 0 && ms < 1e12) {
			return plugin.Call{}, fmt.Errorf("time_left_ms, took_ms and now_ms: out of range (%v, wanted 0 to 1e12)", ms)
		}
	}
	c := plugin.Call{
		Point:         plugin.Point(max(1, point)),
		Now:           plugin.Time(r.Now * 1000),
		Verb:          r.Verb,
		Class:         r.Class,
		Tenant:        r.Tenant,
		Key:           r.Key,
		Size:          r.Size,
		TimeLeft:      plugin.Time(r.TimeLeft * 1000),
		Outcome:       plugin.Outcome(outcome),
		Took:          plugin.Time(r.Took * 1000),
		Caches:        r.Caches,
		ServingCaches: r.TakeWork,
	}
	if r.Value != "" {
		c.Size = len(r.Value)
		if value {
			c.Value = []byte(r.Value)
		}
	}
	return c, nil
}
