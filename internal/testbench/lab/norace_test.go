//go:build !race

package lab_test

const (
	storms    = 24
	hardSeeds = 5
	inPart    = 1 // of the seeds of a hunt, one in so many
)
