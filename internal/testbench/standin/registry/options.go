package registry

import (
	"strings"

	"starlingwinch/internal/testbench/httpserver"
)

// Options describe a registry. The zero value of a field stands for its default, which its comment names; it is that of
// the real server unless the comment says otherwise.
type Options struct {
	Base           string // prefix of all paths; "/eureka"
	User, Password string // for basic authentication; empty for none

	EvictEvery       Time    // 60 s
	NoPreservation   bool    // instances are evicted however few renewals arrive
	RenewalThreshold float64 // fraction of the expected renewals below which nothing is evicted; 0.85
	RenewEvery       Time    // how often each instance is expected to renew; 30 s
	DeltaTime        Time    // a change stays in deltas for so long and up to 30 s longer; 180 s
	CacheTime        Time    // interval at which answers are brought up to date; 0 for at once, where the real server has 30 s
	ReplicaDelay     Time    // until a change reaches the replicas

	UnwrapSingle bool // a list of one element is written as the element, as old servers do
	OldNames     bool // overriddenstatus instead of overriddenStatus, as old servers do
	NoGzip       bool // answers are not compressed, whatever a client accepts

	MaxInstances     int // 10,000
	MaxMetadataBytes int // of an instance; 4 KiB
	HTTP             httpserver.Options

	// OnMark, where it is set, is called when a change becomes visible to callers, with the visible status or Deleted.
	OnMark func(id, status string, at Time)
}

// Defaults of Options.
const (
	defaultBase             = "/eureka"
	defaultEvictEvery       = 60 * Second
	defaultRenewalThreshold = 0.85
	defaultRenewals         = 30 * Second
	defaultDeltaTime        = 180 * Second
	defaultMaxInstances     = 10_000
	defaultMaxMetadataBytes = 4 << 10
)

// fill sets the defaults.
func (o *Options) fill() {
	if o.Base == "" {
		o.Base = defaultBase
	}
	o.Base = "/" + strings.Trim(o.Base, "/")
	if o.EvictEvery == 0 {
		o.EvictEvery = defaultEvictEvery
	}
	if o.RenewalThreshold == 0 {
		o.RenewalThreshold = defaultRenewalThreshold
	}
	if o.RenewEvery == 0 {
		o.RenewEvery = defaultRenewals
	}
	if o.DeltaTime == 0 {
		o.DeltaTime = defaultDeltaTime
	}
	if o.MaxInstances == 0 {
		o.MaxInstances = defaultMaxInstances
	}
	if o.MaxMetadataBytes == 0 {
		o.MaxMetadataBytes = defaultMaxMetadataBytes
	}
}
