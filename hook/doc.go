//go:build !wasip1

// Package hook is for hooks that are written in Go and built for WebAssembly (GOOS=wasip1); see hook.go. Elsewhere it is
// empty.
package hook
