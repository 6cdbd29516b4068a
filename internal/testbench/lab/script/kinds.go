package script

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"starlingwinch/internal/configerror"
	"starlingwinch/internal/operatorconfig"
)

// Place is a sort of target.
type Place uint8

const (
	OnCaches    Place = 1 << iota // c2 (the second that was started), zone:surat (its caches) or all
	OnRouters                     // router:1 or all
	OnDiscovery                   // discovery
	OnStore                       // store
	OnClients                     // clients
	OnLink                        // surat>rajkot (that way alone) or surat<>rajkot
	OnRegistry                    // registry:1 or registry, which is all its replicas
)

// Kind is a kind of fault.
type Kind struct {
	Name     string
	On       Place
	Instant  bool // lasts no time: it takes no `for`
	NeedsFor bool // is nothing without a `for`
	// Registered tells that it needs a registry.
	Registered bool
	Factor     *Range
	Chance     *Range
	Keys       *Range
	Delay      *Range // in seconds
	How        []string
	Doc        string
}

// Range is what a figure may be. A figure that a fault does not name has the usual value.
type Range struct{ Least, Most, Usual float64 }

// What goes wrong.
const (
	Hang          = "hang"
	Silence       = "silence"
	Slow          = "slow"
	Errors        = "errors"
	Busy          = "busy"
	Spoil         = "spoil"
	Double        = "double"
	ResetAccept   = "reset-accept"
	ResetInside   = "reset-inside"
	ResetAfter    = "reset-after"
	DropIdle      = "drop-idle"
	SwallowDials  = "swallow-dials"
	Cut           = "cut"
	Lag           = "lag"
	ListLate      = "list-late"
	ListStale     = "list-stale"
	ListDown      = "list-down"
	ListSilent    = "list-silent"
	ListMoved     = "list-moved"
	ListBack      = "list-back"
	ListAtOnce    = "list-at-once"
	ListBadEntry  = "list-bad-entry"
	RestartCold   = "restart-cold"
	Replace       = "replace"
	Drain         = "drain"
	Add           = "add"
	PowerCut      = "power-cut"
	HotKey        = "hot-key"
	Hostile       = "hostile"
	Burst         = "burst"
	RouterKill    = "router-kill"
	RouterRestart = "router-restart"
	RouterTerm    = "router-term"
	HangUp        = "sighup"
	ClockStep     = "clock-step"
	Stall         = "stall"
	FailCalls     = "fail-calls"
	HandOver      = "hand-over"
	Signals       = "signals"
)

func share() *Range { return &Range{0, 1, 0.2} }

