package wire

import (
	"reflect"
	"strings"
	"testing"

	"starlingwinch/internal/plugin"
)

// body returns the body of the only frame in b.
func body(t *testing.T, b []byte, kind byte) []byte {
	t.Helper()
	got, body, rest, err := Next(b, MaxFrameToWorker)
	if err != nil || got != kind || len(rest) > 0 {
		t.Fatalf("frame of kind %d with %d bytes after it, %v; want kind %d alone", got, len(rest), err, kind)
	}
	return body
}

func TestFramesRoundTrip(t *testing.T) {
	load := Load{Name: "club", Engine: "wasm", Budget: plugin.DefaultBudget, Code: []byte("code")}
	if got, err := ParseLoad(body(t, AppendLoad(nil, &load), KindLoad)); err != nil || !reflect.DeepEqual(got, load) {
		t.Errorf("load %+v, %v", got, err)
	}
	for _, c := range []plugin.Call{
		{Point: plugin.OnRequest, Now: 9, Verb: "C.SET", Class: "put", Tenant: "a", Key: "k", Size: 3, TimeLeft: 5},
		{Point: plugin.OnRequest, Value: []byte("abc")}, {Point: plugin.OnRequest, Value: []byte{}},
		{Point: plugin.Answered, Verb: "C.GET", Class: "read", Outcome: plugin.OutcomeFailed, Took: 77},
		{Point: plugin.ListChanged, Caches: 12, ServingCaches: 11}, {Point: plugin.Unload},
	} {
		var got plugin.Call
		if seq, err := ParseCall(body(t, AppendCall(nil, 41, &c), KindCall), &got); err != nil || seq != 41 || !reflect.DeepEqual(got, c) {
			t.Errorf("call %d %+v, %v; want %+v", seq, got, err, c)
		}
	}
	for _, r := range []Reply{
		{Sequence: 1, RunTime: 3},
		{Sequence: 2, Verdict: plugin.Verdict{Decision: plugin.Reject, RetryAfter: 250_000, Tags: []string{"club"}, Log: []string{"a", "b"}}},
		{Sequence: 3, Verdict: plugin.Verdict{Decision: plugin.Fail, Text: "no such call", Tenant: "guests"}},
		{Sequence: 4, Failed: true, Kind: plugin.BudgetExceeded, Text: "it was interrupted", Verdict: plugin.Verdict{Log: []string{"x"}}},
	} {
		var got Reply
		if err := ParseReply(body(t, AppendReply(nil, &r), KindReply), &got); err != nil || !same(got, r) {
			t.Errorf("reply %+v, %v; want %+v", got, err, r)
		}
	}
	f := plugin.Failure{Kind: plugin.VersionMismatch, Text: "it was built for version 2"}
	if got, err := ParseLoadFailed(body(t, AppendLoadFailed(nil, &f), KindLoadFailed)); err != nil || *got != f {
		t.Errorf("load failed %+v, %v", got, err)
	}
	if got, err := ParseLoaded(body(t, AppendLoaded(nil, 6), KindLoaded)); err != nil || got != 6 {
		t.Errorf("loaded %d, %v", got, err)
	}
}

// same reports whether two replies are equal; nil and empty lists are equal.
func same(a, b Reply) bool {
	list := func(s []string) string { return strings.Join(s, "\n") }
	av, bv := a.Verdict, b.Verdict
	a.Verdict, b.Verdict = plugin.Verdict{}, plugin.Verdict{}
	return reflect.DeepEqual(a, b) && av.Decision == bv.Decision && av.RetryAfter == bv.RetryAfter && av.Text == bv.Text &&
		av.Tenant == bv.Tenant && list(av.Tags) == list(bv.Tags) && list(av.Log) == list(bv.Log)
}

