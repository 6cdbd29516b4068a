// Package simwire carries the simulator's line protocol to the decision module and
// back. It translates and checks shapes; it makes no decisions.
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

// Host runs the routers of one process. They share nothing but the process.
type Host struct {
	routers map[int64]*decide.Router
	rosters map[int64][]decide.Endpoint
	line    int
}

// NewHost returns a Host without routers.
func NewHost() *Host {
	return &Host{routers: map[int64]*decide.Router{}, rosters: map[int64][]decide.Endpoint{}}
}

// Run answers each line of in with one line on out, until in ends. The error of
// a malformed line names the line.
func (h *Host) Run(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<20)
	w := bufio.NewWriterSize(out, 1<<20)
	for {
		line, err := r.ReadBytes('\n')
		if len(bytes.TrimSpace(line)) > 0 {
			h.line++
			reply, perr := h.batch(line)
			if perr != nil {
				return fmt.Errorf("line %d: %w", h.line, perr)
			}
			if _, werr := w.Write(reply); werr != nil {
				return werr
			}
			if werr := w.Flush(); werr != nil {
				return werr
			}
		} else if len(line) > 0 {
			h.line++
			return fmt.Errorf("line %d: empty line, want a batch", h.line)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

type batch struct {
	Now   *int64              `json:"now"`
	Batch *int64              `json:"batch"`
	Msgs  *[]*json.RawMessage `json:"msgs"`
}

// batch decodes one line, feeds its events in order and encodes the reply.
func (h *Host) batch(line []byte) ([]byte, error) {
	var b batch
	if err := json.Unmarshal(line, &b); err != nil {
		return nil, settings.DescribeJSONError(err)
	}
	if b.Now == nil || b.Batch == nil || b.Msgs == nil {
		return nil, errors.New("a batch needs now, batch and msgs")
	}
	buf := append(strconv.AppendInt([]byte(`{"batch":`), *b.Batch, 10), `,"decisions":[`...)
	first := true
	for k, raw := range *b.Msgs {
		if raw == nil {
			return nil, fmt.Errorf("message %d is null", k)
		}
		inst, acts, err := h.message(*b.Now, *raw)
		if err != nil {
			return nil, fmt.Errorf("message %d: %w", k, err)
		}
		for _, a := range acts {
			if _, ok := a.(decide.CancelTimer); ok {
				continue // the wire has no word for it: what fires all the same does nothing
			}
			if !first {
				buf = append(buf, ',')
			}
			first = false
			buf = appendAction(buf, inst, a)
		}
	}
	return append(buf, "]}\n"...), nil
}

// exception stands for a panic in the module.
type exception struct {
	decide.Action
	text string
}

// message handles one event and returns the instance and what it wants done.
func (h *Host) message(now int64, raw []byte) (inst int64, acts []decide.Action, err error) {
	name, body, err := split(raw)
	if err != nil {
		return 0, nil, err
	}
	if name == "DefineList" {
		return 0, nil, h.defineList(body)
	}
	var m event
	if err := json.Unmarshal(body, &m); err != nil {
		return 0, nil, fmt.Errorf("%s: %w", name, settings.DescribeJSONError(err))
	}
	if m.Inst == nil {
		return 0, nil, fmt.Errorf("%s: i: no instance", name)
	}
	inst = *m.Inst
	if name == "NewInstance" {
		set, _, err := settings.Parse(m.Info)
		if err != nil {
			return 0, nil, fmt.Errorf("%s: %w", name, err)
		}
		h.routers[inst], err = decide.New(set, m.Seed)
		if err != nil {
			delete(h.routers, inst)
			return 0, nil, fmt.Errorf("%s: %w", name, err)
		}
		return inst, nil, nil
	}
	r := h.routers[inst]
	if r == nil {
		if known[name] {
			return 0, nil, fmt.Errorf("%s: instance %d was never started", name, inst)
		}
		return 0, nil, fmt.Errorf("unknown message %q", name)
	}
	if name == "Exit" {
		delete(h.routers, inst)
		return inst, nil, nil
	}
	ev, err := h.translate(name, &m)
	if err != nil {
		return 0, nil, err
	}
	defer func() {
		if p := recover(); p != nil {
			acts, err = []decide.Action{exception{text: fmt.Sprint(p)}}, nil
		}
	}()
	return inst, r.Handle(now, ev), nil
}

// split takes an object with a single key apart.
func split(raw []byte) (string, json.RawMessage, error) {
	var m map[string]json.RawMessage
	if err := json.Unmarshal(raw, &m); err != nil {
		return "", nil, settings.DescribeJSONError(err)
	}
	if len(m) != 1 {
		return "", nil, fmt.Errorf("want an object with one key, got %d", len(m))
	}
	for name, body := range m {
		if len(body) == 0 || body[0] != '{' {
			return "", nil, fmt.Errorf("%s: want an object", name)
		}
		if !known[name] {
			return "", nil, fmt.Errorf("unknown message %q", name)
		}
		return name, body, nil
	}
	panic("unreachable")
}

var known = map[string]bool{"NewInstance": true, "Exit": true, "DefineList": true, "Registry": true,
	"WorkItem": true, "UnderWay": true, "AttemptEnd": true, "Left": true, "Fired": true, "Checked": true, "Datagram": true}

// event holds the fields of all messages to an instance; each uses its own.
type event struct {
	Inst       *int64             `json:"i"`
	Seed       uint64             `json:"seed"`
	Info       json.RawMessage    `json:"info"`
	Roster     int64              `json:"rosterId"`
	Scope      string             `json:"scope"`
	ID         int64              `json:"tid"`
	Class      string             `json:"tierClass"`
	Tenant     any                `json:"tenant"`
	Key        *uint64            `json:"entity"`
	Deadline   int64              `json:"dropDead"`
	Cost       int64              `json:"costGuess"`
	Write      bool               `json:"isWrite"`
	Server     string             `json:"server"`
	Attempt    int                `json:"sendNo"`
	State      string             `json:"stateCode"`
	Elapsed    int64              `json:"elapsed"`
	Last       bool               `json:"last"`
	Feedback   map[string]float64 `json:"feedback"`
	Cookie     int64              `json:"cookie"`
	OriginPeer int                `json:"originPeer"`
	Data       string             `json:"data"`
}

func (h *Host) translate(name string, m *event) (decide.Event, error) {
	switch name {
	case "Registry":
		kind, ok := scopes[m.Scope]
		if !ok {
			return nil, fmt.Errorf("%s: scope: unknown value %q", name, m.Scope)
		}
		ev := &decide.EndpointList{Kind: kind}
		if kind != decide.FailedUpdate {
			if ev.Endpoints, ok = h.rosters[m.Roster]; !ok {
				return nil, fmt.Errorf("%s: rosterId: list %d was never defined", name, m.Roster)
			}
		}
		return ev, nil
	case "WorkItem":
		ev := &decide.Request{ID: m.ID, Class: m.Class, Deadline: m.Deadline, Cost: m.Cost, Write: m.Write}
		ev.Tenant, _ = m.Tenant.(string)
		if m.Key != nil {
			ev.Key, ev.HasKey = *m.Key, true
		}
		return ev, nil
	case "UnderWay":
		return &decide.ResponseStarted{ID: m.ID, Attempt: m.Attempt}, nil
	case "AttemptEnd":
		res, err := result(m)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		return &decide.AttemptResult{ID: m.ID, Attempt: m.Attempt, Result: res, Elapsed: m.Elapsed,
			Last: m.Last, Miss: note(m.Info) >= 2, Load: load(m)}, nil
	case "Left":
		return &decide.ClientGone{ID: m.ID}, nil
	case "Fired":
		return &decide.Timer{Token: m.Cookie}, nil
	case "Checked":
		res, err := result(m)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		return &decide.HealthCheckResult{Cache: m.Server, Result: res, Elapsed: m.Elapsed, Load: load(m)}, nil
	case "Datagram":
		return &decide.PeerMessage{From: m.OriginPeer, Data: m.Data}, nil
	}
	return nil, fmt.Errorf("unknown message %q", name)
}

var scopes = map[string]decide.UpdateKind{"D": decide.DeltaUpdate, "F": decide.FullUpdate, "C": decide.StaleUpdate,
	"X": decide.FailedUpdate}

var results = map[string]decide.Result{"served": decide.Served, "server_error": decide.Errored,
	"turned_away": decide.Rejected, "no_answer": decide.TimedOut, "no_connection": decide.ConnectFailed,
	"connection_lost": decide.ConnectionLost, "called_off": decide.Cancelled, "not_sent": decide.NotSent,
	"not_stored": decide.NotStored}

func result(m *event) (decide.Result, error) {
	res, ok := results[m.State]
	if !ok {
		return 0, fmt.Errorf("stateCode: unknown outcome %q", m.State)
	}
	return res, nil
}

func note(raw json.RawMessage) int {
	n, err := strconv.Atoi(string(raw))
	if err != nil {
		return 0
	}
	return n
}

func load(m *event) decide.LoadReport {
	l := decide.LoadReport{Utilization: -1, ErrorRate: m.Feedback["fail_rate"]}
	if b, ok := m.Feedback["busy"]; ok {
		l.Utilization = b
	}
	return l
}

var conditions = map[string]decide.Status{"up": decide.Serving, "draining": decide.Draining, "removed": decide.Removed}

func (h *Host) defineList(body []byte) error {
	var d struct {
		Roster *int64 `json:"rosterId"`
		Hosts  []struct {
			Cell      int      `json:"unitGroup"`
			Start     int64    `json:"startTime"`
			Size      *float64 `json:"size"`
			Zone      string   `json:"failureDomain"`
			Condition string   `json:"condition"`
			Server    string   `json:"server"`
		} `json:"hosts"`
	}
	if err := json.Unmarshal(body, &d); err != nil {
		return fmt.Errorf("DefineList: %w", settings.DescribeJSONError(err))
	}
	if d.Roster == nil {
		return errors.New("DefineList: no rosterId")
	}
	entries := make([]decide.Endpoint, 0, len(d.Hosts))
	for _, s := range d.Hosts {
		cond, ok := conditions[s.Condition]
		if !ok || s.Server == "" {
			return fmt.Errorf("DefineList: bad entry %q with condition %q", s.Server, s.Condition)
		}
		e := decide.Endpoint{ID: s.Server, Zone: s.Zone, Cell: s.Cell, Weight: 1, StartedAt: s.Start, Status: cond}
		if s.Size != nil {
			e.Weight = *s.Size
		}
		entries = append(entries, e)
	}
	h.rosters[*d.Roster] = entries
	return nil
}

func appendAction(b []byte, inst int64, a decide.Action) []byte {
	open := func(name string) {
		b = append(append(b, `{"`...), name...)
		b = strconv.AppendInt(append(b, `":{"i":`...), inst, 10)
	}
	num := func(name string, v int64) {
		b = append(append(append(b, `,"`...), name...), `":`...)
		b = strconv.AppendInt(b, v, 10)
	}
	text := func(name, v string) {
		b = append(append(append(b, `,"`...), name...), `":`...)
		q, _ := json.Marshal(v) // a string always encodes
		b = append(b, q...)
	}
	switch a := a.(type) {
	case decide.Send:
		open("CallOut")
		num("tid", a.ID)
		text("server", a.Cache)
		if a.AttemptDeadline != 0 {
			num("stopAt", a.AttemptDeadline)
		}
	case decide.Cancel:
		open("StopAttempt")
		num("tid", a.ID)
		num("sendNo", int64(a.Attempt))
	case decide.Reject:
		open("Bounce")
		num("tid", a.ID)
		if a.RetryAfter > 0 {
			num("notBeforeFor", a.RetryAfter)
		}
	case decide.Fail:
		open("Lose")
		num("tid", a.ID)
	case decide.SetTimer:
		open("Arm")
		num("cookie", a.Token)
		num("time", a.At)
	case decide.HealthCheck:
		open("Sample")
		text("server", a.Cache)
	case decide.CloseIdle:
		open("DropConns")
		text("server", a.Cache)
	case decide.Watch:
		open("Follow")
		b = append(b, `,"enable":true`...)
	case decide.Log:
		open("JournalLine")
		text("reasonText", a.String())
	case exception:
		open("Exception")
		text("reasonText", a.text)
	default:
		open("Exception")
		text("reasonText", fmt.Sprintf("no wire form for %T", a))
	}
	return append(b, "}}"...)
}
