package simwire

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"starlingwinch/decide"
	"starlingwinch/internal/settings"
)

// Names of messages, each with its meaning or the event that it becomes.
const (
	messageNewInstance       = "NewInstance" // starts a router
	messageExit              = "Exit"        // ends a router
	messageDefineList        = "DefineList"  // defines an endpoint list for Registry messages
	messageEndpointList      = "Registry"    // decide.EndpointList
	messageRequest           = "WorkItem"    // decide.Request
	messageResponseStarted   = "UnderWay"    // decide.ResponseStarted
	messageAttemptResult     = "AttemptEnd"  // decide.AttemptResult
	messageClientGone        = "Left"        // decide.ClientGone
	messageTimer             = "Fired"       // decide.Timer
	messageHealthCheckResult = "Checked"     // decide.HealthCheckResult
	messagePeer              = "Datagram"    // decide.PeerMessage
)

var knownMessages = map[string]bool{
	messageNewInstance: true, messageExit: true, messageDefineList: true, messageEndpointList: true, messageRequest: true,
	messageResponseStarted: true, messageAttemptResult: true, messageClientGone: true, messageTimer: true,
	messageHealthCheckResult: true, messagePeer: true,
}

// message holds the fields of all messages to an instance. Each kind of message uses some of them. Times are microseconds.
type message struct {
	Instance    *int64             `json:"i"`
	Seed        uint64             `json:"seed"`
	Info        json.RawMessage    `json:"info"` // a new instance's settings; for an attempt's result, a number; minMissInfo or more means a miss
	List        int64              `json:"rosterId"`
	Update      string             `json:"scope"` // a key of updateKinds
	ID          int64              `json:"tid"`
	Class       string             `json:"tierClass"`
	Tenant      any                `json:"tenant"` // ignored unless it is a string
	Key         *uint64            `json:"entity"`
	Deadline    int64              `json:"dropDead"`
	Cost        int64              `json:"costGuess"`
	Write       bool               `json:"isWrite"`
	Cache       string             `json:"server"`
	Attempt     int                `json:"sendNo"`
	Result      string             `json:"stateCode"` // a key of results
	Elapsed     int64              `json:"elapsed"`
	Last        bool               `json:"last"`
	Load        map[string]float64 `json:"feedback"` // keys are loadUtilization and loadErrorRate
	TimerToken  int64              `json:"cookie"`
	SenderIndex int                `json:"originPeer"`
	Data        string             `json:"data"`
}

// Keys of a load report.
const (
	loadUtilization = "busy"
	loadErrorRate   = "fail_rate"
)

// minMissInfo is the smallest value of Info in an attempt's result that means a cache miss.
const minMissInfo = 2

// updateKinds maps the simulator's names to decide.UpdateKind.
var updateKinds = map[string]decide.UpdateKind{
	"D": decide.DeltaUpdate,
	"F": decide.FullUpdate,
	"C": decide.StaleUpdate,
	"X": decide.FailedUpdate,
}

// results maps the simulator's names to decide.Result.
var results = map[string]decide.Result{
	"served":          decide.Served,
	"server_error":    decide.Errored,
	"turned_away":     decide.Rejected,
	"no_answer":       decide.TimedOut,
	"no_connection":   decide.ConnectFailed,
	"connection_lost": decide.ConnectionLost,
	"called_off":      decide.Cancelled,
	"not_sent":        decide.NotSent,
	"not_stored":      decide.NotStored,
}

// statuses maps the simulator's names to decide.Status.
var statuses = map[string]decide.Status{
	"up":       decide.Serving,
	"draining": decide.Draining,
	"removed":  decide.Removed,
}

// event returns the event for a message that is addressed to a running router.
func (h *Host) event(name string, m *message) (decide.Event, error) {
	switch name {
	case messageEndpointList:
		return h.endpointList(m)
	case messageRequest:
		return m.request(), nil
	case messageResponseStarted:
		return &decide.ResponseStarted{ID: m.ID, Attempt: m.Attempt}, nil
	case messageAttemptResult:
		result, err := m.result(name)
		if err != nil {
			return nil, err
		}
		return &decide.AttemptResult{ID: m.ID, Attempt: m.Attempt, Result: result, Elapsed: m.Elapsed, Final: m.Last,
			Miss: m.isMiss(), Load: m.load()}, nil
	case messageClientGone:
		return &decide.ClientGone{ID: m.ID}, nil
	case messageTimer:
		return &decide.Timer{Token: m.TimerToken}, nil
	case messageHealthCheckResult:
		result, err := m.result(name)
		if err != nil {
			return nil, err
		}
		return &decide.HealthCheckResult{Cache: m.Cache, Result: result, Elapsed: m.Elapsed, Load: m.load()}, nil
	case messagePeer:
		return &decide.PeerMessage{From: m.SenderIndex, Data: m.Data}, nil
	}
	return nil, fmt.Errorf("unknown message %q", name)
}

