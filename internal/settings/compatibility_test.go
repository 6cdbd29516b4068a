package settings

import (
	"encoding/json"
	"os"
	"reflect"
	"testing"

	"starlingwinch/decide"
)

// TestParseReadsPlatformSettings parses the settings of a file that holds every key, and checks each field that a router uses.
func TestParseReadsPlatformSettings(t *testing.T) {
	raw, err := os.ReadFile("testdata/good.json")
	if err != nil {
		t.Fatal(err)
	}
	var file struct {
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(raw, &file); err != nil {
		t.Fatal(err)
	}
	got, transport, err := Parse(file.Settings)
	if err != nil {
		t.Fatal(err)
	}
	want := decide.Settings{
		Routers: 3, Zone: "a", WatchRequired: true, MaxAttempts: 3,
		AllowHedging: true, AllowCancel: true, AllowHealthChecks: true, MaxRetryAfter: 1_500_000,
		DrainGrace: 1_000_000, SlowStartWindow: 23_000_000, SlowStartMinCapacity: 0.16, OverloadWindow: 3_000_000,
		PollInterval: 10_000_000, HealthCheckCost: 0.01, ConnectionCost: 0.03, DialCost: 0.03,
		Classes: []decide.Class{
			{
				Name: "call-lookup", Semantics: decide.Idempotent, DeduplicationScope: decide.DeduplicatedEverywhere,
				IdempotencyWindow: 5_000_000, LatencyObjective: 500_000, ClientTimeout: 1_200_000, PriorityWeight: 2, LateWeightFraction: 0.5,
			},
			{
				Name: "log-page", Semantics: decide.Idempotent, LatencyObjective: 1_000_000, ClientTimeout: 3_000_000,
				PriorityWeight: 5, LateWeightFraction: 0.2,
			},
			{
				Name: "add-contact", Semantics: decide.IdempotentByKey, DeduplicationScope: decide.DeduplicatedInZone,
				IdempotencyWindow: 1_200_000, LatencyObjective: 600_000, ClientTimeout: 1_200_000, PriorityWeight: 3, LateWeightFraction: 0.25,
			},
			{Name: "odd", Semantics: decide.NonIdempotent, LatencyObjective: 600_000, ClientTimeout: 600_000},
		},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
	if want := (Transport{MaxOpenRequests: 20_000, DialTimeout: 200_000, Keepalive: 60_000_000}); transport != want {
		t.Errorf("got  %+v\nwant %+v", transport, want)
	}
}

// TestParseChoices checks values that the file with every key can't hold at the same time.
func TestParseChoices(t *testing.T) {
	const class = `"categories":[{"name":"n","effect":"idempotency_key","dedupScope":"cell","aim":1,"hardLimit":2}]`
	for _, c := range []struct {
		name, raw string
		check     func(s decide.Settings, transport Transport) bool
	}{
		{"discovery automatic", `{"discovery":"automatic"}`, func(s decide.Settings, _ Transport) bool { return !s.WatchRequired }},
		{"weights live", `{"weights":"live"}`, func(s decide.Settings, _ Transport) bool { return s.WeightsFollowLoad }},
		{"weights rough", `{"weights":"rough"}`, func(s decide.Settings, _ Transport) bool { return !s.WeightsFollowLoad }},
		{"scope cell", `{` + class + `}`, func(s decide.Settings, _ Transport) bool {
			return s.Classes[0].Semantics == decide.IdempotentByKey && s.Classes[0].DeduplicationScope == decide.DeduplicatedInCell
		}},
		{"maxAttempts absent", `{}`, func(s decide.Settings, _ Transport) bool { return s.MaxAttempts == 1 }},
		{"maxAttempts 0", `{"limits":{"maxAttempts":0}}`, func(s decide.Settings, _ Transport) bool { return s.MaxAttempts == 0 }},
		{"maxRetryAfter without retryAfter", `{"limits":{"maxRetryAfter":9}}`, func(s decide.Settings, _ Transport) bool { return s.MaxRetryAfter == 0 }},
		{"peer messages", `{"limits":{"peerMessages":true}}`, func(_ decide.Settings, transport Transport) bool {
			return transport.PeerMessages
		}},
		{"an unknown key", `{"later":[1]}`, func(s decide.Settings, transport Transport) bool {
			return reflect.DeepEqual(s, decide.Settings{MaxAttempts: 1}) && transport == Transport{}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, transport, err := Parse(json.RawMessage(c.raw))
			if err != nil || !c.check(s, transport) {
				t.Errorf("got %+v, %+v, %v", s, transport, err)
			}
		})
	}
}
