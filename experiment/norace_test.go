//go:build !race

package experiment

// raceEnabled tells that the race detector slows this test run down.
const raceEnabled = false
