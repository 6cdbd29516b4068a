package eureka

import (
	"encoding/base64"
	"fmt"
	"strings"

	"starlingwinch/internal/httpclient"
	"starlingwinch/internal/machine"
)

// maxPasswordFileSize bounds the size of a password file in bytes.
const maxPasswordFileSize = 4 << 10

// Login holds the credentials for servers whose URL has none.
type Login struct {
	User, Password string
	PasswordFile   string // file with the password; read at the start and whenever a registry rejects the password
}

// String hides the password from the log.
func (Login) String() string { return "(login)" }

// GoString hides the password from %#v too.
func (Login) GoString() string { return "(login)" }

// readPasswordFile reads the password from its file, if there is one.
func (l *Login) readPasswordFile(m machine.Machine) error {
	if l.PasswordFile == "" {
		return nil
	}
	raw, err := m.ReadFile(l.PasswordFile, maxPasswordFileSize)
	if err != nil {
		return fmt.Errorf("password_file: %w", err)
	}
	l.Password = strings.TrimRight(string(raw), "\r\n")
	return nil
}

// headers returns the headers of a call to the server at this URL.
func (l Login) headers(u URL) []httpclient.Header {
	headers := []httpclient.Header{
		{Name: "Accept", Value: "application/json"},
		{Name: "Accept-Encoding", Value: "gzip"},
	}
	user, password := u.user, u.password
	if user == "" && password == "" {
		user, password = l.User, l.Password
	}
	if user == "" && password == "" {
		return headers
	}
	credentials := base64.StdEncoding.EncodeToString([]byte(user + ":" + password))
	return append(headers, httpclient.Header{Name: "Authorization", Value: "Basic " + credentials})
}
