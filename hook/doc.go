//go:build !wasip1

// Package hook is the API for hooks that are written in Go and built for WebAssembly (GOOS=wasip1); see hook.go. On other
// platforms the package is empty.
package hook