func TestParseReplyRejectsInvalidVerdicts(t *testing.T) {
	for what, v := range map[string]plugin.Verdict{ // any order
		"decision": {Decision: 9},
		"wait":     {Decision: plugin.Reject, RetryAfter: plugin.MaxRetryAfter + 1000},
		"tag":      {Tags: []string{"a b"}},
		"tenant":   {Tenant: "a\r\nb"},
		"text":     {Decision: plugin.Fail, Text: strings.Repeat("x", plugin.MaxText+1)},
		"tags":     {Tags: strings.Split("a b c d e f g h i", " ")},
		"lines":    {Log: make([]string, plugin.MaxLogLines+1)},
		"line":     {Log: []string{strings.Repeat("x", plugin.MaxLogLine+1)}},
	} {
		if err := ParseReply(body(t, AppendReply(nil, &Reply{Verdict: v}), KindReply), &Reply{}); err != ErrMalformedFrame {
			t.Errorf("%s: got error %v, want %v", what, err, ErrMalformedFrame)
		}
	}
	var got Reply
	r := Reply{Verdict: plugin.Verdict{Decision: plugin.Fail, Text: "a\r\n-OK\x1b[2J", Log: []string{"a\nb"}}}
	if err := ParseReply(body(t, AppendReply(nil, &r), KindReply), &got); err != nil {
		t.Fatal(err)
	}
	if got.Verdict.Text != "a??-OK?[2J" || got.Verdict.Log[0] != "a?b" {
		t.Errorf("control characters are not replaced: got %+v", got.Verdict)
	}
}

func TestNextRejectsInvalidLengths(t *testing.T) {
	for _, b := range []string{"\x00\x00\x00\x00", "\xff\xff\xff\xff\x05"} {
		if _, _, _, err := Next([]byte(b), MaxFrameToRouter); err == nil {
			t.Errorf("%q: got no error for an invalid length", b)
		}
	}
	whole := AppendCall(nil, 1, &plugin.Call{Point: plugin.Unload})
	for n := range whole {
		if kind, _, rest, err := Next(whole[:n], MaxFrameToWorker); kind != 0 || err != nil || len(rest) != n {
			t.Errorf("%d bytes of %d: kind %d, %v", n, len(whole), kind, err)
		}
		if m := Missing(whole[:n]); m < 1 || n+m > len(whole) {
			t.Errorf("%d bytes of %d: %d are missing", n, len(whole), m)
		}
	}
}

func TestParseReplyOfPassAllocatesNothing(t *testing.T) {
	b := body(t, AppendReply(nil, &Reply{Sequence: 9, RunTime: 1}), KindReply)
	var p Reply
	if n := testing.AllocsPerRun(100, func() { ParseReply(b, &p) }); n > 0 {
		t.Errorf("%v allocations", n)
	}
}

func FuzzReply(f *testing.F) {
	verdict := plugin.Verdict{Decision: plugin.Reject, RetryAfter: 1, Tags: []string{"club"}, Log: []string{"a"}}
	f.Add(AppendReply(nil, &Reply{Sequence: 2, Verdict: verdict}))
	f.Add(AppendReply(nil, &Reply{Failed: true, Text: "x"}))
	f.Fuzz(func(t *testing.T, b []byte) {
		for {
			kind, body, rest, err := Next(b, MaxFrameToRouter)
			if kind == 0 || err != nil {
				return
			}
			b = rest
			var p, again Reply
			if ParseReply(body, &p) != nil {
				continue
			}
			out := AppendReply(nil, &p)
			if err := ParseReply(out[5:], &again); err != nil || !same(p, again) {
				t.Errorf("%+v is read back as %+v, %v", p, again, err)
			}
		}
	})
}

func FuzzCallAndLoad(f *testing.F) {
	f.Add(AppendCall(nil, 3, &plugin.Call{Point: plugin.OnRequest, Key: "k", Value: []byte("v")})[5:])
	f.Add(AppendLoad(nil, &Load{Name: "a", Engine: "wasm", Code: []byte("c")})[5:])
	f.Fuzz(func(t *testing.T, b []byte) {
		var c, again plugin.Call
		if seq, err := ParseCall(b, &c); err == nil {
			out := AppendCall(nil, seq, &c)
			if s, err := ParseCall(out[5:], &again); err != nil || s != seq || !reflect.DeepEqual(c, again) {
				t.Errorf("%+v is read back as %+v, %v", c, again, err)
			}
		}
		if l, err := ParseLoad(b); err == nil && len(l.Code) > len(b) {
			t.Error("the code is longer than the frame")
		}
	})
}
