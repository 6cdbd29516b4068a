package script

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"starlingwinch/internal/configerror"
	"starlingwinch/internal/operatorconfig"
)

// What a hook does when it strikes; else it passes.
const (
	HookPass      = "pass"
	HookTag       = "tag" // it names another tenant, and logs
	HookRefuse    = "refuse"
	HookFail      = "fail"
	HookCrash     = "crash"
	HookOverrun   = "overrun" // its worker interrupts it, at the end of its budget
	HookHang      = "hang"
	HookSlow      = "slow"
	HookDie       = "die" // its worker ends
	HookTwice     = "twice"
	HookNonsense  = "nonsense" // bytes that are no verdict
	HookLoadCrash = "load-crash"
	HookLoadHang  = "load-hang"
	HookLoadDie   = "load-die"
)

var hookKinds = []string{HookPass, HookTag, HookRefuse, HookFail, HookCrash, HookOverrun, HookHang, HookSlow, HookDie,
	HookTwice, HookNonsense, HookLoadCrash, HookLoadHang, HookLoadDie}

// Points at which a hook may want to be asked.
const (
	AtRequest  = "request"
	AtAnswered = "answered"
	AtList     = "list"
	AtUnload   = "unload"
)

var hookPoints = []string{AtRequest, AtAnswered, AtList, AtUnload}

// OnFailureRefuse rejects a request whose hook has failed; without it the request goes on.
const OnFailureRefuse = "refuse"

// Hook is one hook of all routers. They are asked in their order.
type Hook struct {
	Kind      string        `toml:"kind" doc:"what it does when it strikes"`
	OneIn     int           `toml:"one_in" min:"0" max:"1000" doc:"it strikes in one call of so many; 0 for each"`
	Points    string        `toml:"points" max:"64" doc:"where it wants to be asked, as request,answered; empty for request"`
	Class     string        `toml:"class" max:"64" doc:"it is asked for this class alone; empty for all"`
	OnFailure string        `toml:"on_failure" max:"8" doc:"refuse, or empty to pass"`
	Delay     time.Duration `toml:"delay" min:"0s" max:"10s" doc:"of slow"`
	Time      time.Duration `toml:"time" min:"0s" max:"1s" doc:"budget of a call; 0s for 5ms"`
	Queue     int           `toml:"queue" min:"0" max:"4096" doc:"calls that may wait for it or run; 0 for 64"`
	Share     float64       `toml:"share" min:"0" max:"1" doc:"of one core; 0 for all of it"`
}

// Usual is a hook with the figures that stand for those it does not name.
func (h Hook) Usual() Hook {
	if h.Points == "" {
		h.Points = AtRequest
	}
	h.OneIn = max(1, h.OneIn)
	if h.Time == 0 {
		h.Time = 5 * time.Millisecond
	}
	if h.Queue == 0 {
		h.Queue = 64
	}
	if h.Share == 0 {
		h.Share = 1
	}
	return h
}

// At reports whether it wants to be asked at a point.
func (h Hook) At(point string) bool {
	return slices.Contains(strings.Split(h.Usual().Points, ","), point)
}

// NeverPasses reports whether no request that it is asked about may go on, whatever happens to the hook itself.
func (h Hook) NeverPasses() bool {
	h = h.Usual()
	if !h.At(AtRequest) || h.OneIn > 1 || h.OnFailure != OnFailureRefuse {
		return false
	}
	return !slices.Contains([]string{HookPass, HookTag, HookSlow, HookTwice}, h.Kind)
}

// mostHooks of a router.
const mostHooks = 4

func checkHooks(s Script, bad operatorconfig.ReportFunc) {
	if len(s.Hooks) > mostHooks {
		bad("hook", "%d hooks (wanted at most %d)", len(s.Hooks), mostHooks)
	}
	for i, h := range s.Hooks {
		at := fmt.Sprintf("hook[%d]", i)
		switch {
		case h.Kind == "":
			bad(at, "kind is missing")
		case !slices.Contains(hookKinds, h.Kind):
			bad(at+".kind", "unknown kind (%s)%s", configerror.Quote(h.Kind), configerror.DidYouMean(h.Kind, hookKinds))
		}
		for _, p := range strings.Split(h.Usual().Points, ",") {
			if !slices.Contains(hookPoints, p) {
				bad(at+".points", "unknown point (%s)%s", configerror.Quote(p), configerror.DidYouMean(p, hookPoints))
			}
		}
		if h.OnFailure != "" && h.OnFailure != "pass" && h.OnFailure != OnFailureRefuse {
			bad(at+".on_failure", "unknown word (%s, wanted pass or refuse)", configerror.Quote(h.OnFailure))
		}
		if h.Delay != 0 && h.Kind != HookSlow {
			bad(at+".delay", "%s takes no delay", h.Kind)
		}
		if h.Time > 0 && h.Time < time.Millisecond {
			bad(at+".time", "out of range (wanted at least 1ms)")
		}
	}
}

// hookStream keeps the draws of hooks apart from all others: a seed's other troubles are the same with hooks and
// without.
const hookStream = 0x40_0c5f_01

// DrawHooks is one to three hooks that the seed decides.
func DrawHooks(seed uint64) []Hook {
	d := drawer{rand.New(rand.NewPCG(seed, hookStream))}
	all := make([]Hook, 1+d.IntN(3))
	for i := range all {
		all[i] = d.hook()
	}
	return all
}

func (d drawer) hook() Hook {
	h := Hook{
		Kind:  pick(d, hookKinds),
		OneIn: pick(d, []int{1, 1, 3, 20}),
		Points: pick(d, []string{AtRequest, AtRequest, "request,answered", "request,answered,list,unload",
			"answered,list"}),
		Class:     pick(d, []string{"", "call-lookup", "add-contact", "confirm-contact"}),
		OnFailure: pick(d, []string{"pass", OnFailureRefuse}),
		Time:      pick(d, []time.Duration{time.Millisecond, 5 * time.Millisecond, 50 * time.Millisecond}),
		Queue:     pick(d, []int{1, 4, 64}),
		Share:     pick(d, []float64{0.05, 0.25, 1}),
	}
	if h.Kind == HookSlow {
		h.Delay = d.span(time.Millisecond, 80*time.Millisecond)
	}
	return h
}
