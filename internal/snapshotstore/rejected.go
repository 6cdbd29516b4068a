package snapshotstore

import (
	"errors"
	"fmt"
	"io/fs"
	"strings"
	"time"
)

// Reason is the reason for rejecting a file.
type Reason uint8

// Reasons for rejecting a file.
const (
	Truncated    Reason = iota // the end of the file is missing
	Corrupt                    // the content differs from the written content
	NotAState                  // the file is not a state file
	OtherRouter                // another router wrote the file
	FromFuture                 // the time of writing is in the future
	TooOld                     // the file exceeds the maximum age
	NewerVersion               // a newer program wrote the file
	OlderVersion               // the format version is no longer supported
	TooLarge                   // the file exceeds MaxFileBytes
	Irregular                  // the path is a link, a folder or a device
	Unreadable                 // the disk failed, or access is denied
)

var reasonNames = [...]string{
	Truncated: "torn", Corrupt: "corrupt", NotAState: "not a state", OtherRouter: "other router",
	FromFuture: "from the future", TooOld: "too old", NewerVersion: "newer version", OlderVersion: "older version",
	TooLarge: "too large", Irregular: "not a regular file", Unreadable: "unreadable",
}

// String returns the reason as it appears in logs and messages.
func (r Reason) String() string { return reasonNames[r] }

// RejectedError reports a rejected file.
type RejectedError struct {
	Reason Reason
	Detail string // values and causes; may be empty
}

// Error implements error.
func (r *RejectedError) Error() string {
	if r.Detail == "" {
		return r.Reason.String()
	}
	return r.Reason.String() + ": " + r.Detail
}

func reject(r Reason, format string, args ...any) *RejectedError {
	return &RejectedError{r, fmt.Sprintf(format, args...)}
}

// maxClockStep is the tolerance for files with a time of writing in the future, because the system clock can be set back.
const maxClockStep Time = 2_000_000

// Validate returns nil if the file belongs to the router and its age at the instant now is acceptable. Otherwise it returns the
// reason for rejecting the file.
func (f File) Validate(router string, now, maxAge Time) *RejectedError {
	switch age := now - f.Written; {
	case f.Router != router:
		return reject(OtherRouter, "%.80q, this one is %.80q", strings.ToValidUTF8(f.Router, "?"), router)
	case age < -maxClockStep:
		return reject(FromFuture, "by %s", FormatSpan(-age))
	case age > maxAge:
		return reject(TooOld, "%s, at most %s", FormatSpan(age), FormatSpan(maxAge))
	}
	return nil
}

// FormatSpan formats a duration in days from 48 hours on, to the second from one minute on, and to the millisecond below.
func FormatSpan(t Time) string {
	d := time.Duration(t) * time.Microsecond
	switch {
	case d >= 48*time.Hour:
		return fmt.Sprintf("%.0f days", d.Hours()/24)
	case d >= time.Minute:
		return d.Round(time.Second).String()
	}
	return d.Round(time.Millisecond).String()
}

// withoutPath returns the cause of a disk error without the path, for messages that already name the file.
func withoutPath(err error) error {
	var at *fs.PathError
	if errors.As(err, &at) {
		return at.Err
	}
	return err
}
