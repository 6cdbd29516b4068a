//go:build !wasip1

// A hook in Go, which is built for WebAssembly alone: see main.go.
package main

func main() {}
