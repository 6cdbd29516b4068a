//go:build race

package worker

const raceEnabled = true
