//go:build !faultkernel

package main

import "starlingwinch/internal/machine"

// kernel returns nil: the program uses the system calls of the operating system.
func kernel() (*machine.Kernel, error) { return nil, nil }
