package retrystorm

import (
	"os"
	"strings"
	"testing"

	"starlingwinch/internal/operatorconfig"
)

// TestConfigErrorsNameKeys checks the errors for values out of range, and for values that contradict one another.
func TestConfigErrorsNameKeys(t *testing.T) {
	for text, want := range map[string]string{
		"enter = 0.05":        "leave: not below enter (0.08, wanted below 0.05)",
		`most_wait = "10ms"`:  "least_wait: above most_wait (250ms, wanted at most 10ms)",
		"address_share = 0.5": "address_share: below a fair share (0.5, wanted 0 or at least 1)",
		"retries = 2.0":       "retries: out of range (2, wanted 0 to 1)",
		"remembered = 10":     "remembered: out of range (10, wanted 1024 to 4194304)",
		`settle = "1ms"`:      `settle: out of range ("1ms", wanted 100ms to 30s)`,
		"least_rate = 0.0":    "least_rate: out of range (0, wanted 0.1 to 100000)",
		"enter_away = 1.5":    "enter_away: out of range (1.5, wanted 0.05 to 1)",
		"addresses = 1":       "addresses: out of range (1, wanted 2 to 100000)",
		`ease = "2h"`:         `ease: out of range ("2h", wanted 100ms to 1m)`,
		`confirm = "11s"`:     `confirm: out of range ("11s", wanted 0s to 10s)`,
		`least_wait = "0s"`:   `least_wait: out of range ("0s", wanted 1ms to 10s)`,
		"leave = -0.1":        "leave: out of range (-0.1, wanted 0 to 1)",
	} {
		_, err := operatorconfig.Registry{Kind}.Parse("f", []byte("kind = \"storm\"\n"+text))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got error %v, want %s", text, err, want)
		}
	}
}

// TestDeployedFileHoldsDefaults checks that deploy/storm.toml sets the default configuration.
func TestDeployedFileHoldsDefaults(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/storm.toml")
	if err != nil {
		t.Fatal(err)
	}
	file, err := operatorconfig.Registry{Kind}.Parse("storm.toml", raw)
	if err != nil {
		t.Fatal(err)
	}
	if got := operatorconfig.Get[Config]([]operatorconfig.File{file}, Kind); got != Default() {
		t.Errorf("got %+v, want %+v", got, Default())
	}
}

// FuzzConfig checks with any valid configuration that the bounds stay in range and that a storm ends.
func FuzzConfig(f *testing.F) {
	raw, err := os.ReadFile("../../deploy/storm.toml")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte("kind = \"storm\"\nretries = 0.0\nease = \"100ms\"\nconfirm = \"0s\""))
	f.Fuzz(func(t *testing.T, raw []byte) {
		file, err := operatorconfig.Registry{Kind}.Parse("f", raw)
		if err != nil {
			return
		}
		c := file.Value.(Config)
		if c.Remembered > 1<<16 {
			c.Remembered = 1 << 16
		}
		h := &harness{t: t, detector: New(c), now: startTime}
		h.run(2*sec, h.retryingClients(20))
		b := h.detector.Bounds()
		badFraction := b.RetryBudgetFraction < 0 || b.RetryBudgetFraction > 1
		if badFraction || b.RetryAfterJitter < 0 || b.RetryAfterJitter > c.MaxRetryAfterJitter.Microseconds() {
			t.Fatalf("configuration %+v: bounds %+v are out of range", c, b)
		}
		h.run(c.Settle.Microseconds()+c.RecoveryTime.Microseconds()+20*sec, nil)
		h.wantState(Calm)
	})
}
