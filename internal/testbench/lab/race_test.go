//go:build race

package lab_test

// What takes ten times as long with the race detector is played in part; .ci/run plays all of it without.
const (
	storms    = 0 // of the test of calm; the tests of storms are skipped where there are none
	hardSeeds = 1 // of each hard case
	inPart    = 4 // of the seeds of a hunt, one in so many
)
