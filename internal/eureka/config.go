package eureka

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"starlingwinch/internal/operatorconfig"
)

// Config is the content of an operators' file of the kind "eureka".
type Config struct {
	Enabled             bool                `toml:"enabled" doc:"the registry is one of the sources of the list of caches"`
	URLs                []string            `toml:"urls" min:"1" max:"8" secret:"true" doc:"its servers' REST interfaces, the preferred one first"`
	Application         string              `toml:"application" max:"256" doc:"the application whose instances are the caches; empty for all"`
	VIP                 string              `toml:"vip" max:"256" doc:"the virtual address that the caches have; empty for any"`
	Delta               string              `toml:"delta" words:"auto,always,never" doc:"whether the registry is asked for changes alone"`
	PollInterval        time.Duration       `toml:"cadence" min:"50ms" max:"1m" doc:"between calls, give or take a fifth"`
	Timeout             time.Duration       `toml:"timeout" min:"100ms" max:"1m" doc:"for an answer to come whole"`
	MaxBackoff          time.Duration       `toml:"backoff_most" min:"100ms" max:"10m" doc:"between calls to a server that fails, at most"`
	RetryPreferredAfter time.Duration       `toml:"prefer_again" min:"1s" max:"1h" doc:"a server that failed is tried again after that, while another serves"`
	FullListInterval    time.Duration       `toml:"full_every" min:"1s" max:"1h" doc:"the whole list is fetched at least so often"`
	MaxBodyBytes        operatorconfig.Size `toml:"body" min:"64KiB" max:"64MiB" doc:"bytes of an answer, packed or not"`
	Bandwidth           operatorconfig.Size `toml:"bandwidth" min:"16KiB" max:"1GiB" doc:"bytes of answers a second: calls wait where answers are larger"`
	LeaseGrace          int                 `toml:"lease_grace" min:"0" max:"100" doc:"leases without a renewal after which an instance that is up counts as draining; 0 for never"`

	User         string `toml:"user" max:"256" doc:"for basic authentication; empty for none"`
	Password     string `toml:"password" max:"1024" secret:"true" doc:"for basic authentication; it is never logged"`
	PasswordFile string `toml:"password_file" max:"4096" doc:"the file that holds the password, instead"`

	Metadata Metadata           `toml:"metadata"`
	Register RegistrationConfig `toml:"register"`
}

// Metadata sets the keys of the instance metadata that describe an endpoint.
type Metadata struct {
	Zone             string `toml:"zone" max:"256" doc:"the key that holds the zone; empty for none"`
	Group            string `toml:"group" max:"256" doc:"the key that holds the number of the group; empty for none"`
	Weight           string `toml:"weight" max:"256" doc:"the key that holds the weight; empty for none"`
	Start            string `toml:"start" max:"256" doc:"the key that holds the last start, Unix time in milliseconds; empty for none"`
	AvailabilityZone bool   `toml:"availability_zone" doc:"without a zone in metadata, the data centre's counts"`
	ServiceUp        bool   `toml:"service_up" doc:"without a start in metadata, the time since when the registry has it up counts"`
}

// RegistrationConfig configures the registration of the router itself.
type RegistrationConfig struct {
	Enabled     bool          `toml:"enabled" doc:"the router registers itself"`
	Application string        `toml:"application" min:"1" max:"256" doc:"the application that the router is registered under"`
	Instance    string        `toml:"instance" max:"256" doc:"the id of the instance; empty for application:ip:port"`
	VIP         string        `toml:"vip" max:"256" doc:"its virtual address; empty for the application in lower case"`
	IP          string        `toml:"ip" max:"64" doc:"the IP address that clients are to use"`
	Port        int           `toml:"port" min:"0" max:"65535" doc:"the port that clients are to use"`
	Renewal     time.Duration `toml:"renewal" min:"1s" max:"5m" doc:"between heartbeats"`
	Duration    time.Duration `toml:"duration" min:"2s" max:"1h" doc:"the registry drops the router so long after its last heartbeat"`
	Timeout     time.Duration `toml:"timeout" min:"50ms" max:"10s" doc:"for a call, and for the whole of the end"`
}

// Default returns the configuration that applies without an operators' file. Its URL is a placeholder with an address reserved
// for documentation (RFC 5737).
func Default() Config {
	return Config{
		URLs:                []string{"http://192.0.2.1:8761/eureka"},
		Delta:               DeltaAuto,
		PollInterval:        300 * time.Millisecond,
		Timeout:             time.Second,
		MaxBackoff:          5 * time.Second,
		RetryPreferredAfter: 30 * time.Second,
		FullListInterval:    time.Minute,
		MaxBodyBytes:        16 << 20,
		Bandwidth:           4 << 20,
		Metadata:            Metadata{Zone: "zone", Group: "group", Weight: "weight", Start: "start"},
		Register: RegistrationConfig{
			Application: "STARLINGWINCH",
			Renewal:     30 * time.Second,
			Duration:    90 * time.Second,
			Timeout:     time.Second,
		},
	}
}

// Kind is the kind of operators' file that holds a Config.
var Kind = operatorconfig.Define("eureka", "an Eureka registry as a source of the list of caches", Default(), check)

