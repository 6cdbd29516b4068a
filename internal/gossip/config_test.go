package gossip

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"starlingwinch/internal/operatorconfig"
)

// TestDeployedFileHoldsDefaults checks that deploy/fleet.toml contains the default values.
func TestDeployedFileHoldsDefaults(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/fleet.toml")
	if err != nil {
		t.Fatal(err)
	}
	file, err := operatorconfig.Registry{Kind}.Parse("fleet.toml", raw)
	if err != nil {
		t.Fatal(err)
	}
	got, want := operatorconfig.Get[OperatorConfig]([]operatorconfig.File{file}, Kind), DefaultOperatorConfig()
	if len(got.Seeds) == 0 {
		got.Seeds = nil
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("deploy/fleet.toml: got %+v, want the defaults %+v", got, want)
	}
}

// TestOperatorConfigErrorsNameKeys checks that each configuration error names the key and the fault.
func TestOperatorConfigErrorsNameKeys(t *testing.T) {
	for text, want := range map[string]string{
		`timeout = "100ms"`:    "timeout: not under half of interval",
		`seeds = ["there"]`:    `seeds: no address ("there", wanted IP:PORT)`,
		`interval = "1ms"`:     "interval: out of range",
		`suspicions = 3`:       "suspicions: unknown key",
		`least = -1`:           "least: out of range",
		`seeds = "10.0.0.1:1"`: "seeds:",
	} {
		_, err := operatorconfig.Registry{Kind}.Parse("f", []byte("kind = \"fleet\"\n"+text))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got error %v, want an error that contains %q", text, err, want)
		}
	}
}
