package registry

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"starlingwinch/internal/httpclient"
)

func TestSilentRegistryAnswersNothing(t *testing.T) {
	f := newField(t, Options{})
	f.r.Silent(true)
	if got := f.call("GET", "/apps", ""); got.err == nil || got.took < most {
		t.Errorf("answered %d after %d", got.status, got.took)
	}
	f.r.Silent(false)
	f.shows("/apps", "", "")
}

func TestErrorRegistryDoesNothing(t *testing.T) {
	f := newField(t, Options{})
	f.r.Error(503)
	f.does(503, "POST", "/apps/LOG-CACHE", body("a", ""))
	f.does(503, "GET", "/apps", "")
	f.r.Error(0)
	f.shows("/apps", "", "")
}

func TestSlowRegistryDelaysAnswers(t *testing.T) {
	f := newField(t, Options{})
	f.r.Slow(3 * Second)
	if got := f.does(200, "GET", "/apps", ""); got.took < 3*Second || got.took > 4*Second {
		t.Errorf("took %d", got.took)
	}
	f.r.Slow(30 * Second)
	if got := f.call("GET", "/apps", ""); got.err == nil {
		t.Error("answered in time")
	}
	f.r.Close()
	if n := f.host.Pending(); n != 0 {
		t.Errorf("%d timers are left", n)
	}
}

func TestTruncatedAnswers(t *testing.T) {
	f := newField(t, Options{})
	f.register("a")
	f.r.Truncate(true)
	if got := f.call("GET", "/apps", ""); got.err == nil {
		t.Errorf("a whole answer came: %s", got.body)
	}
	f.r.Truncate(false)
	f.shows("/apps", "a UP", "UP_1_")
}

func TestMalformedAnswers(t *testing.T) {
	f := newField(t, Options{})
	f.register("a")
	f.r.Malform(true)
	for _, path := range []string{"/apps", "/apps/delta", "/apps/LOG-CACHE", "/instances/a", "/vips/log-cache"} {
		if got := f.does(200, "GET", path, ""); json.Valid([]byte(got.body)) || got.body == "" {
			t.Errorf("%s: %s", path, got.body)
		}
	}
	f.r.Malform(false)
	f.shows("/apps", "a UP", "UP_1_")
}

func TestWrongHash(t *testing.T) {
	f := newField(t, Options{})
	f.register("a")
	f.shows("/apps", "a UP", "UP_1_")
	f.r.WrongHash(true)
	f.shows("/apps", "a UP", "UP_1_WRONG_1_")
	f.shows("/apps/delta", "a UP ADDED", "UP_1_WRONG_1_")
	f.r.WrongHash(false)
	f.shows("/apps", "a UP", "UP_1_")
}

func TestStaleRegistryShowsOldState(t *testing.T) {
	for _, cache := range []Time{0, Second} {
		f := newField(t, Options{CacheTime: cache})
		f.register("a")
		f.after(2 * Second)
		f.r.Stale(true)
		f.register("b")
		f.does(200, "DELETE", "/apps/LOG-CACHE/a", "")
		f.after(100 * Second)
		f.shows("/apps", "a UP", "UP_1_")
		f.shows("/apps/delta", "a UP ADDED", "UP_1_")
		f.does(200, "GET", "/apps/LOG-CACHE/a", "")
		f.does(404, "GET", "/instances/b", "")
		f.r.Stale(false)
		f.shows("/apps", "b UP", "UP_1_")
	}
}

func TestEmptiedRegistry(t *testing.T) {
	for _, cache := range []Time{0, Second} {
		f := newField(t, Options{CacheTime: cache})
		f.register("a", "b")
		f.after(2 * Second)
		f.r.Empty()
		f.shows("/apps", "", "")
		f.shows("/apps/delta", "", "")
		f.does(404, "PUT", "/apps/LOG-CACHE/a", "")
		if got := strings.Join(f.marks, ", "); got != "a UP, b UP, a DELETED, b DELETED" {
			t.Errorf("marks: %s", got)
		}
		f.register("a")
		f.after(2 * Second)
		f.shows("/apps", "a UP", "UP_1_")
	}
}

func TestDisagreeingReplicaHidesInstances(t *testing.T) {
	for _, cache := range []Time{0, Second} {
		f := newField(t, Options{CacheTime: cache})
		f.register("a", "b")
		f.after(2 * Second)
		f.r.Disagree("a")
		f.shows("/apps", "b UP", "UP_1_")
		f.shows("/apps/delta", "b UP ADDED", "UP_1_")
		f.does(404, "GET", "/instances/a", "")
		f.does(200, "PUT", "/apps/LOG-CACHE/a", "") // it is there all the same
		f.r.Disagree()
		f.shows("/apps", "a UP, b UP", "UP_2_")
	}
}

func TestDeltaLost(t *testing.T) {
	f := newField(t, Options{})
	f.register("a")
	f.r.DeltaLost(2)
	f.register("b", "c", "d")
	f.shows("/apps/delta", "a UP ADDED, d UP ADDED", "UP_4_")
	f.shows("/apps", "a UP, b UP, c UP, d UP", "UP_4_")
}

func TestDeltaRepeat(t *testing.T) {
	f := newField(t, Options{})
	f.register("a", "b")
	f.r.DeltaRepeat(true)
	f.shows("/apps/delta", "a UP ADDED, b UP ADDED, a UP ADDED, b UP ADDED", "UP_2_")
	f.r.DeltaRepeat(false)
	f.shows("/apps/delta", "a UP ADDED, b UP ADDED", "UP_2_")
}

func TestDeltaOld(t *testing.T) {
	f := newField(t, Options{})
	f.register("a")
	f.r.DeltaOld(true)
	f.register("b")
	f.shows("/apps/delta", "a UP ADDED", "UP_1_")
	f.shows("/apps", "a UP, b UP", "UP_2_")
	f.r.DeltaOld(false)
	f.shows("/apps/delta", "a UP ADDED, b UP ADDED", "UP_2_")
}

func TestHugeAnswerSize(t *testing.T) {
	f := newField(t, Options{})
	f.r.Huge(1_000_000)
	got := f.does(200, "GET", "/apps", "")
	if n := len(got.body); n < 999_998 || n > 1_000_000 {
		t.Errorf("%d bytes", n)
	}
	if !strings.HasPrefix(got.body, `{"applications":{"application":[[[[`) || !strings.HasSuffix(got.body, "]]]}}") ||
		strings.Count(got.body, "[") != strings.Count(got.body, "]") {
		t.Errorf("%.60s", got.body)
	}
	f.r.Huge(5 << 20)
	if got := f.call("GET", "/apps", ""); !errors.Is(got.err, httpclient.ErrTooLong) {
		t.Errorf("it came whole: %v", got.err)
	}
	f.r.Huge(0)
	f.shows("/apps", "", "")
}

func TestEndlessAnswer(t *testing.T) {
	f := newField(t, Options{})
	f.r.Endless(true)
	if got := f.call("GET", "/apps", ""); !errors.Is(got.err, httpclient.ErrTooLong) {
		t.Errorf("it ended: %v", got.err)
	}
	f.after(Second)
	f.r.Endless(false)
	f.shows("/apps", "", "")
}
