//go:build !race

package lab_test

const (
	storms    = 24
	hardSeeds = 5
	inPart    = 1 // divisor of the number of seeds of a hunt
)
