package gossip

import (
	"net/netip"
	"time"

	"starlingwinch/internal/operatorconfig"
)

// OperatorConfig is the content of an operators' file of the kind "fleet". The struct tags hold the keys of the file, and Config
// converts the content to a view's configuration.
type OperatorConfig struct {
	// Enabled makes the router join the gossip. The platform has to allow messages between routers.
	Enabled bool `toml:"enabled" doc:"the router keeps a view of the others of its tier; the platform has to allow messages between routers"`
	// Seeds are addresses as IP:PORT. Each seed costs a poll every few seconds while no router answers at its address.
	Seeds []string `toml:"seeds" min:"0" max:"8192" doc:"addresses of routers that are asked beside those that the platform names; who comes by them is taken in"`

	// Interval is the time between probes. A longer interval delays the detection of failures; a shorter one sends more
	// datagrams.
	Interval time.Duration `toml:"interval" min:"50ms" max:"10s" doc:"between probes of other routers"`
	// Timeout is the time within which a probe should be acknowledged. A longer timeout delays indirect probes; a shorter one
	// causes more of them.
	Timeout time.Duration `toml:"timeout" min:"10ms" max:"4s" doc:"within which a probe should be answered; under half of the interval"`
	// Suspicion is the minimum duration of a suspicion in intervals, times the logarithm of the number of routers. A larger
	// value delays the detection of failures; a smaller one leaves a router less time to refute the suspicion.
	Suspicion int `toml:"suspicion" min:"1" max:"100" doc:"intervals, times the logarithm of the routers, for which one that does not answer may refute that it is gone"`

	// DivideByMembers divides limits that all routers share by the number of members that are alive instead of by the number of
	// instances in the settings.
	DivideByMembers bool `toml:"shares" doc:"what all routers together may take is divided by those that are here, not by the settings' instances"`
	// Hold is how long a view must have been settled before the divisor excludes faulty members. A longer hold leaves capacity
	// unused for longer after a failure; a shorter one risks overload in a partition.
	Hold time.Duration `toml:"hold" min:"1s" max:"1h" doc:"for which a view has to stay settled before routers that are held faulty are divided by no more"`
	// MinMembers is the minimum divisor. A larger minimum leaves capacity unused in a small cluster; a smaller one risks
	// overload.
	MinMembers int `toml:"least" min:"0" max:"10000" doc:"routers to divide by at least; 0 for the settings' instances"`
}

// DefaultOperatorConfig returns the configuration that applies without a file, and the defaults of keys that a file omits.
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

// Kind is the kind of the operators' file that holds an OperatorConfig.
var Kind = operatorconfig.Define("fleet", "the routers' view of one another", DefaultOperatorConfig(), checkOperator)

// checkOperator reports a timeout that is too long for the interval, and seeds that are not addresses.
func checkOperator(o OperatorConfig, report operatorconfig.ReportFunc) {
	if 2*o.Timeout >= o.Interval {
		report("timeout", "not under half of interval (%s, wanted below %s)",
			operatorconfig.FormatDuration(o.Timeout), operatorconfig.FormatDuration(o.Interval/2))
	}
	for _, seed := range o.Seeds {
		if address, err := netip.ParseAddrPort(seed); err != nil || address.Port() == 0 {
			report("seeds", "no address (%q, wanted IP:PORT)", seed)
		}
	}
}

// Config returns the view's configuration, without the fields that the operators' file does not set.
func (o *OperatorConfig) Config() Config {
	return Config{
		Seeds:     o.Seeds,
		Interval:  o.Interval.Microseconds(),
		Timeout:   o.Timeout.Microseconds(),
		Suspicion: o.Suspicion,
	}
}
