//go:build !faultkernel

package main

import "starlingwinch/internal/machine"

// kernel is the system calls that the program is run on; nil stands for the system's own.
func kernel() (*machine.Kernel, error) { return nil, nil }