// check reports the faults that the ranges of single keys don't cover.
func check(c Config, report operatorconfig.ReportFunc) {
	c.checkURLs(report)
	if c.Application != "" && c.VIP != "" {
		report("vip", "application is set too (one of them is wanted)")
	}
	c.checkNames(report)
	if c.MaxBackoff < c.PollInterval {
		report("backoff_most", "below cadence (%s, wanted at least %s)",
			operatorconfig.FormatDuration(c.MaxBackoff), operatorconfig.FormatDuration(c.PollInterval))
	}
	switch {
	case c.Password != "" && c.PasswordFile != "":
		report("password_file", "password is set too (one of them is wanted)")
	case c.User == "" && (c.Password != "" || c.PasswordFile != ""):
		report("user", "empty, but there is a password")
	case strings.Contains(c.User, ":"):
		report("user", "holds a colon")
	}
	c.Register.check(report)
}

// checkURLs reports URLs that ParseURL rejects, and servers listed twice. URLs that differ only in user and password name the
// same server.
func (c Config) checkURLs(report operatorconfig.ReportFunc) {
	seen := map[string]bool{}
	for i, text := range c.URLs {
		key := fmt.Sprintf("urls[%d]", i)
		u, err := ParseURL(text)
		switch {
		case err != nil:
			report(key, "%v", err)
		case seen[u.String()]:
			report(key, "stands twice")
		}
		seen[u.String()] = true
	}
}

// checkNames reports names that the path of a URL can't hold.
func (c Config) checkNames(report operatorconfig.ReportFunc) {
	isUnsafe := func(r rune) bool { return r <= ' ' || r == '/' || r == 0x7f }
	names := []struct{ key, text string }{
		{"application", c.Application},
		{"vip", c.VIP},
		{"register.application", c.Register.Application},
		{"register.instance", c.Register.Instance},
	}
	for _, name := range names {
		if strings.ContainsFunc(name.text, isUnsafe) {
			report(name.key, "holds a space, a slash or a control character")
		}
	}
}

func (s RegistrationConfig) check(report operatorconfig.ReportFunc) {
	if s.Duration < 2*s.Renewal {
		report("register.duration", "below two renewals (%s, wanted at least %s)",
			operatorconfig.FormatDuration(s.Duration), operatorconfig.FormatDuration(2*s.Renewal))
	}
	reportFraction := func(key string, span time.Duration) {
		if span%time.Second != 0 {
			report(key, "not in whole seconds (%s)", operatorconfig.FormatDuration(span))
		}
	}
	reportFraction("register.renewal", s.Renewal)
	reportFraction("register.duration", s.Duration)
	if !s.Enabled {
		return
	}
	ip, err := netip.ParseAddr(s.IP)
	if err != nil || ip.IsUnspecified() || ip.Zone() != "" {
		report("register.ip", "not an IP address that clients can use (%.64q)", s.IP)
	}
	if s.Port == 0 {
		report("register.port", "out of range (0, wanted 1 to 65535)")
	}
}

// servers returns the URLs of the registry's servers.
func (c Config) servers() []URL {
	var all []URL
	for _, text := range c.URLs {
		if u, err := ParseURL(text); err == nil { // check has verified the URLs
			all = append(all, u)
		}
	}
	return all
}

func (c Config) login() Login {
	return Login{User: c.User, Password: c.Password, PasswordFile: c.PasswordFile}
}

// Options returns the parameters of Follow for a source with this name.
func (c Config) Options(name string) Options {
	return Options{
		Name:                name,
		Servers:             c.servers(),
		Login:               c.login(),
		Application:         c.Application,
		VIP:                 c.VIP,
		Delta:               c.Delta,
		PollInterval:        c.PollInterval.Microseconds(),
		Timeout:             c.Timeout.Microseconds(),
		MaxBackoff:          c.MaxBackoff.Microseconds(),
		RetryPreferredAfter: c.RetryPreferredAfter.Microseconds(),
		FullListInterval:    c.FullListInterval.Microseconds(),
		MaxBodyBytes:        int(c.MaxBodyBytes),
		Bandwidth:           int(c.Bandwidth),
		LeaseGrace:          c.LeaseGrace,
		MetadataKeys: MetadataKeys{
			Zone:             c.Metadata.Zone,
			Group:            c.Metadata.Group,
			Weight:           c.Metadata.Weight,
			Start:            c.Metadata.Start,
			AvailabilityZone: c.Metadata.AvailabilityZone,
			ServiceUp:        c.Metadata.ServiceUp,
		},
	}
}

// Registration returns the parameters of Register. The parameters are valid only if c.Register.Enabled is set.
func (c Config) Registration() RegisterOptions {
	s := c.Register
	ip, _ := netip.ParseAddr(s.IP) // check has verified the address
	o := RegisterOptions{
		Servers:     c.servers(),
		Login:       c.login(),
		Application: strings.ToUpper(s.Application),
		Instance:    s.Instance,
		VIP:         s.VIP,
		Address:     netip.AddrPortFrom(ip, uint16(s.Port)),
		Renewal:     s.Renewal.Microseconds(),
		Duration:    s.Duration.Microseconds(),
		Timeout:     s.Timeout.Microseconds(),
		MaxBackoff:  c.MaxBackoff.Microseconds(),
	}
	if o.Instance == "" {
		o.Instance = fmt.Sprintf("%s:%s", strings.ToLower(s.Application), o.Address)
	}
	return o
}
