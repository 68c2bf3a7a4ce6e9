//go:build !race

package forward_test

// raceDetector is set in tests that run with the race detector.
const raceDetector = false
