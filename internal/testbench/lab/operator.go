package lab

import (
	"fmt"
	"net/netip"
	"strings"

	"starlingwinch/internal/testbench/lab/script"
)

// RegistryFiles returns the operators' files of a router that follows a registry with the given servers. The router serves
// at the address self, and registers itself if the script says so.
func RegistryFiles(r script.Registry, servers []string, self string) []OperatorFile {
	var m, e strings.Builder
	m.WriteString("kind = \"membership\"\norder = " + list(r.Sources()) + "\n")
	if r.Undamped {
		// No number of flaps in a run raises the penalty above this threshold, so that damping never suppresses a cache.
		m.WriteString("[damping]\npenalty = 1\nsuppress = 1000000\nreuse = 900000\n")
	}
	fmt.Fprintf(&e, "kind = \"eureka\"\nenabled = true\nurls = %s\napplication = %q\ndelta = %q\n", list(servers),
		r.Application, r.Delta)
	fmt.Fprintf(&e, "backoff_most = \"%dms\"\n", maxBackoff/millisecond)
	if r.Register {
		at := netip.MustParseAddrPort(self)
		fmt.Fprintf(&e, "[register]\nenabled = true\nip = %q\nport = %d\nrenewal = \"2s\"\nduration = \"6s\"\n",
			at.Addr().String(), at.Port())
	}
	return []OperatorFile{{"membership", m.String()}, {"eureka", e.String()}}
}

// maxBackoff bounds the delay before a router polls a failing registry again. With the default of 5 s, scripts of 10 s
// would end before the routers have recovered from a fault.
const maxBackoff = 2 * second

// list formats strings as a TOML array.
func list(all []string) string {
	quoted := make([]string, len(all))
	for i, text := range all {
		quoted[i] = fmt.Sprintf("%q", text)
	}
	return "[" + strings.Join(quoted, ", ") + "]"
}
