// Package script is the vocabulary of faults: a script says what world a run has, and what goes wrong in it, where,
// when and for how long. A script is written as a file by hand (Parse), drawn from a seed (Draw), or put
// together on a command line (ParseFault); Text writes any of them as a file that reads back the same.
//
// The package carries nothing out: package lab does, in a virtual world or on loopback sockets.
//
// Files are TOML, read strictly by package opfile: what is unknown, out of its range or past the end of
// the run is named with its line and field, and nothing runs.
package script

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"starlingwinch/internal/operatorconfig"
)

// Script is a world and its faults. The zero value is not legal: begin with Default.
type Script struct {
	Seed    int64         `toml:"seed" min:"0" doc:"decides all chance of the run"`
	Length  time.Duration `toml:"length" min:"100ms" max:"10m" doc:"clients ask for so long"`
	Routers int           `toml:"routers" min:"1" max:"4096" doc:"routers, dealt to the zones in turn"`
	Caches  int           `toml:"caches" min:"1" max:"4096" doc:"caches at the start, dealt to the zones in turn"`
	Rate    float64       `toml:"rate" min:"0" max:"100000" doc:"requests a second, of all clients"`
	Clients Clients       `toml:"clients"`
	Fleet   Fleet         `toml:"fleet"`
	Network Network       `toml:"network"`
	// Registry is not drawn by Draw, but by DrawRegistry.
	Registry Registry `toml:"registry"`
	Faults   []Fault  `toml:"fault" max:"64"`
	Hooks    []Hook   `toml:"hook" max:"4"`
}

// Clients says how clients behave.
type Clients struct {
	Groups    int           `toml:"groups" min:"1" max:"64" doc:"groups that share connections, dealt to the zones"`
	Retries   int           `toml:"retries" min:"0" max:"5" doc:"tries after the first"`
	Wait      string        `toml:"wait" words:"at-once,fixed,exponential" doc:"how long before another try"`
	WaitTime  time.Duration `toml:"wait_time" min:"0s" max:"10s" doc:"the first such wait"`
	Honour    float64       `toml:"honour" min:"0" max:"1" doc:"share of refusals whose advice is followed"`
	TryShare  float64       `toml:"try_share" min:"0.1" max:"1" doc:"a try is given up after this share of the deadline"`
	Impatient float64       `toml:"impatient" min:"0" max:"1" doc:"share of tries that are left early"`
	Pipeline  float64       `toml:"pipeline" min:"0" max:"1" doc:"share of requests written behind another"`
	Writes    float64       `toml:"writes" min:"1" max:"20" doc:"times the usual share of writes"`
	Unsafe    float64       `toml:"unsafe" min:"0" max:"1" doc:"share of requests that must never run twice"`
	Front     time.Duration `toml:"front" min:"0s" max:"30s" doc:"the front notices a dead router after this"`
}

// Fleet says what caches, discovery and the routers' settings are like.
type Fleet struct {
	Sockets     int           `toml:"sockets" min:"64" max:"65536" doc:"descriptors of a router"`
	MaxAttempts int           `toml:"max_attempts" min:"1" max:"10" doc:"of a request by one router"`
	Copies      bool          `toml:"copies" doc:"two attempts of a request may be out at once"`
	Cancel      string        `toml:"cancel" words:"none,queued,all" doc:"work that stops when its request is given up"`
	Probes      bool          `toml:"probes" doc:"routers may probe"`
	Reports     bool          `toml:"reports" doc:"answers hold load reports"`
	Writes      string        `toml:"writes" words:"keyed,keyed-zone,keyed-cell,unsafe,safe" doc:"what a write's repeat does, and who drops it"`
	Patience    float64       `toml:"patience" min:"0.1" max:"10" doc:"times the usual aims and deadlines"`
	Pushed      bool          `toml:"pushed" doc:"lists are pushed to an agent beside each router"`
	DrainGrace  time.Duration `toml:"drain_grace" min:"100ms" max:"30s" doc:"for new work to a cache, from when its drain is told"`
	ListDelay   time.Duration `toml:"list_delay" min:"0s" max:"30s" doc:"from a change to its showing in the list"`
	Speed       float64       `toml:"speed" min:"0.01" max:"100" doc:"of the caches, as a multiple of the usual"`
	Cores       float64       `toml:"cores" min:"0.1" max:"1000" doc:"of a cache"`
	ColdBy      string        `toml:"cold_by" words:"work,calls" doc:"a cold cache bears a multiple of its work, or as many calls and twice their root"`
	CallCost    time.Duration `toml:"call_cost" min:"0s" max:"10s" doc:"discovery's time for a new call; a fortieth for one that it turns away"`
	KeyWindow   float64       `toml:"key_window" min:"0.01" max:"10" doc:"times the usual span in which repeats are dropped"`
}

