package eureka

import (
	"encoding/base64"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"strings"

	"starlingwinch/internal/httpclient"
	"starlingwinch/internal/machine"
)

const mostPassword = 4 << 10 // bytes of a password's file

// URL is where a registry's REST interface is. Its user and password never leave it but to the registry.
type URL struct {
	addr           string // IP address and port
	path           string // "/eureka"
	user, password string
}

// ParseURL reads an http URL whose host is an IP address. Errors don't repeat it, as it may hold a password.
func ParseURL(s string) (URL, error) {
	u, err := url.Parse(s)
	switch {
	case err != nil || u.Opaque != "" || u.Host == "":
		return URL{}, errors.New("not a URL (wanted http://IP:PORT/eureka)")
	case u.Scheme == "https":
		return URL{}, errors.New("TLS is not spoken (wanted http://IP:PORT/eureka)")
	case u.Scheme != "http":
		return URL{}, errors.New("unknown scheme (wanted http://IP:PORT/eureka)")
	case u.RawQuery != "" || u.Fragment != "" || u.ForceQuery:
		return URL{}, errors.New("a query or fragment (wanted http://IP:PORT/eureka)")
	}
	ip, err := netip.ParseAddr(u.Hostname())
	if err != nil || ip.Zone() != "" {
		return URL{}, errors.New("the host is no IP address, and names are not looked up (wanted http://IP:PORT/eureka)")
	}
	at := u.Port()
	if at == "" {
		at = "80"
	}
	full, err := netip.ParseAddrPort("[" + ip.String() + "]:" + at)
	if ip.Is4() {
		full, err = netip.ParseAddrPort(ip.String() + ":" + at)
	}
	if err != nil || full.Port() == 0 {
		return URL{}, errors.New("bad port (wanted http://IP:PORT/eureka)")
	}
	password, _ := u.User.Password()
	path := strings.TrimRight(u.EscapedPath(), "/")
	return URL{addr: full.String(), path: path, user: u.User.Username(), password: password}, nil
}

// String is the URL without its user and password.
func (u URL) String() string { return "http://" + u.addr + u.path }

// GoString keeps a password out of %#v too.
func (u URL) GoString() string { return u.String() }

// Login is who asks, where a URL does not say so itself.
type Login struct {
	User, Password string
	PasswordFile   string // holds the password; it is read at the start, and again when a registry refuses it
}

// String and GoString keep the password out of logs.
func (Login) String() string   { return "(login)" }
func (Login) GoString() string { return "(login)" }

// server is one of a registry's servers, as the calls to it have gone.
type server struct {
	url    URL
	http   *httpclient.Client
	fails  int  // in a row
	rest   Time // it is not asked before then
	shun   Time // another one that answers is preferred until then
	tries  int  // of it, in a row, that failed while another one served
	listed bool // it has answered the list that is asked for
	// Deltas are not asked for before noDelta: it refuses them, or they don't add up.
	noDelta Time
	took    [2]Time // what its answers take of late: whole lists, deltas
}

// headers of a call to this server.
func (s *server) headers(l Login) []httpclient.Header {
	h := []httpclient.Header{{Name: "Accept", Value: "application/json"}, {Name: "Accept-Encoding", Value: "gzip"}}
	user, password := s.url.user, s.url.password
	if user == "" && password == "" {
		user, password = l.User, l.Password
	}
	if user != "" || password != "" {
		both := base64.StdEncoding.EncodeToString([]byte(user + ":" + password))
		h = append(h, httpclient.Header{Name: "Authorization", Value: "Basic " + both})
	}
	return h
}

// read takes the password out of its file, if there is one.
func (l *Login) read(m machine.Machine) error {
	if l.PasswordFile == "" {
		return nil
	}
	raw, err := m.ReadFile(l.PasswordFile, mostPassword)
	if err != nil {
		return fmt.Errorf("password_file: %w", err)
	}
	l.Password = strings.TrimRight(string(raw), "\r\n")
	return nil
}

// chance is a number from 0 up to 1.
func chance(m machine.Machine) float64 { return float64(m.Entropy()>>11) / (1 << 53) }

// jitter is a span give or take a fifth. The danger: routers that were started together call on one beat.
func jitter(m machine.Machine, span Time) Time { return Time(float64(span) * (0.8 + 0.4*chance(m))) }

// backoff is how long to wait after so many failures in a row: it doubles up to a bound, and half of it is chance, so
// that routers that lost a registry together do not come back together.
func backoff(m machine.Machine, first, most Time, fails int) Time {
	span := min(first<<min(fails, 20), most)
	return Time(float64(span) * (0.5 + 0.5*chance(m)))
}
