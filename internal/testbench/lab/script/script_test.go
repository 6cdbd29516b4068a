package script

import (
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

func TestDrawnScriptsAreLegalAndReadBackTheSame(t *testing.T) {
	seen := map[string]bool{}
	draw := func(n uint64) Script {
		if n < 2000 {
			return Draw(n)
		}
		if n < 4000 {
			return DrawRegistry(n, 10*time.Second)
		}
		if n < 5000 {
			return DrawThrong(n, 10*time.Second)
		}
		return DrawOutage(n, 10*time.Second)
	}
	for seed := range uint64(6000) {
		s := draw(seed)
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
		if !reflect.DeepEqual(s, draw(seed)) {
			t.Fatalf("seed %d was drawn twice, with two results", seed)
		}
		for _, f := range s.Faults {
			seen[f.Kind] = true
		}
	}
	for _, k := range Kinds() {
		if !seen[k.Name] {
			t.Errorf("%s was never drawn", k.Name)
		}
	}
}

func TestDrawnFaultsOftenOverlap(t *testing.T) {
	together := 0
	for seed := range uint64(500) {
		s := Draw(seed)
		for i, f := range s.Faults {
			if i > 0 && f.At < s.Faults[i-1].Until(s.Length) {
				together++
				break
			}
		}
	}
	if together < 200 || together == 500 {
		t.Errorf("%d of 500 scripts have faults that overlap, wanted many and not all", together)
	}
}

func TestBadScriptIsNamedByLineAndField(t *testing.T) {
	head := "kind = \"faults\"\nlength = \"10s\"\ncaches = 9\n"
	for _, c := range []struct{ text, want string }{
		{"[[fault]]\nat = \"1s\"\nkind = \"hangs\"\ntarget = \"c1\"\n", "s.toml:6:1: fault[0].kind: unknown fault"},
		{"[[fault]]\nat = \"10s\"\nkind = \"busy\"\ntarget = \"c1\"\n", "s.toml:5:1: fault[0].at: at or past the end"},
		{"[[fault]]\nat = \"9s\"\nfor = \"2s\"\nkind = \"busy\"\ntarget = \"c1\"\n", "s.toml:6:1: fault[0].for: past the end"},
		{"[[fault]]\nat = \"9s\"\nkind = \"busy\"\ntarget = \"c10\"\n", "s.toml:7:1: fault[0].target: no target of busy"},
		{"[[fault]]\nat = \"9s\"\nkind = \"busy\"\n", "s.toml:4:3: fault[0]: target is missing"},
		{"[[fault]]\nat = \"9s\"\nkind = \"drain\"\ntarget = \"c1\"\n", "s.toml:4:3: fault[0]: for is missing"},
		{"[[fault]]\nat = \"9s\"\n", "s.toml:4:3: fault[0]: kind is missing"},
		{"[[fault]]\nat = \"1s\"\nkind = \"errors\"\ntarget = \"all\"\nchance = 1.5\n", "s.toml:8:1: fault[0].chance: out of range"},
		{"[[fault]]\nat = \"1s\"\nkind = \"busy\"\ntarget = \"all\"\nkeys = 2\n", "fault[0].keys: busy takes no keys"},
		{"[[fault]]\nat = \"1s\"\nkind = \"spoil\"\ntarget = \"all\"\nhow = \"x\"\n", "fault[0].how: unknown word"},
		{"[[fault]]\nat = \"1s\"\nkind = \"cut\"\ntarget = \"surat>nowhere\"\n", "fault[0].target: no target of cut"},
		{"[[fault]]\nat = \"1s\"\nkind = \"list-down\"\ntarget = \"c1\"\n", "fault[0].target: no target of list-down"},
		{"[[fault]]\nat = \"-1s\"\nkind = \"list-down\"\n", "s.toml:5:1: fault[0].at: out of range"},
		{"[[fault]]\nwhen = \"1s\"\n", "s.toml:5:1: fault[0].when: unknown key"},
		{"[[fault]]\nat = \"1s\"\nkind = \"registry-5xx\"\ntarget = \"registry\"\n", "registry-5xx needs a registry"},
		{"[registry]\nenabled = true\n[[fault]]\nat = \"1s\"\nkind = \"registry-5xx\"\ntarget = \"registry:2\"\n",
			"fault[0].target: no target of registry-5xx"},
		{"[registry]\norder = \"file\"\n", "registry.order: unknown word"},
		{"rate = nan\n", "s.toml:4:1: rate: out of range"},
		{"routers = 0\n", "s.toml:4:1: routers: out of range"},
		{"[clients]\nwait = \"never\"\n", "s.toml:5:1: clients.wait: unknown word"},
	} {
		_, err := Parse("s.toml", []byte(head+c.text))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q gives %v, wanted %q", c.text, err, c.want)
		}
	}
}

func TestFaultOfACommandLineReadsAsItIsWritten(t *testing.T) {
	for _, text := range []string{
		"hang:c2@3s+2s", "slow:zone:surat@1s+500ms,factor=4", "cut:surat<>rajkot@1s", "burst@1s+1s,factor=2.5",
		"clock-step:router:1@2s,delay=-1m", "spoil:all@1s+1s,chance=0.2,how=noise", "hot-key@1s,chance=0.1,keys=3",
		"registry-slow:registry:1@1s+1s,delay=200ms",
	} {
		f, err := ParseFault(text)
		if err != nil || f.String() != text {
			t.Errorf("%q reads as %q, %v", text, f, err)
		}
		s := Default()
		s.Registry.Enabled = true
		s.Faults = []Fault{f}
		if err := s.Check(); err != nil {
			t.Errorf("%q: %v", text, err)
		}
	}
	for _, text := range []string{"", "hang", "hang:c2", "hung:c2@1s", "hang:c2@x", "hang:c2@1s+x", "hang:c2@1s,x=1"} {
		if f, err := ParseFault(text); err == nil {
			t.Errorf("%q reads as %q", text, f)
		}
	}
}

func TestFiguresThatAreNotNamedAreTheUsualOnes(t *testing.T) {
	got := Fault{Kind: ListLate}.Usual()
	want := Fault{Kind: ListLate, Target: "discovery", Delay: 3 * time.Second}
	if got != want {
		t.Errorf("%+v, wanted %+v", got, want)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(Text(Draw(1)))
	f.Add(Text(Draw(7)))
	f.Add(Text(DrawRegistry(7, time.Minute)))
	f.Add("kind = \"faults\"\n[[fault]]\nat = \"1s\"\nkind = \"cut\"\ntarget = \"a>b\"\n")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse("fuzz", []byte(text))
		if err != nil {
			return
		}
		back, err := Parse("again", []byte(Text(s)))
		if err != nil {
			t.Fatalf("%v\n%s", err, Text(s))
		}
		if Text(back) != Text(s) {
			t.Fatalf("reads back as\n%s\nand was\n%s", Text(back), Text(s))
		}
	})
}

func TestOperatorsPageNamesEveryKind(t *testing.T) {
	page, err := os.ReadFile("../../../../docs/operators/lab.md")
	if err != nil {
		t.Fatal(err)
	}
	words := strings.FieldsFunc(string(page), func(r rune) bool { return r == ' ' || r == ',' || r == '|' || r == '\n' })
	for _, k := range Kinds() {
		if !slices.Contains(words, k.Name) {
			t.Errorf("%s is not on the page", k.Name)
		}
	}
}
