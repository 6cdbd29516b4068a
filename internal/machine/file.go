package machine

import (
	"fmt"
	"io"
	"os"
	"syscall"
)

// ReadFile implements Machine. O_NONBLOCK prevents open from blocking the loop until a FIFO has a writer.
func (m *Real) ReadFile(name string, maxBytes int64) ([]byte, error) {
	f, err := os.OpenFile(name, os.O_RDONLY|syscall.O_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() {
		return nil, fmt.Errorf("%s: not a regular file", name)
	}
	if info.Size() > maxBytes {
		return nil, fmt.Errorf("%s: %d bytes, more than %d", name, info.Size(), maxBytes)
	}
	// The file may grow while it is read, and files in /proc report no size.
	b, err := io.ReadAll(io.LimitReader(f, maxBytes+1))
	if err != nil {
		return nil, err
	}
	if int64(len(b)) > maxBytes {
		return nil, fmt.Errorf("%s: more than %d bytes", name, maxBytes)
	}
	return b, nil
}
