//go:build !race

package experiment

// raceEnabled reports whether the race detector slows this test run down.
const raceEnabled = false
