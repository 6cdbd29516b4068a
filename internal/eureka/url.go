package eureka

import (
	"errors"
	"net/netip"
	"net/url"
	"strings"
)

const defaultHTTPPort = "80"

// URL is the address of a registry server's REST interface. The user and password in a URL are sent to that server only, and
// are never printed.
type URL struct {
	address        string // IP address and port
	path           string // without a trailing slash, as in "/eureka"
	user, password string
}

// ParseURL parses an http URL whose host is an IP address. Its errors don't contain the text, which may hold a password.
func ParseURL(text string) (URL, error) {
	u, err := url.Parse(text)
	switch {
	case err != nil || u.Opaque != "" || u.Host == "":
		return URL{}, errors.New("not a URL (wanted http://IP:PORT/eureka)")
	case u.Scheme == "https":
		return URL{}, errors.New("TLS is not supported (wanted http://IP:PORT/eureka)")
	case u.Scheme != "http":
		return URL{}, errors.New("unknown scheme (wanted http://IP:PORT/eureka)")
	case u.RawQuery != "" || u.Fragment != "" || u.ForceQuery:
		return URL{}, errors.New("a query or fragment is not allowed (wanted http://IP:PORT/eureka)")
	}
	address, err := parseHost(u)
	if err != nil {
		return URL{}, err
	}
	password, _ := u.User.Password()
	return URL{
		address:  address.String(),
		path:     strings.TrimRight(u.EscapedPath(), "/"),
		user:     u.User.Username(),
		password: password,
	}, nil
}

// parseHost returns the IP address and port of a URL.
func parseHost(u *url.URL) (netip.AddrPort, error) {
	ip, err := netip.ParseAddr(u.Hostname())
	if err != nil || ip.Zone() != "" {
		return netip.AddrPort{}, errors.New("the host is not an IP address, and names are not resolved (wanted http://IP:PORT/eureka)")
	}
	port := u.Port()
	if port == "" {
		port = defaultHTTPPort
	}
	host := "[" + ip.String() + "]"
	if ip.Is4() {
		host = ip.String()
	}
	address, err := netip.ParseAddrPort(host + ":" + port)
	if err != nil || address.Port() == 0 {
		return netip.AddrPort{}, errors.New("bad port (wanted http://IP:PORT/eureka)")
	}
	return address, nil
}

// String returns the URL without its user and password.
func (u URL) String() string { return "http://" + u.address + u.path }

// GoString hides the password from %#v too.
func (u URL) GoString() string { return u.String() }
