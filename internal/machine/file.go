package machine

import (
	"fmt"
	"io"
	"os"
	"syscall"
)

// ReadFile implements Machine. O_NONBLOCK keeps the opening of a FIFO from blocking the loop until there is a writer.
func (m *Real) ReadFile(name string, most int64) ([]byte, error) {
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
	if info.Size() > most {
		return nil, fmt.Errorf("%s: %d bytes, more than %d", name, info.Size(), most)
	}
	// The file may grow while it is read, and those of /proc have no size.
	b, err := io.ReadAll(io.LimitReader(f, most+1))
	if err != nil {
		return nil, err
	}
	if int64(len(b)) > most {
		return nil, fmt.Errorf("%s: more than %d bytes", name, most)
	}
	return b, nil
}
