package snapshotstore

import (
	"errors"
	"fmt"
	"io/fs"
	"strings"
	"time"
)

// Reason says why a file is not used.
type Reason uint8

// Reasons, with what is wrong.
const (
	Truncated    Reason = iota // the end of the file is missing
	Corrupt                    // the bytes are not those that were written
	NotAState                  // it is some other file
	OtherRouter                // another router wrote it
	FromFuture                 // it was written later than now
	TooOld                     // it was written too long ago
	NewerVersion               // a newer program wrote it
	OlderVersion               // it has a version that is not read any more
	TooLarge                   // it is longer than a state may be
	Irregular                  // it is a link, a folder or a device
	Unreadable                 // the disk failed, or access is denied
)

var reasonNames = [...]string{
	Truncated: "torn", Corrupt: "corrupt", NotAState: "not a state", OtherRouter: "other router",
	FromFuture: "from the future", TooOld: "too old", NewerVersion: "newer version", OlderVersion: "older version",
	TooLarge: "too large", Irregular: "not a regular file", Unreadable: "unreadable",
}

// String returns the reason as operators read it.
func (r Reason) String() string { return reasonNames[r] }

// RejectedError says why a file is not used.
type RejectedError struct {
	Reason Reason
	Detail string // figures and causes; may be empty
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

// maxClockStep is how far in the future a file may have been written: a clock may be set back by so much.
const maxClockStep Time = 2_000_000

// Fits reports why a valid file is not the state of that router at that time; nil where it is.
func (f File) Fits(router string, now, maxAge Time) *RejectedError {
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

// FormatSpan returns a span of time as text: in days, as a duration to the second, or below a minute to the millisecond.
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

// withoutPath returns an error of the disk without its path, for lines that name the file already.
func withoutPath(err error) error {
	var at *fs.PathError
	if errors.As(err, &at) {
		return at.Err
	}
	return err
}