// Network says what the links are like.
type Network struct {
	Near    time.Duration `toml:"near" min:"1us" max:"1s" doc:"one way, inside a zone"`
	Far     time.Duration `toml:"far" min:"1us" max:"1s" doc:"one way, between zones"`
	Jitter  float64       `toml:"jitter" min:"0" max:"4" doc:"up to this share of the way longer"`
	Split   float64       `toml:"split" min:"0" max:"1" doc:"chance that what was written comes in two pieces"`
	Shuffle bool          `toml:"shuffle" doc:"the seed decides the order of what happens at one instant"`
}

// Fault is one thing that goes wrong. Which figures it takes depends on its kind; see Kinds.
type Fault struct {
	At     time.Duration `toml:"at" min:"0s" doc:"from the beginning of the run"`
	For    time.Duration `toml:"for" min:"0s" doc:"how long it lasts; 0 for up to the end"`
	Kind   string        `toml:"kind" min:"1" max:"32" doc:"what goes wrong"`
	Target string        `toml:"target" min:"1" max:"64" doc:"where"`
	Factor float64       `toml:"factor" doc:"so many times"`
	Chance float64       `toml:"chance" doc:"share that it strikes"`
	Keys   int           `toml:"keys" doc:"so many keys"`
	Delay  time.Duration `toml:"delay" doc:"a further time"`
	How    string        `toml:"how" max:"32" doc:"in which of several ways"`
}

// Zones are those of every run, in the order in which routers, caches and clients are dealt to them.
func Zones() []string { return []string{"ahmedabad", "rajkot", "surat"} }

// Default is the usual day without faults.
func Default() Script {
	return Script{
		Seed: 1, Length: 10 * time.Second, Routers: 3, Caches: 9, Rate: 120,
		Clients: Clients{Groups: 6, Retries: 1, Wait: "fixed", WaitTime: 50 * time.Millisecond, Honour: 0.6,
			TryShare: 0.75, Writes: 1, Front: 2 * time.Second},
		Fleet: Fleet{Sockets: 1024, MaxAttempts: 3, Copies: true, Cancel: "all", Probes: true,
			Writes: "keyed", Patience: 1, DrainGrace: time.Second, ListDelay: 1500 * time.Millisecond, Speed: 1, Cores: 6,
			ColdBy: "work", CallCost: 2 * time.Millisecond, KeyWindow: 1},
		Network:  Network{Near: 230 * time.Microsecond, Far: 7 * time.Millisecond, Jitter: 0.4, Split: 0.05},
		Registry: defaultRegistry(),
	}
}

// File is the kind of file that holds a script.
var File = operatorconfig.Define("faults", "a world and what goes wrong in it", Default(), check)

// Parse reads a script. The error is a *fault.List with all that is wrong.
func Parse(name string, raw []byte) (Script, error) {
	f, err := operatorconfig.Registry{File}.Parse(name, raw)
	if err != nil {
		return Script{}, err
	}
	s := f.Value.(Script)
	s.Sort()
	return s, nil
}

// Load reads a script from a file.
func Load(path string) (Script, error) {
	raw, err := operatorconfig.Read(path, operatorconfig.MaxFileBytes)
	if err != nil {
		return Script{}, err
	}
	return Parse(path, raw)
}

// Check is what Parse checks beyond the ranges of single figures. It is for a script that was changed by a program.
func (s Script) Check() error {
	var first error
	check(s, func(key, format string, args ...any) {
		if first == nil {
			first = fmt.Errorf(key+": "+format, args...)
		}
	})
	return first
}

// Sort puts the faults in their order: by time, and then by all else, so that equal scripts read the same.
func (s *Script) Sort() {
	slices.SortStableFunc(s.Faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.At, b.At), strings.Compare(a.Kind, b.Kind), strings.Compare(a.Target, b.Target),
			cmp.Compare(a.For, b.For), cmp.Compare(a.Factor, b.Factor), cmp.Compare(a.Chance, b.Chance),
			cmp.Compare(a.Keys, b.Keys), cmp.Compare(a.Delay, b.Delay), strings.Compare(a.How, b.How))
	})
}

// Clone is a copy whose faults and hooks are its own.
func (s Script) Clone() Script {
	s.Faults = slices.Clone(s.Faults)
	s.Hooks = slices.Clone(s.Hooks)
	return s
}

// Until is when a fault is over, in a script of that length.
func (f Fault) Until(length time.Duration) time.Duration {
	if f.For == 0 {
		return length
	}
	return min(f.At+f.For, length)
}
