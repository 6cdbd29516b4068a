package machine

import (
	"errors"
	"os"
	"syscall"
	"testing"
)

// TestRetryShortageRepeatsCallsThatMaySucceed, and no others.
func TestRetryShortageRepeatsCallsThatMaySucceed(t *testing.T) {
	for failure, again := range map[error]bool{syscall.ENFILE: true, syscall.ENOMEM: true, syscall.EINTR: true,
		syscall.EAGAIN: true, syscall.ENOENT: false, syscall.EACCES: false, ErrIrregular: false} {
		calls := 0
		err := RetryShortage(func() error {
			if calls++; calls < 3 {
				return &os.PathError{Op: "open", Path: "config.json", Err: failure}
			}
			return nil
		})
		if again && (err != nil || calls != 3) || !again && (!errors.Is(err, failure) || calls != 1) {
			t.Errorf("%v: %d calls, %v", failure, calls, err)
		}
	}
}
