package simwire

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"starlingwinch/decide"
)

// logText matches the text of a log line in a reply. The protocol does not fix this text.
var logText = regexp.MustCompile(`("JournalLine":\{"i":\d+,"reasonText":)"(?:[^"\\]|\\.)*"`)

// TestRepliesMatchEarlierRelease replays a recorded session of messages and compares each reply, except for the text of log lines,
// with the reply of release ea855d0.
func TestRepliesMatchEarlierRelease(t *testing.T) {
	messages, err := os.ReadFile("testdata/ea855d0.messages")
	if err != nil {
		t.Fatal(err)
	}
	replies, err := os.ReadFile("testdata/ea855d0.replies")
	if err != nil {
		t.Fatal(err)
	}
	out, err := run(t, string(messages))
	if err != nil {
		t.Fatal(err)
	}
	got, want := strings.Split(out, "\n"), strings.Split(string(replies), "\n")
	if len(got) != len(want) {
		t.Fatalf("got %d lines, want %d", len(got), len(want))
	}
	for i := range want {
		if withoutLogText(got[i]) != withoutLogText(want[i]) {
			t.Errorf("line %d:\n got %s\nwant %s", i+1, got[i], want[i])
		}
	}
}

func withoutLogText(line string) string { return logText.ReplaceAllString(line, `$1""`) }

// TestActionsMatchEarlierRelease checks the JSON of each action.
func TestActionsMatchEarlierRelease(t *testing.T) {
	for want, action := range map[string]decide.Action{
		`{"CallOut":{"i":3,"tid":8,"server":"s\"1","stopAt":77}}`: decide.Send{ID: 8, Cache: `s"1`, AttemptDeadline: 77, WriteDeadline: 5},
		`{"CallOut":{"i":3,"tid":8,"server":"s"}}`:                decide.Send{ID: 8, Cache: "s"},
		`{"StopAttempt":{"i":3,"tid":8,"sendNo":2}}`:              decide.Cancel{ID: 8, Attempt: 2},
		`{"Bounce":{"i":3,"tid":8,"notBeforeFor":9}}`:             decide.Reject{ID: 8, RetryAfter: 9, Reason: decide.NoCapacity},
		`{"Bounce":{"i":3,"tid":8}}`:                              decide.Reject{ID: 8},
		`{"Lose":{"i":3,"tid":8}}`:                                decide.Fail{ID: 8, Reason: decide.DeadlineExceeded},
		`{"Arm":{"i":3,"cookie":4,"time":5}}`:                     decide.SetTimer{Token: 4, At: 5},
		`{"Sample":{"i":3,"server":"s"}}`:                         decide.HealthCheck{Cache: "s"},
		`{"DropConns":{"i":3,"server":"s"}}`:                      decide.CloseIdle{Cache: "s"},
		`{"Follow":{"i":3,"enable":true}}`:                        decide.Watch{},
	} {
		if got := string(appendAction(nil, 3, action)); got != want {
			t.Errorf("%T: got %s, want %s", action, got, want)
		}
	}
}
