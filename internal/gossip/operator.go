package gossip

import (
	"net/netip"
	"time"

	"starlingwinch/internal/operatorconfig"
)

// OperatorConfig is what operators may set, in a file of the kind "fleet".
type OperatorConfig struct {
	Enabled bool     `toml:"enabled" doc:"the router keeps a view of the others of its tier; the platform has to allow messages between routers"`
	Seeds   []string `toml:"seeds" min:"0" max:"8192" doc:"addresses of routers that are asked beside those that the platform names; who comes by them is taken in"`

	Interval  time.Duration `toml:"interval" min:"50ms" max:"10s" doc:"between probes of other routers"`
	Timeout   time.Duration `toml:"timeout" min:"10ms" max:"4s" doc:"within which a probe should be answered; under half of the interval"`
	Suspicion int           `toml:"suspicion" min:"1" max:"100" doc:"intervals, times the logarithm of the routers, for which one that does not answer may refute that it is gone"`

	DivideByMembers bool          `toml:"shares" doc:"what all routers together may take is divided by those that are here, not by the settings' instances"`
	Hold            time.Duration `toml:"hold" min:"1s" max:"1h" doc:"for which a view has to stay settled before routers that are held faulty are divided by no more"`
	MinMembers      int           `toml:"least" min:"0" max:"10000" doc:"routers to divide by at least; 0 for the settings' instances"`
}

// DefaultOperatorConfig is what holds where no file says otherwise.
func DefaultOperatorConfig() OperatorConfig {
	c := DefaultConfig()
	return OperatorConfig{Interval: time.Duration(c.Interval) * time.Microsecond, Timeout: time.Duration(c.Timeout) * time.Microsecond,
		Suspicion: c.Suspicion, DivideByMembers: true, Hold: 10 * time.Second}
}

// Kind is the kind of file that sets it.
var Kind = operatorconfig.Define("fleet", "the routers' view of one another", DefaultOperatorConfig(), checkOperator)

// checkOperator looks at figures that bind one another.
func checkOperator(o OperatorConfig, bad operatorconfig.ReportFunc) {
	if 2*o.Timeout >= o.Interval {
		bad("timeout", "not under half of interval (%s, wanted below %s)", operatorconfig.FormatDuration(o.Timeout), operatorconfig.FormatDuration(o.Interval/2))
	}
	for _, s := range o.Seeds {
		if a, err := netip.ParseAddrPort(s); err != nil || a.Port() == 0 {
			bad("seeds", "no address (%q, wanted IP:PORT)", s)
		}
	}
}

// Config is the view's part of it.
func (o *OperatorConfig) Config() Config {
	return Config{Seeds: o.Seeds, Interval: o.Interval.Microseconds(), Timeout: o.Timeout.Microseconds(), Suspicion: o.Suspicion}
}
