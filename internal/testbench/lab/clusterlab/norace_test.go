//go:build !race

package clusterlab

const (
	seeds    = 2
	largeToo = true
)