// kinds are all kinds of faults, in the order in which they are told.
var kinds = []Kind{
	{Name: Hang, On: OnCaches, Doc: "takes requests and answers none"},
	{Name: Silence, On: OnCaches, Doc: "takes bytes as its kernel does, and reads none"},
	{Name: Slow, On: OnCaches, Factor: &Range{1, 1000, 3}, Doc: "so many times slower"},
	{Name: Errors, On: OnCaches, Chance: share(), Doc: "answers errors, half of them after it ran"},
	{Name: Busy, On: OnCaches, Doc: "turns all away"},
	{Name: Spoil, On: OnCaches, Chance: share(), How: []string{"noise", "length", "endless", "unreadable"},
		Doc: "answers what can't be read"},
	{Name: Double, On: OnCaches, Chance: share(), Delay: &Range{0, 10, 0}, How: []string{"same", "noise"},
		Doc: "answers twice, the second time so much later"},
	{Name: ResetAccept, On: OnCaches, Doc: "ends each connection as it comes in"},
	{Name: ResetInside, On: OnCaches, Chance: share(), Doc: "breaks answers off in the middle"},
	{Name: ResetAfter, On: OnCaches, Chance: share(), Doc: "ends the connection right after answers"},
	{Name: DropIdle, On: OnCaches, Instant: true, How: []string{"silently", "openly"},
		Doc: "ends the connections that stand idle"},
	{Name: SwallowDials, On: OnCaches, Doc: "new connections do not come up"},
	{Name: Cut, On: OnLink, Doc: "nothing gets through"},
	{Name: Lag, On: OnLink, Factor: &Range{0.1, 1000, 5}, Delay: &Range{0, 10, 0}, Doc: "the way is longer"},
	{Name: ListLate, On: OnDiscovery, Delay: &Range{0.001, 60, 3}, Doc: "changes show so much later"},
	{Name: ListStale, On: OnDiscovery, Delay: &Range{0.001, 600, 30}, Doc: "the list is as it was so long ago"},
	{Name: ListDown, On: OnDiscovery, How: []string{"503", "resets"}, Doc: "calls fail, watches end"},
	{Name: ListSilent, On: OnDiscovery, Doc: "takes calls and answers none"},
	{Name: ListMoved, On: OnDiscovery, Instant: true, Doc: "moves; routers get the new address and SIGHUP"},
	{Name: ListBack, On: OnDiscovery, Instant: true, Keys: &Range{1, 1000, 2}, Doc: "its version goes back so far"},
	{Name: ListAtOnce, On: OnDiscovery, Doc: "answers watches without a wait"},
	{Name: ListBadEntry, On: OnDiscovery, How: []string{"name", "address", "status", "since", "shape", "json"},
		Doc: "its lists hold what none may hold"},
	{Name: RestartCold, On: OnCaches, Instant: true, Doc: "starts anew, cold, under its name"},
	{Name: Replace, On: OnCaches, Instant: true, How: []string{"same-address", "new-address"},
		Doc: "a cold one under a new name takes its place"},
	{Name: Drain, On: OnCaches, NeedsFor: true, Doc: "the list says terminating; it is gone after `for`"},
	{Name: Add, On: OnClients, Instant: true, Doc: "a new cold cache; its target is clients"},
	{Name: PowerCut, On: OnCaches, Instant: true, Doc: "all caches start cold at once; its target is all"},
	{Name: HotKey, On: OnClients, Keys: &Range{1, 100, 1}, Chance: &Range{0, 1, 0.2},
		Doc: "so many new keys draw that share of all requests"},
	{Name: Hostile, On: OnClients, How: []string{"bytes", "line", "half", "silent", "abandons", "deaf"},
		Doc: "clients that mean harm"},
	{Name: Burst, On: OnClients, Factor: &Range{0, 100, 3}, Doc: "so many times the rate"},
	{Name: RouterKill, On: OnRouters, Instant: true, Doc: "killed, and stays so"},
	{Name: RouterRestart, On: OnRouters, NeedsFor: true, Doc: "killed, and back after `for`"},
	{Name: RouterTerm, On: OnRouters, Instant: true, Doc: "SIGTERM, and a new one once it has ended"},
	{Name: HangUp, On: OnRouters, Instant: true, Doc: "SIGHUP"},
	{Name: ClockStep, On: OnRouters, Instant: true, Delay: &Range{-86400, 86400, 3600}, Doc: "its clock jumps by `delay`"},
	{Name: Stall, On: OnRouters, NeedsFor: true, Doc: "its process does not run"},
}

// kernelKinds are the kinds of faults of a machine's kernel. They stand apart so that what Draw draws of the others stays as it
// was.
var kernelKinds = []Kind{
	{Name: FailCalls, On: OnRouters, Chance: share(), Doc: "reads are cut short, and connections can't be begun for the moment"},
}

// Ways of a hand-over.
const (
	NextFirst = "next-first" // the next process starts, and the one before gets SIGTERM so much later
	TermFirst = "term-first" // the one before gets SIGTERM, and the next process starts so much later
	Stopped   = "stopped"    // the same, but the one before stands still until it is killed
	Killed    = "killed"     // the next process starts, and the one before is killed so much later
)

