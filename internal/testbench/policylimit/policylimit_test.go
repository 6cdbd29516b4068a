// Package policylimit holds the check of the limits that the operators put on the policy
// files: what two of their engineers can read in an hour.
package policylimit

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"unicode/utf8"
)

const (
	mostLines = 500 // non-blank, of each policy file, comments too: one concept a file
	mostWidth = 110 // characters a line
)

// violations returns what is wrong with the policy files, by name.
func violations(names []string, texts map[string]string) []string {
	var bad []string
	for _, name := range names {
		lines := 0
		for i, l := range strings.Split(texts[name], "\n") {
			if strings.TrimSpace(l) != "" {
				lines++
			}
			if n := utf8.RuneCountInString(l); n > mostWidth {
				bad = append(bad, fmt.Sprintf("%s:%d: %d characters, at most %d", name, i+1, n, mostWidth))
			}
		}
		if lines > mostLines {
			bad = append(bad, fmt.Sprintf("%s: %d non-blank lines, at most %d", name, lines, mostLines))
		}
		if lines == 0 {
			bad = append(bad, name+": no policy lines found")
		}
	}
	return bad
}

var (
	policyKey = regexp.MustCompile(`(?m)^policy\s*=\s*\[([^\]]*)\]`)
	quoted    = regexp.MustCompile(`"([^"]+)"`)
)

// policyFiles reads the names of the policy files from the text of the deploy file.
func policyFiles(deploy string) []string {
	var names []string
	if m := policyKey.FindStringSubmatch(deploy); m != nil {
		for _, q := range quoted.FindAllStringSubmatch(m[1], -1) {
			names = append(names, q[1])
		}
	}
	return names
}

// policyFilesWanted are all files that decide, and no others.
var policyFilesWanted = []string{
	"decide/router.go",
	"decide/request.go",
	"decide/attempt.go",
	"decide/attempt_result.go",
	"decide/selection.go",
	"decide/placement.go",
	"decide/idempotency.go",
	"decide/overdue.go",
	"decide/hedging.go",
	"decide/concurrency_limit.go",
	"decide/origin_limit.go",
	"decide/queue.go",
	"decide/retry_budget.go",
	"decide/retry_storm.go",
	"decide/admission.go",
	"decide/outlier.go",
	"decide/hot_keys.go",
	"decide/cached_keys.go",
	"decide/slow_start.go",
	"decide/error_ratio.go",
	"decide/low_traffic.go",
	"decide/zone_outage.go",
	"decide/zone_latency.go",
	"decide/health_check.go",
	"decide/idle_connections.go",
	"decide/endpoint.go",
	"decide/endpoint_list.go",
	"decide/averages.go",
}

func TestPolicyKeepsItsLimits(t *testing.T) {
	root := filepath.Join("..", "..", "..")
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	names := policyFiles(string(deploy))
	if want := policyFilesWanted; !slices.Equal(names, want) {
		t.Errorf("policy files are %v, want %v: all that decides, and nothing else", names, want)
	}
	texts := map[string]string{}
	for _, n := range names {
		b, err := os.ReadFile(filepath.Join(root, n))
		if err != nil {
			t.Fatal(err)
		}
		texts[n] = string(b)
	}
	for _, v := range violations(names, texts) {
		t.Error(v)
	}
}

func TestLimitsFailWhenBroken(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       int
	}{
		{"as long as allowed", strings.Repeat("x\n\n", mostLines), 0},
		{"a line too many", strings.Repeat("x\n\n", mostLines+1), 1},
		{"as wide as allowed, in characters", strings.Repeat("ä", mostWidth), 0},
		{"too wide", strings.Repeat("ä", mostWidth+1), 1},
		{"empty", "\n\n", 1},
	} {
		if got := violations([]string{"f"}, map[string]string{"f": c.text}); len(got) != c.want {
			t.Errorf("%s: %v, want %d complaints", c.name, got, c.want)
		}
	}
}
