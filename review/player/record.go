package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file of what was sent, answered and run: a line each, with the milliseconds since the start.
type record struct {
	mu     sync.Mutex
	file   *os.File
	out    *bufio.Writer
	start  time.Time
	closed bool
}

// newRecord creates the file.
func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), start: time.Now()}, nil
}

// line adds a line that says who did what.
func (r *record) line(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	fmt.Fprintf(r.out, "%9.1f %s %s\n", float64(time.Since(r.start).Microseconds())/1000, who, fmt.Sprintf(format, args...))
}

// close writes what is left and closes the file.
func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.out.Flush()
	r.file.Close()
}