// processKinds are the kinds of faults of real processes. A virtual machine has one process.
var processKinds = []Kind{
	{Name: HandOver, On: OnRouters, Instant: true, Delay: &Range{0.001, 6.7, 0.3}, How: []string{NextFirst, TermFirst, Stopped, Killed},
		Doc: "the next process starts beside the one before, which ends `delay` apart; it is killed when the platform may kill it"},
	{Name: Signals, On: OnRouters, Instant: true, Delay: &Range{0.001, 1, 0.01},
		How: []string{"hup-hup", "hup-term", "term-hup", "term-term", "term-term-kill", "stop-term-cont"},
		Doc: "signals in a row, `delay` apart; where it ends, a new process starts"},
}

// ProcessKinds lists the kinds of faults that need real processes.
func ProcessKinds() []Kind { return slices.Clone(processKinds) }

var byName = func() map[string]*Kind {
	all := map[string]*Kind{}
	for i := range processKinds {
		all[processKinds[i].Name] = &processKinds[i]
	}
	for i := range kernelKinds {
		all[kernelKinds[i].Name] = &kernelKinds[i]
	}
	for i := range kinds {
		all[kinds[i].Name] = &kinds[i]
	}
	for i := range registryKinds {
		all[registryKinds[i].Name] = &registryKinds[i]
	}
	return all
}()

// Kinds lists all kinds of faults.
func Kinds() []Kind { return slices.Concat(kinds, kernelKinds, registryKinds) }

// Usual is the fault with the usual figures of its kind where it names none, and its target where that is the only one.
func (f Fault) Usual() Fault {
	k := byName[f.Kind]
	if k == nil {
		return f
	}
	if f.Target == "" {
		f.Target = k.only()
	}
	if k.Factor != nil && f.Factor == 0 {
		f.Factor = k.Factor.Usual
	}
	if k.Chance != nil && f.Chance == 0 {
		f.Chance = k.Chance.Usual
	}
	if k.Keys != nil && f.Keys == 0 {
		f.Keys = int(k.Keys.Usual)
	}
	if k.Delay != nil && f.Delay == 0 {
		f.Delay = time.Duration(k.Delay.Usual * float64(time.Second))
	}
	if len(k.How) > 0 && f.How == "" {
		f.How = k.How[0]
	}
	return f
}

// only is the one target of a kind that has no other, or empty.
func (k *Kind) only() string {
	switch {
	case k.Name == PowerCut:
		return "all"
	case k.On == OnDiscovery:
		return "discovery"
	case k.On == OnClients:
		return "clients"
	}
	return ""
}

// check looks at what no single key tells.
func check(s Script, bad operatorconfig.ReportFunc) {
	checkHooks(s, bad)
	for i, f := range s.Faults {
		at := fmt.Sprintf("fault[%d]", i)
		k := byName[f.Kind]
		if k == nil {
			names := slices.Sorted(maps.Keys(byName))
			if f.Kind == "" {
				bad(at, "kind is missing")
			} else {
				bad(at+".kind", "unknown fault (%s)%s", configerror.Quote(f.Kind), configerror.DidYouMean(f.Kind, names))
			}
			continue
		}
		k.checkTimes(f, s.Length, at, bad)
		k.checkTarget(f.Usual().Target, s, at, bad)
		k.checkFigures(f, at, bad)
		if k.Registered && !s.Registry.Enabled {
			bad(at+".kind", "%s needs a registry (registry.enabled = true)", k.Name)
		}
	}
}

func (k *Kind) checkTimes(f Fault, length time.Duration, at string, bad operatorconfig.ReportFunc) {
	switch {
	case f.At >= length:
		bad(at+".at", "at or past the end of the run (%s, which ends at %s)", f.At, length)
	case f.At+f.For > length:
		bad(at+".for", "past the end of the run (up to %s, which ends at %s)", f.At+f.For, length)
	}
	switch {
	case k.Instant && f.For != 0:
		bad(at+".for", "%s lasts no time", k.Name)
	case k.NeedsFor && f.For == 0:
		bad(at, "for is missing: %s needs it", k.Name)
	}
}

