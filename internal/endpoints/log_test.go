package endpoints

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// logLines returns the log lines that the last event caused, as "message key=value ...".
func (r *rig) logLines() []string {
	var all []string
	for _, a := range r.actions {
		line, ok := a.(Log)
		if !ok {
			continue
		}
		text := line.Message
		for _, attr := range line.Attrs {
			text += " " + attr.String()
		}
		all = append(all, text)
	}
	return all
}

func (r *rig) wantLines(want ...string) {
	r.Helper()
	if got := r.logLines(); !slices.Equal(got, want) {
		r.Errorf("got log lines %q, want %q", got, want)
	}
}

func TestStatusChangesAreLoggedWithTheirCause(t *testing.T) {
	r := newRig(t, platform, eureka)
	r.full("eureka", "c1", "c2")
	r.wantLines("endpoint status changed endpoint=c1 status=serving source=eureka reason=takes work",
		"endpoint status changed endpoint=c2 status=serving source=eureka reason=takes work")
	r.changes("platform", "c1-")
	r.wantLines("endpoint status changed endpoint=c1 status=draining source=platform reason=OUT_OF_SERVICE")
	r.full("eureka", "c1")
	r.wantLines("endpoint status changed endpoint=c2 status=removed source=eureka reason=left out of its list")
	r.full("eureka", "c1")
	r.wantLines()
}

func TestManyStatusChangesAreSummarized(t *testing.T) {
	r := newRig(t, platform)
	r.full("platform", names(1, maxLoggedChanges+5)...)
	lines := r.logLines()
	want := fmt.Sprintf("endpoint status changes in total serving=%d draining=0 removed=0", maxLoggedChanges+5)
	if len(lines) != maxLoggedChanges+1 || lines[maxLoggedChanges] != want {
		t.Errorf("got %d log lines, the last one %q; want %d, the last one %q", len(lines), lines[len(lines)-1], maxLoggedChanges+1, want)
	}
}

func TestUnavailabilityAndItsEndAreLoggedOnce(t *testing.T) {
	r := newRig(t, platform)
	r.full("platform", "c1", "c2")
	r.unavailable("platform")
	r.wantLines("endpoint source unavailable source=platform retained=2 cause=connection refused")
	r.after(second).unavailable("platform")
	r.wantLines()
	r.after(2 * second).changes("platform")
	r.wantLines("endpoint source available source=platform unavailable_for=3s")
}

func TestMassRemovalIsLogged(t *testing.T) {
	r := massRemovalRig(t)
	r.full("eureka", names(1, 3)...)
	r.wantLines("endpoint mass removal awaits confirmation source=eureka omitted=7 known=10")
	r.after(DefaultMassRemoval().ConfirmWithin)
	lines := r.logLines()
	if len(lines) != 8 || lines[0] != "endpoint mass removal accepted unconfirmed source=eureka removed=7" {
		t.Errorf("got log lines %q, want 8, the first one on the unconfirmed removal of 7 endpoints", lines)
	}
}

func TestUnknownSourceIsLogged(t *testing.T) {
	r := newRig(t, platform)
	r.full(strings.Repeat("x", maxLoggedSourceLength+1), "c1")
	r.wantLines("endpoint update from unknown source source=" + strings.Repeat("x", maxLoggedSourceLength))
}
