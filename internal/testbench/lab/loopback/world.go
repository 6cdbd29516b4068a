package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"

	"starlingwinch/internal/testbench/lab"
	"starlingwinch/internal/testbench/lab/script"
	"starlingwinch/internal/testbench/rules"
	"starlingwinch/internal/testbench/standin"
)

// slack is how much longer each limit of time is on sockets than in the simulator: the operators' protocol says so.
const slack = 50 * millisecond

// longSlack is how long clients stay past the end of their patience. The watcher judges by its own clock; the danger: a
// client that this process has woken late leaves before that clock has granted the slack.
const longSlack = 10 * slack

// Check refuses a script before anything starts. The error names each fault that loopback sockets can't have.
func Check(s script.Script) error {
	if err := s.Check(); err != nil {
		return err
	}
	// The danger: what the two sources tell a router is judged as one in virtual worlds only.
	if r := s.Registry; r.Enabled && (r.Order != script.Default().Registry.Order || r.Replicas != 1) {
		return errors.New("registry: on loopback sockets it has one server and is the only source")
	}
	var impossible []string
	for _, f := range s.Faults {
		if doers[f.Kind].begin == nil {
			impossible = append(impossible, f.String())
		}
	}
	if len(impossible) > 0 {
		return errors.New("not possible on loopback sockets: " + strings.Join(impossible, ", "))
	}
	return nil
}

// fleetOptions are the stand-ins that a script asks for.
func fleetOptions(s *script.Script) standin.Options {
	o := standin.DefaultOptions()
	o.Caches, o.Zones = s.Caches, script.Zones()
	for i := range o.Classes {
		if o.Classes[i].Write {
			o.Classes[i].TrafficFraction *= s.Clients.Writes
		}
	}
	o.Placement = lab.Homes
	lab.SizeCaches(*s, &o)
	o.Cache.Probes, o.Cache.Reports = s.Fleet.Probes, s.Fleet.Reports
	o.Cache.Cancel = map[string]standin.Cancel{"none": standin.CancelNone, "queued": standin.CancelQueued,
		"all": standin.CancelAll}[s.Fleet.Cancel]
	o.Discovery.Delay = span(s.Fleet.ListDelay)
	if s.Registry.Enabled {
		o.Discovery.PollInterval = 0 // nobody asks it, and nothing counts as told
	}
	o.Clients = s.Clients.Groups
	o.Client.Rate, o.Client.Retries, o.Client.RetryAfterCompliance = s.Rate, s.Clients.Retries, s.Clients.Honour
	o.Client.RetryWait = map[string]standin.RetryWait{"at-once": standin.NoRetryWait, "fixed": standin.FixedWait,
		"exponential": standin.Exponential}[s.Clients.Wait]
	o.Client.RetryWaitTime, o.Client.AttemptTimeoutFraction = span(s.Clients.WaitTime), s.Clients.TryShare
	o.Client.Grace = longSlack
	o.Client.EarlyAbandonFraction, o.Client.Pipeline = s.Clients.Impatient, s.Clients.Pipeline
	for i := range s.Routers {
		o.Routers = append(o.Routers[:i], fmt.Sprintf("r-%d", i+1))
	}
	return o
}

// routerSettings are what each router is told, but for its name and its addresses.
func routerSettings(s *script.Script, classes []standin.Class) standin.RouterSettings {
	o := standin.DefaultRouterSettings()
	o.Routers, o.Classes, o.Sockets = s.Routers, classes, s.Fleet.Sockets
	o.MaxAttempts, o.AllowHedging, o.AllowHealthChecks = s.Fleet.MaxAttempts, s.Fleet.Copies, s.Fleet.Probes
	o.AllowCancel = s.Fleet.Cancel == "all"
	return o
}

// ruleSettings are the figures of the rules. Each limit of time is 50 ms longer on sockets.
func ruleSettings(fleet *standin.Options, router *standin.RouterSettings) rules.Settings {
	capacity := &fleet.Cache.Capacity
	set := rules.Settings{
		Classes: map[string]rules.Class{}, MaxAttempts: router.MaxAttempts, AllowHedging: router.AllowHedging,
		Slack: slack, MaxTransit: 50 * millisecond, DrainGrace: router.DrainGrace,
		OverloadMultiple: capacity.OverloadMultiple, OverloadWindow: capacity.OverloadWindow, OverloadTolerance: 0.1,
		StoreOverloadWindow: fleet.Store.OverloadWindow, MaxStoreWarmupFraction: 0.5, MeanWork: capacity.MeanWork,
	}
	effects := [...]rules.Semantics{standin.Idempotent: rules.Idempotent, standin.IdempotentByKey: rules.IdempotentByKey, standin.NonIdempotent: rules.NonIdempotent}
	for _, c := range fleet.Classes {
		set.Classes[c.Name] = rules.Class{Semantics: effects[c.Semantics], Scope: rules.ScopeAll, IdempotencyWindow: c.IdempotencyWindow,
			LatencyObjective: c.LatencyObjective, ClientTimeout: c.ClientTimeout, PriorityWeight: c.PriorityWeight,
			LateWeightFraction: c.LateWeightFraction}
	}
	return set
}

// part is a generator of its own for one part of a run.
func part(seed int64, of uint64) *rand.Rand { return rand.New(rand.NewPCG(uint64(seed), of)) }
