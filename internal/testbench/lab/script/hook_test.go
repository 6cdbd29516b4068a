package script

import (
	"reflect"
	"strings"
	"testing"
)

func TestDrawnHooksAreLegalReadBackTheSameAndChangeNothingElse(t *testing.T) {
	kinds := map[string]bool{}
	for seed := range uint64(500) {
		s := Draw(seed)
		s.Hooks = DrawHooks(seed)
		if err := s.Check(); err != nil {
			t.Fatalf("seed %d: %v\n%s", seed, err, Text(s))
		}
		back, err := Parse("drawn", []byte(Text(s)))
		if err != nil {
			t.Fatalf("seed %d: %v\n%s", seed, err, Text(s))
		}
		if !reflect.DeepEqual(s, back) {
			t.Fatalf("seed %d reads back as\n%+v\nand was\n%+v", seed, back, s)
		}
		if !reflect.DeepEqual(s.Hooks, DrawHooks(seed)) {
			t.Fatalf("the hooks of seed %d were drawn twice, with two results", seed)
		}
		if s.Hooks = nil; !reflect.DeepEqual(s, Draw(seed)) {
			t.Fatalf("seed %d has other troubles with hooks", seed)
		}
		for _, h := range back.Hooks {
			kinds[h.Kind] = true
		}
	}
	for _, k := range hookKinds {
		if !kinds[k] {
			t.Errorf("%s was never drawn", k)
		}
	}
}

func TestBadHookIsNamedByLineAndField(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"kind = \"hangs\"", "s.toml:4:1: hook[0].kind: unknown kind"},
		{"one_in = 2", "s.toml:3:3: hook[0]: kind is missing"},
		{"kind = \"hang\"\none_in = -1", "hook[0].one_in: out of range"},
		{"kind = \"hang\"\npoints = \"request,asked\"", "s.toml:5:1: hook[0].points: unknown point"},
		{"kind = \"hang\"\non_failure = \"wait\"", "s.toml:5:1: hook[0].on_failure: unknown word"},
		{"kind = \"hang\"\ndelay = \"1s\"", "s.toml:5:1: hook[0].delay: hang takes no delay"},
		{"kind = \"hang\"\ntime = \"1us\"", "s.toml:5:1: hook[0].time: out of range"},
		{"kind = \"hang\"\nqueue = 5000", "s.toml:5:1: hook[0].queue: out of range"},
		{"kind = \"hang\"\nshare = 2.0", "s.toml:5:1: hook[0].share: out of range"},
		{strings.Repeat("kind = \"hang\"\n[[hook]]\n", 5) + "kind = \"hang\"", "hook: "},
	} {
		_, err := Parse("s.toml", []byte("kind = \"faults\"\nlength = \"10s\"\n[[hook]]\n"+c.text+"\n"))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q gives %v, wanted %q", c.text, err, c.want)
		}
	}
}

func TestNothingPassesAHookThatNeverSaysSoAndRefusesOnFailure(t *testing.T) {
	for _, c := range []struct {
		h    Hook
		want bool
	}{
		{Hook{Kind: HookRefuse, OnFailure: OnFailureRefuse}, true},
		{Hook{Kind: HookHang, OnFailure: OnFailureRefuse, Points: "list,request"}, true},
		{Hook{Kind: HookLoadDie, OnFailure: OnFailureRefuse}, true},
		{Hook{Kind: HookRefuse}, false},
		{Hook{Kind: HookRefuse, OnFailure: OnFailureRefuse, OneIn: 2}, false},
		{Hook{Kind: HookHang, OnFailure: OnFailureRefuse, Points: "list"}, false},
		{Hook{Kind: HookPass, OnFailure: OnFailureRefuse}, false},
		{Hook{Kind: HookTwice, OnFailure: OnFailureRefuse}, false}, // its first answer counts
	} {
		if got := c.h.NeverPasses(); got != c.want {
			t.Errorf("%+v: %v", c.h, got)
		}
	}
}
