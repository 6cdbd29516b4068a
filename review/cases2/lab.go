package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// lab holds what a case has started, and the record of what was sent, answered and run.
type lab struct {
	began time.Time
	dir   string // temporary folder
	root  string // the repository's root

	mu     sync.Mutex
	file   *os.File
	out    *bufio.Writer
	closed bool
	ends   []func()
}

// newLab opens the record and a temporary folder.
func newLab(recordPath string) (*lab, error) {
	root, err := repositoryRoot()
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	return &lab{began: time.Now(), dir: dir, root: root, file: file, out: bufio.NewWriter(file)}, nil
}

// repositoryRoot returns the folder above the current one that holds the deploy file.
func repositoryRoot() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "deploy", "balancer.toml")); err == nil {
			return dir, nil
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			return "", fmt.Errorf("no deploy/balancer.toml above the current folder")
		}
		dir = parent
	}
}

// notef writes a line to the record, with the time since the start in milliseconds.
func (l *lab) notef(format string, args ...any) {
	at := time.Since(l.began)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	fmt.Fprintf(l.out, "%9.1f ", float64(at.Microseconds())/1000)
	fmt.Fprintf(l.out, format, args...)
	l.out.WriteByte('\n')
}

// atEnd registers a function that ends something which the case has started.
func (l *lab) atEnd(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ends = append(l.ends, f)
}

// close ends everything, the latest first, and closes the record.
func (l *lab) close() {
	l.mu.Lock()
	ends := l.ends
	l.ends = nil
	l.mu.Unlock()
	for i := len(ends) - 1; i >= 0; i-- {
		ends[i]()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.out.Flush()
	l.file.Close()
	os.RemoveAll(l.dir)
}
