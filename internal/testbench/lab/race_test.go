//go:build race

package lab_test

// Runs take ten times as long with the race detector, so that only a part of them runs with it; .ci/run runs all of them
// without the race detector.
const (
	storms    = 0 // number of seeds of the calm test; 0 also skips the slow tests
	hardSeeds = 1 // seeds of each hard case
	inPart    = 4 // divisor of the number of seeds of a hunt
)
