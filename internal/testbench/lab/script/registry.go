package script

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Registry says whether there is a Eureka registry, what it is like and how routers follow it. Caches register
// there and renew their leases; a drain is then an operator's OUT_OF_SERVICE.
type Registry struct {
	Enabled     bool          `toml:"enabled" doc:"there is a registry, and routers follow it"`
	Order       string        `toml:"order" words:"eureka,eureka+discovery,discovery+eureka" doc:"whom routers ask, in order"`
	Replicas    int           `toml:"replicas" min:"1" max:"2" doc:"its servers"`
	CacheDelay  time.Duration `toml:"cache_delay" min:"0s" max:"30s" doc:"its answers are brought up to date so often; 0s at once"`
	CopyDelay   time.Duration `toml:"copy_delay" min:"0s" max:"30s" doc:"until a change reaches the other server"`
	Renewal     time.Duration `toml:"renewal" min:"1s" max:"5m" doc:"caches renew their leases so often"`
	Lease       time.Duration `toml:"lease" min:"1s" max:"10m" doc:"a lease lasts so long, and twice that in truth"`
	Preserve    bool          `toml:"preserve" doc:"it evicts nothing while few renewals come"`
	Delta       string        `toml:"delta" words:"auto,always,never" doc:"whether routers ask for changes alone"`
	Register    bool          `toml:"register" doc:"routers register themselves"`
	Undamped    bool          `toml:"undamped" doc:"routers hold no cache down that flaps"`
	Application string        `toml:"application" max:"32" doc:"the application that routers ask for; empty for all"`
}

func defaultRegistry() Registry {
	return Registry{Order: "eureka", Replicas: 1, Renewal: 2 * time.Second, Lease: 4 * time.Second, Delta: "auto",
		Application: Application}
}

// Application is the one that caches are registered under.
const Application = "CACHE"

// Sources are the names of the sources that routers ask, in order.
func (r Registry) Sources() []string { return strings.Split(r.Order, "+") }

// FollowsDeltas reports whether routers ask for changes alone. One application of the lab's size is asked for whole.
func (r Registry) FollowsDeltas() bool {
	return r.Delta == "always" || r.Delta == "auto" && r.Application == ""
}

// What goes wrong with a registry.
const (
	RegistrySilent      = "registry-silent"
	RegistryStale       = "registry-stale"
	Registry5xx         = "registry-5xx"
	RegistryTruncate    = "registry-truncate"
	RegistryMalform     = "registry-malform"
	RegistryHash        = "registry-hash"
	RegistryEmpty       = "registry-empty"
	RegistryDisagree    = "registry-disagree"
	RegistryDeltaLost   = "registry-delta-lost"
	RegistryDeltaRepeat = "registry-delta-repeat"
	RegistryDeltaOld    = "registry-delta-old"
	RegistrySlow        = "registry-slow"
	RegistryRestart     = "registry-restart"
	RegistryFlap        = "registry-flap"
	RegistryOut         = "registry-out"
	CacheKill           = "cache-kill"
	Depart              = "depart"
)

// registryKinds are the kinds of faults of a world with a registry. They stand apart so that Draw, which knows
// nothing of them, draws what it always has.
var registryKinds = []Kind{
	{Name: RegistrySilent, On: OnRegistry, Registered: true, Doc: "takes calls and answers none"},
	{Name: RegistryStale, On: OnRegistry, Registered: true, Doc: "shows what it knew at the beginning"},
	{Name: Registry5xx, On: OnRegistry, Registered: true, Doc: "answers 503"},
	{Name: RegistryTruncate, On: OnRegistry, Registered: true, Doc: "its answers end in the middle"},
	{Name: RegistryMalform, On: OnRegistry, Registered: true, Doc: "its answers are no JSON"},
	{Name: RegistryHash, On: OnRegistry, Registered: true, Doc: "its lists have a hash code that is not theirs"},
	{Name: RegistryEmpty, On: OnRegistry, Registered: true, Instant: true, Doc: "starts anew and knows nothing"},
	{Name: RegistryDisagree, On: OnRegistry, Registered: true, Chance: &Range{0, 1, 0.5},
		Doc: "shows nothing of that share of the caches, the first ones"},
	{Name: RegistryDeltaLost, On: OnRegistry, Registered: true, Instant: true, Keys: &Range{1, 1000, 1},
		Doc: "the next so many changes never stand in deltas"},
	{Name: RegistryDeltaRepeat, On: OnRegistry, Registered: true, Doc: "deltas hold each change twice"},
	{Name: RegistryDeltaOld, On: OnRegistry, Registered: true, Doc: "deltas stay as they were at the beginning"},
	{Name: RegistrySlow, On: OnRegistry, Registered: true, Delay: &Range{0.001, 60, 0.3}, Doc: "answers so much later"},
	{Name: RegistryRestart, On: OnRegistry, Registered: true, NeedsFor: true, Doc: "takes no calls, and is then as it was"},
	{Name: RegistryFlap, On: OnCaches, Registered: true, NeedsFor: true, Delay: &Range{0.01, 60, 0.25},
		Doc: "stands as down for so long, then as up for so long, and so on"},
	{Name: RegistryOut, On: OnCaches, Registered: true, NeedsFor: true,
		Doc: "stands as out of service, and is then up again"},
	{Name: CacheKill, On: OnCaches, Registered: true, Instant: true, Doc: "ends without a word, and renews no more"},
	{Name: Depart, On: OnCaches, Registered: true, Instant: true, Doc: "ends, and is taken off the registry at once"},
}