// endpointList converts a message into an update of the endpoint list. A failed update has no endpoints.
func (h *Host) endpointList(m *message) (decide.Event, error) {
	kind, ok := updateKinds[m.Update]
	if !ok {
		return nil, fmt.Errorf("%s: scope: unknown value %q", messageEndpointList, m.Update)
	}
	list := &decide.EndpointList{Kind: kind}
	if kind == decide.FailedUpdate {
		return list, nil
	}
	if list.Endpoints, ok = h.lists[m.List]; !ok {
		return nil, fmt.Errorf("%s: rosterId: list %d was never defined", messageEndpointList, m.List)
	}
	return list, nil
}

func (m *message) request() *decide.Request {
	r := &decide.Request{ID: m.ID, Class: m.Class, Deadline: m.Deadline, ExpectedWork: m.Cost, Write: m.Write}
	r.Tenant, _ = m.Tenant.(string)
	if m.Key != nil {
		r.Key, r.HasKey = *m.Key, true
	}
	return r
}

func (m *message) result(name string) (decide.Result, error) {
	result, ok := results[m.Result]
	if !ok {
		return 0, fmt.Errorf("%s: stateCode: unknown outcome %q", name, m.Result)
	}
	return result, nil
}

// isMiss reports whether an attempt's result was a cache miss, so that the cache fetched from the origin. Info that is not an integer
// means no miss.
func (m *message) isMiss() bool {
	info, err := strconv.Atoi(string(m.Info))
	return err == nil && info >= minMissInfo
}

// load returns a cache's load report. An absent utilization becomes -1.
func (m *message) load() decide.LoadReport {
	report := decide.LoadReport{Utilization: -1, ErrorRate: m.Load[loadErrorRate]}
	if utilization, ok := m.Load[loadUtilization]; ok {
		report.Utilization = utilization
	}
	return report
}

// listDefinition is the content of a messageDefineList.
type listDefinition struct {
	ID        *int64           `json:"rosterId"`
	Endpoints []listedEndpoint `json:"hosts"`
}

// listedEndpoint is one cache of a listDefinition.
type listedEndpoint struct {
	Cell      int      `json:"unitGroup"`
	StartedAt int64    `json:"startTime"`
	Weight    *float64 `json:"size"` // nil if absent, which means 1
	Zone      string   `json:"failureDomain"`
	Status    string   `json:"condition"` // a key of statuses
	Cache     string   `json:"server"`
}

var errNoListID = errors.New("no rosterId")

// defineList stores an endpoint list for later Registry messages.
func (h *Host) defineList(body []byte) error {
	var definition listDefinition
	if err := json.Unmarshal(body, &definition); err != nil {
		return fmt.Errorf("%s: %w", messageDefineList, settings.DescribeJSONError(err))
	}
	if definition.ID == nil {
		return fmt.Errorf("%s: %w", messageDefineList, errNoListID)
	}
	endpoints := make([]decide.Endpoint, 0, len(definition.Endpoints))
	for i := range definition.Endpoints {
		endpoint, err := definition.Endpoints[i].convert()
		if err != nil {
			return fmt.Errorf("%s: %w", messageDefineList, err)
		}
		endpoints = append(endpoints, endpoint)
	}
	h.lists[*definition.ID] = endpoints
	return nil
}

func (e *listedEndpoint) convert() (decide.Endpoint, error) {
	status, ok := statuses[e.Status]
	if !ok || e.Cache == "" {
		return decide.Endpoint{}, fmt.Errorf("invalid host %q with condition %q", e.Cache, e.Status)
	}
	endpoint := decide.Endpoint{ID: e.Cache, Zone: e.Zone, Cell: e.Cell, Weight: 1, StartedAt: e.StartedAt, Status: status}
	if e.Weight != nil {
		endpoint.Weight = *e.Weight
	}
	return endpoint, nil
}
