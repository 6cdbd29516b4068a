package machine

import (
	"errors"
	"os"
	"syscall"
	"testing"
)

// TestRetryShortageRepeatsCallsThatMaySucceed checks that RetryShortage repeats a call after a temporary error and returns
// any other error at once.
func TestRetryShortageRepeatsCallsThatMaySucceed(t *testing.T) {
	for failure, temporary := range map[error]bool{syscall.ENFILE: true, syscall.ENOMEM: true, syscall.EINTR: true,
		syscall.EAGAIN: true, syscall.ENOENT: false, syscall.EACCES: false, ErrNotRegularFile: false} {
		calls := 0
		err := RetryShortage(func() error {
			if calls++; calls < 3 {
				return &os.PathError{Op: "open", Path: "config.json", Err: failure}
			}
			return nil
		})
		if temporary && (err != nil || calls != 3) || !temporary && (!errors.Is(err, failure) || calls != 1) {
			t.Errorf("%v: got %d calls and error %v, want a retry: %v", failure, calls, err, temporary)
		}
	}
}