// ReplicasOf is the places, from 0, of the registry's servers that a target names among n.
func ReplicasOf(target string, n int) []int {
	if number, ok := strings.CutPrefix(target, "registry:"); ok {
		return one(number, n)
	}
	if target != "registry" {
		return nil
	}
	var all []int
	for i := range n {
		all = append(all, i)
	}
	return all
}

// registryStream keeps the draws of DrawRegistry apart from all others of the same seed.
const registryStream = 0x5c12_9f02

// What a registry's faults come together with: what happens to the fleet, and in half of the scripts also what
// keeps a router from caches or from the registry.
var (
	fleetTroubles = []string{Drain, Drain, Drain, RestartCold, Replace, Add, RouterRestart, RouterTerm}
	wayTroubles   = []string{Stall, Cut, Lag, Hang}
)

// registryTroubles are the registry's own, by how often they are drawn.
var registryTroubles = func() (all []string) {
	for _, k := range registryKinds {
		all = append(all, k.Name)
	}
	// What only some worlds can show comes more often.
	return append(all, RegistryDisagree, RegistryDisagree, RegistryEmpty, RegistryDeltaLost)
}()

// DrawRegistry is a legal script of a world with a registry that the seed decides. It begins with a drain and has
// one to five faults more, of which about half are the registry's.
func DrawRegistry(seed uint64, length time.Duration) Script {
	d := drawer{rand.New(rand.NewPCG(seed, registryStream))}
	s := Default()
	s.Seed = int64(seed & math.MaxInt64)
	s.Length = length
	d.world(&s)
	d.registry(&s.Registry, length)
	s.Faults = append(s.Faults, d.draw(*byName[Drain], &s))
	others := fleetTroubles
	if d.IntN(2) == 0 {
		others = slices.Concat(others, wayTroubles)
	}
	for n := 2 + d.IntN(mostDrawn); len(s.Faults) < n; {
		k := byName[pick(d, others)]
		if d.IntN(2) == 0 {
			k = byName[pick(d, registryTroubles)]
		}
		f := d.draw(*k, &s)
		if d.Float64() < 0.5 {
			f.At = d.during(s.Faults[d.IntN(len(s.Faults))], &s)
		}
		f.fit(s.Length)
		s.Faults = append(s.Faults, f)
	}
	s.Sort()
	return s
}

func (d drawer) registry(r *Registry, length time.Duration) {
	r.Enabled = true
	r.Order = pick(d, []string{"eureka", "eureka", "eureka+discovery", "discovery+eureka"})
	r.Replicas = pick(d, []int{1, 2, 2})
	r.CacheDelay = pick(d, []time.Duration{0, 0, 250 * time.Millisecond, length / 10})
	r.CopyDelay = pick(d, []time.Duration{0, 50 * time.Millisecond, 500 * time.Millisecond})
	r.Renewal = pick(d, []time.Duration{time.Second, 2 * time.Second, 5 * time.Second})
	r.Lease = r.Renewal * time.Duration(1+d.IntN(3))
	r.Preserve = d.IntN(3) == 0
	r.Delta = pick(d, []string{"auto", "always", "always", "never"})
	r.Register = d.IntN(2) == 0
	r.Application = pick(d, []string{Application, Application, ""})
	if r.Application == "" {
		r.Register = false // the caches are all that stands there
	}
}
