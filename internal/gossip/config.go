package gossip

import (
	"net/netip"
	"time"

	"starlingwinch/internal/operatorconfig"
)

// OperatorConfig is an operators' file of the kind "fleet". Its tags hold the words of the file; Config translates them.
type OperatorConfig struct {
	// Enabled has the router take part. The platform has to allow messages between routers.
	Enabled bool `toml:"enabled" doc:"the router keeps a view of the others of its tier; the platform has to allow messages between routers"`
	// Seeds are addresses as IP:PORT. Each further one costs a poll every few seconds while nobody answers there.
	Seeds []string `toml:"seeds" min:"0" max:"8192" doc:"addresses of routers that are asked beside those that the platform names; who comes by them is taken in"`

	// Interval is the time between probes. Raising it detects failures later; lowering it costs datagrams.
	Interval time.Duration `toml:"interval" min:"50ms" max:"10s" doc:"between probes of other routers"`
	// Timeout is the time in which a probe should be acknowledged. Raising it delays indirect probes; lowering it causes more
	// of them.
	Timeout time.Duration `toml:"timeout" min:"10ms" max:"4s" doc:"within which a probe should be answered; under half of the interval"`
	// Suspicion is a number of intervals. Raising it detects failures later; lowering it leaves less time to refute.
	Suspicion int `toml:"suspicion" min:"1" max:"100" doc:"intervals, times the logarithm of the routers, for which one that does not answer may refute that it is gone"`

	// DivideByMembers divides limits that all routers share by the members that are alive, in place of the settings' number.
	DivideByMembers bool `toml:"shares" doc:"what all routers together may take is divided by those that are here, not by the settings' instances"`
	// Hold is the time before faulty members are not counted any more. Raising it leaves capacity unused for longer after a
	// failure; lowering it risks overload in a partition.
	Hold time.Duration `toml:"hold" min:"1s" max:"1h" doc:"for which a view has to stay settled before routers that are held faulty are divided by no more"`
	// MinMembers is the smallest divisor. Raising it leaves capacity unused in a small cluster; lowering it risks overload.
	MinMembers int `toml:"least" min:"0" max:"10000" doc:"routers to divide by at least; 0 for the settings' instances"`
}

// DefaultOperatorConfig returns what holds where no file says otherwise.
func DefaultOperatorConfig() OperatorConfig {
	c := DefaultConfig()
	return OperatorConfig{
		Interval:        time.Duration(c.Interval) * time.Microsecond,
		Timeout:         time.Duration(c.Timeout) * time.Microsecond,
		Suspicion:       c.Suspicion,
		DivideByMembers: true,
		Hold:            10 * time.Second,
	}
}

// Kind is the kind of operators' file that holds an OperatorConfig.
var Kind = operatorconfig.Define("fleet", "the routers' view of one another", DefaultOperatorConfig(), checkOperator)

// checkOperator reports figures that are wrong beside one another, and seeds that are no addresses.
func checkOperator(o OperatorConfig, bad operatorconfig.ReportFunc) {
	if 2*o.Timeout >= o.Interval {
		bad("timeout", "not under half of interval (%s, wanted below %s)",
			operatorconfig.FormatDuration(o.Timeout), operatorconfig.FormatDuration(o.Interval/2))
	}
	for _, seed := range o.Seeds {
		if address, err := netip.ParseAddrPort(seed); err != nil || address.Port() == 0 {
			bad("seeds", "no address (%q, wanted IP:PORT)", seed)
		}
	}
}

// Config returns the part that configures a view.
func (o *OperatorConfig) Config() Config {
	return Config{
		Seeds:     o.Seeds,
		Interval:  o.Interval.Microseconds(),
		Timeout:   o.Timeout.Microseconds(),
		Suspicion: o.Suspicion,
	}
}
