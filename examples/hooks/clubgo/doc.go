//go:build !wasip1

// Command clubgo is a hook in Go, which is built only for WebAssembly; see main.go.
package main

func main() {}