func (k *Kind) checkFigures(f Fault, at string, bad operatorconfig.ReportFunc) {
	for _, x := range []struct {
		name string
		v    float64
		in   *Range
	}{
		{"factor", f.Factor, k.Factor}, {"chance", f.Chance, k.Chance},
		{"keys", float64(f.Keys), k.Keys}, {"delay", f.Delay.Seconds(), k.Delay},
	} {
		switch {
		case x.v == 0:
		case x.in == nil:
			bad(at+"."+x.name, "%s takes no %s", k.Name, x.name)
		case !(x.v >= x.in.Least && x.v <= x.in.Most):
			bad(at+"."+x.name, "out of range (%v, wanted %v to %v)", x.v, x.in.Least, x.in.Most)
		}
	}
	switch {
	case f.How == "":
	case len(k.How) == 0:
		bad(at+".how", "%s takes no how", k.Name)
	case !slices.Contains(k.How, f.How):
		bad(at+".how", "unknown word (%s, wanted %s)", configerror.Quote(f.How), configerror.OneOf(k.How))
	}
}

func (k *Kind) checkTarget(target string, s Script, at string, bad operatorconfig.ReportFunc) {
	if target == "" {
		bad(at, "target is missing (wanted %s)", k.targets())
		return
	}
	if k.only() != "" && target != k.only() || !k.takes(target, s) {
		bad(at+".target", "no target of %s (%s, wanted %s)", k.Name, configerror.Quote(target), k.targets())
	}
}

// targets words what a kind may strike.
func (k *Kind) targets() string {
	switch {
	case k.only() != "":
		return k.only()
	case k.On == OnCaches:
		return "c1, c1-4, zone:NAME or all"
	case k.On == OnRouters:
		return "router:1, router:1-4 or all"
	case k.On == OnLink:
		return "NAME>NAME or NAME<>NAME"
	case k.On == OnRegistry:
		return "registry or registry:1"
	}
	return "store"
}

func (k *Kind) takes(target string, s Script) bool {
	switch {
	case k.On == OnCaches:
		return target == "all" || len(CachesOf(target, s.Caches)) > 0
	case k.On == OnRouters:
		return target == "all" || len(RoutersOf(target, s.Routers)) > 0
	case k.On == OnLink:
		_, _, _, ok := LinkOf(target)
		return ok
	case k.On == OnRegistry:
		return len(ReplicasOf(target, s.Registry.Replicas)) > 0
	}
	return target == k.only()
}

// CachesOf is the places, from 0, of the caches that a target names among the first n.
func CachesOf(target string, n int) []int {
	if number, ok := strings.CutPrefix(target, "c"); ok {
		return one(number, n)
	}
	zone, ok := strings.CutPrefix(target, "zone:")
	at := slices.Index(Zones(), zone)
	if target != "all" && (!ok || at < 0) {
		return nil
	}
	var found []int
	for i := range n {
		if target == "all" || i%len(Zones()) == at {
			found = append(found, i)
		}
	}
	return found
}

// RoutersOf is the places, from 0, of the routers that a target names among n.
func RoutersOf(target string, n int) []int {
	if target == "all" {
		var all []int
		for i := range n {
			all = append(all, i)
		}
		return all
	}
	number, ok := strings.CutPrefix(target, "router:")
	if !ok {
		return nil
	}
	return one(number, n)
}

// one is the place of the thing of that number, or the places from one number to another, as 3-7; nil where there is none.
func one(number string, n int) (places []int) {
	first, last, several := strings.Cut(number, "-")
	if !several {
		last = first
	}
	from, err1 := strconv.Atoi(first)
	to, err2 := strconv.Atoi(last)
	if err1 != nil || err2 != nil || from < 1 || to < from || to > n || several && from == to ||
		strconv.Itoa(from) != first || strconv.Itoa(to) != last {
		return nil
	}
	for i := from; i <= to; i++ {
		places = append(places, i-1)
	}
	return places
}

// LinkOf reads a target that is a link: from one zone to another, or both ways.
func LinkOf(target string) (from, to string, both, ok bool) {
	from, to, both = strings.Cut(target, "<>")
	if !both {
		from, to, _ = strings.Cut(target, ">")
	}
	ok = slices.Contains(Zones(), from) && slices.Contains(Zones(), to)
	return from, to, both, ok
}
