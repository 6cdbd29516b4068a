//go:build race

package clusterlab

// Each world costs ten times as much with the race detector, and has one goroutine.
const (
	seeds    = 1
	largeToo = false
)
